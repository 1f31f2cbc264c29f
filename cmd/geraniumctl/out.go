package main

import (
	gw "github.com/geraniumworks/geraniumworks"
)

// thing names what is taken out of service or put back.
type thing struct {
	Kind string `positional-arg-name:"KIND" required:"yes" description:"data-centre, host or server"`
	Name string `positional-arg-name:"NAME" required:"yes" description:"its name"`
}

func (t thing) kind() (gw.OutKind, error) {
	switch kind := gw.OutKind(t.Kind); kind {
	case gw.OutDataCentre, gw.OutHost, gw.OutServer:
		return kind, nil
	}
	return "", usagef("kind is %q; allowed: data-centre, host, server", t.Kind)
}

type outCommand struct {
	app *app
	waitOptions
	Reason  string `long:"reason" required:"yes" description:"why, for the audit trail and the hosts' logs"`
	Stopped bool   `long:"stopped" description:"you assert that all processes there are stopped for good"`
	Force   bool   `long:"force" description:"accept that something is left without a data centre in service"`
	Args    thing  `positional-args:"yes" required:"yes"`
}

func (c *outCommand) Execute([]string) error {
	kind, err := c.Args.kind()
	if err != nil {
		return err
	}
	p, err := c.app.publisher()
	if err != nil {
		return err
	}
	out := gw.OutOfService{Kind: kind, Name: c.Args.Name, Reason: c.Reason, Stopped: c.Stopped}
	result, err := p.Out(c.app.ctx, out, c.Force)
	return c.app.finish(result, err, c.waitOptions)
}

type inCommand struct {
	app *app
	waitOptions
	Reason string `long:"reason" description:"why, for the audit trail"`
	Args   thing  `positional-args:"yes" required:"yes"`
}

func (c *inCommand) Execute([]string) error {
	kind, err := c.Args.kind()
	if err != nil {
		return err
	}
	p, err := c.app.publisher()
	if err != nil {
		return err
	}
	result, err := p.In(c.app.ctx, kind, c.Args.Name, c.Reason)
	return c.app.finish(result, err, c.waitOptions)
}
