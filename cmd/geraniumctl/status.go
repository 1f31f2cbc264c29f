package main

import (
	"strconv"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/version/gwpublish"
)

type statusCommand struct {
	app *app
}

func (c *statusCommand) Execute([]string) error {
	state, err := c.app.state()
	if err != nil {
		return err
	}
	m := state.Manifest
	value := struct {
		Version      gw.ConfigVersion    `json:"version"`
		Publisher    string              `json:"publisher"`
		PublishedAt  time.Time           `json:"published-at"`
		Files        []gwpublish.FileRef `json:"files"`
		OutOfService []gw.OutOfService   `json:"out-of-service"`
		Hosts        []HostVersion       `json:"hosts,omitempty"`
	}{m.Version, m.Publisher, m.PublishedAt, m.Files, m.OutOfService, nil}
	rows := [][]string{
		{"version", number(m.Version)},
		{"published by", m.Publisher},
		{"published at", timeText(m.PublishedAt)},
	}
	for _, f := range m.Files {
		rows = append(rows, []string{"file", f.Path, shortHash(f.SHA256)})
	}
	for _, o := range m.OutOfService {
		text := o.Reason
		if o.Stopped {
			text += " (stopped for good)"
		}
		rows = append(rows, []string{"out of service", string(o.Kind) + " " + o.Name, "by " + o.By + ": " + text})
	}
	if c.app.Admin != "" {
		client, err := c.app.admin()
		if err != nil {
			return err
		}
		if value.Hosts, err = client.InForce(c.app.ctx); err != nil {
			return err
		}
		for _, h := range value.Hosts {
			rows = append(rows, []string{"host", string(h.Host), "version " + number(h.Version)})
		}
	}
	return c.app.print(value, rows)
}

func number(v gw.ConfigVersion) string {
	return strconv.FormatUint(uint64(v), 10)
}
