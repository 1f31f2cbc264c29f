package main

import (
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/geraniumworks/geraniumworks/internal/version/gwconfig"
	"github.com/geraniumworks/geraniumworks/internal/version/gwpublish"
)

// fileSuffix marks the files that are looked for in directories.
const fileSuffix = ".gw.json"

// fileOptions choose configuration files.
type fileOptions struct {
	Root   string `long:"root" default:"." value-name:"DIR" description:"root of the checkout"`
	Prefix string `long:"prefix" value-name:"PATH" description:"put before the paths, for files of another repository"`
	Args   struct {
		Files []string `positional-arg-name:"FILE" description:"file, or directory that is searched for *.gw.json"`
	} `positional-args:"yes"`
}

// localFile is a configuration file with the name under which it is found.
type localFile struct {
	gwconfig.Source
	name string
}

func (o fileOptions) read() ([]localFile, error) {
	names := o.Args.Files
	if len(names) == 0 {
		names = []string{o.Root}
	}
	var files []localFile
	seen := map[string]bool{}
	for _, name := range names {
		found, err := expand(name)
		if err != nil {
			return nil, err
		}
		for _, name := range found {
			if seen[filepath.Clean(name)] {
				continue
			}
			seen[filepath.Clean(name)] = true
			f, err := o.readFile(name)
			if err != nil {
				return nil, err
			}
			files = append(files, f)
		}
	}
	if len(files) == 0 {
		return nil, usagef("no file *%s was found in %s", fileSuffix, strings.Join(names, ", "))
	}
	return files, nil
}

func (o fileOptions) readFile(name string) (localFile, error) {
	info, err := os.Stat(name)
	if err != nil {
		return localFile{}, eris.Wrap(err, "read a configuration file")
	}
	rel, err := relative(o.Root, name)
	if err != nil {
		return localFile{}, err
	}
	f := localFile{Source: gwconfig.Source{Path: path.Join(o.Prefix, filepath.ToSlash(rel))}, name: name}
	if info.Size() > gwconfig.MaxFileBytes {
		return f, gwconfig.Errors{{File: f.Path, Problem: "is too large", Allowed: "up to 256 KiB"}}
	}
	if f.Data, err = os.ReadFile(name); err != nil { //nolint:gosec // G304: the operator names the files.
		return f, eris.Wrap(err, "read a configuration file")
	}
	return f, nil
}

func relative(root, name string) (string, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return "", eris.Wrap(err, "find the root of the checkout")
	}
	if name, err = filepath.Abs(name); err != nil {
		return "", eris.Wrap(err, "find a configuration file")
	}
	rel, err := filepath.Rel(root, name)
	if err != nil || !filepath.IsLocal(rel) {
		return "", usagef("%s is not below %s; use --root", name, root)
	}
	return rel, nil
}

// expand returns the configuration files below a directory, or the name itself.
func expand(name string) ([]string, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, eris.Wrap(err, "read a configuration file")
	}
	if !info.IsDir() {
		return []string{name}, nil
	}
	var found []string
	err = filepath.WalkDir(name, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && path != name && strings.HasPrefix(entry.Name(), "."):
			return filepath.SkipDir
		case !entry.IsDir() && strings.HasSuffix(entry.Name(), fileSuffix):
			found = append(found, path)
		}
		return nil
	})
	return found, eris.Wrapf(err, "search %s", name)
}

func sourcesOf(files []localFile) []gwconfig.Source {
	sources := make([]gwconfig.Source, 0, len(files))
	for _, f := range files {
		sources = append(sources, f.Source)
	}
	return sources
}

// merge returns the files in force with the given ones in place of those with the same path, without the removed ones.
func merge(state gwpublish.State, sources []gwconfig.Source, remove []string) []gwconfig.Source {
	skip := map[string]bool{}
	for _, src := range sources {
		skip[src.Path] = true
	}
	for _, path := range remove {
		skip[path] = true
	}
	merged := sources
	for _, ref := range state.Manifest.Files {
		if !skip[ref.Path] {
			merged = append(merged[:len(merged):len(merged)], gwconfig.Source{Path: ref.Path, Data: state.Files[ref.Path]})
		}
	}
	return merged
}
