package main

import (
	"runtime"
	"runtime/debug"
)

type versionCommand struct {
	app *app
}

func (c *versionCommand) Execute([]string) error {
	value := struct {
		Version string `json:"version"`
		Commit  string `json:"commit"`
		Go      string `json:"go"`
	}{"unknown", "unknown", runtime.Version()}
	if info, ok := debug.ReadBuildInfo(); ok {
		value.Version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				value.Commit = s.Value
			}
		}
	}
	return c.app.print(value, [][]string{
		{"version", value.Version}, {"commit", value.Commit}, {"go", value.Go},
	})
}
