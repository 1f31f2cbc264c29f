package main

import (
	"strconv"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/version/gwpublish"
)

type publishCommand struct {
	app *app
	fileOptions
	waitOptions
	Base   *uint64  `long:"base" value-name:"VERSION" description:"version that the files started from"`
	Remove []string `long:"remove" value-name:"PATH" description:"remove this published file"`
	Only   bool     `long:"remove-only" description:"publish no file, only remove"`
	Reason string   `long:"reason" description:"why, for the audit trail"`
	Force  bool     `long:"force" description:"accept that something is left without a data centre in service"`
}

func (c *publishCommand) Execute([]string) error {
	p, err := c.app.publisher()
	if err != nil {
		return err
	}
	base, err := baseVersion(c.app, p, c.Base)
	if err != nil {
		return err
	}
	var files []localFile
	if !c.Only {
		if files, err = c.read(); err != nil {
			return err
		}
	}
	result, err := p.Publish(c.app.ctx, gwpublish.Change{
		Base: base, Files: sourcesOf(files), Remove: c.Remove, Reason: c.Reason, Force: c.Force,
	})
	return c.app.finish(result, err, c.waitOptions)
}

type rollbackCommand struct {
	app *app
	waitOptions
	Base   *uint64 `long:"base" value-name:"VERSION" description:"roll back from this version; later changes stay"`
	Reason string  `long:"reason" required:"yes" description:"why, for the audit trail"`
	Force  bool    `long:"force" description:"accept that something is left without a data centre in service"`
	Args   struct {
		Version uint64 `positional-arg-name:"VERSION" required:"yes" description:"version whose files are restored"`
	} `positional-args:"yes" required:"yes"`
}

func (c *rollbackCommand) Execute([]string) error {
	p, err := c.app.publisher()
	if err != nil {
		return err
	}
	base, err := baseVersion(c.app, p, c.Base)
	if err != nil {
		return err
	}
	result, err := p.Rollback(c.app.ctx, gw.ConfigVersion(c.Args.Version), base, c.Reason, c.Force)
	return c.app.finish(result, err, c.waitOptions)
}

// baseVersion returns the version that was given, or the one in force, which is read before any file is.
func baseVersion(a *app, p *gwpublish.Publisher, given *uint64) (gw.ConfigVersion, error) {
	if given != nil {
		return gw.ConfigVersion(*given), nil
	}
	state, err := p.State(a.ctx)
	return state.Manifest.Version, err
}

// finish reports an accepted change and waits until it is in force.
func (a *app) finish(result gwpublish.Result, err error, wait waitOptions) error {
	if err != nil {
		return err
	}
	rows := [][]string{{"VERSION", "FILE", "BEFORE", "AFTER"}}
	version := strconv.FormatUint(uint64(result.Version), 10)
	for _, f := range result.Files {
		rows = append(rows, []string{version, f.Path, shortHash(f.Before), shortHash(f.After)})
	}
	switch {
	case !result.Changed:
		rows = [][]string{{"nothing to change, version " + version + " is as asked"}}
	case len(result.Files) == 0:
		rows = [][]string{{"version " + version + " is published"}}
	}
	if err := a.print(result, rows); err != nil {
		return err
	}
	return wait.wait(a, result.Version)
}
