package main

import (
	"bytes"
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"github.com/geraniumworks/geraniumworks/internal/version/gwconfig"
)

type checkCommand struct {
	app *app
	fileOptions
	Remove  []string `long:"remove" value-name:"PATH" description:"check without this published file"`
	Offline bool     `long:"offline" description:"check the given files only, although a store is configured"`
}

func (c *checkCommand) Execute([]string) error {
	files, err := c.read()
	if err != nil {
		return err
	}
	sources := sourcesOf(files)
	if c.app.Store != "" && !c.Offline {
		p, err := c.app.publisher()
		if err != nil {
			return err
		}
		state, err := p.State(c.app.ctx)
		if err != nil {
			return err
		}
		if _, err := gwconfig.Load(merge(state, sources, c.Remove)); err != nil {
			return err
		}
		c.app.note("%s valid together with version %d", filesAre(len(files)), state.Manifest.Version)
		return nil
	}
	if err := checkAlone(sources); err != nil {
		return err
	}
	c.app.note("%s valid", filesAre(len(files)))
	return nil
}

func filesAre(n int) string {
	if n == 1 {
		return "1 file is"
	}
	return fmt.Sprintf("%d files are", n)
}

// checkAlone checks files together when a site file is among them, and each by itself otherwise.
func checkAlone(sources []gwconfig.Source) error {
	var errs gwconfig.Errors
	for _, src := range sources {
		f, err := gwconfig.Parse(src)
		if f != nil && f.Site() {
			_, err = gwconfig.Load(sources)
			return err
		}
		var found gwconfig.Errors
		if eris.As(err, &found) {
			errs = append(errs, found...)
		}
	}
	return errs.Err()
}

type fmtCommand struct {
	app *app
	fileOptions
	Check bool `long:"check" description:"change nothing, fail when a file is not formatted"`
}

func (c *fmtCommand) Execute([]string) error {
	files, err := c.read()
	if err != nil {
		return err
	}
	var unformatted gwconfig.Errors
	for _, f := range files {
		formatted, err := gwconfig.Format(bytes.Clone(f.Data))
		if err != nil {
			_, err = gwconfig.Parse(f.Source)
			return err
		}
		if bytes.Equal(formatted, f.Data) {
			continue
		}
		if c.Check {
			unformatted = append(unformatted, gwconfig.Error{
				File: f.Path, Problem: "is not formatted", Allowed: "the form that geraniumctl fmt writes",
			})
			continue
		}
		info, err := os.Stat(f.name)
		if err != nil {
			return eris.Wrap(err, "format a file")
		}
		if err := os.WriteFile(f.name, formatted, info.Mode().Perm()); err != nil {
			return eris.Wrap(err, "format a file")
		}
		c.app.note("%s is formatted", f.Path)
	}
	return unformatted.Err()
}
