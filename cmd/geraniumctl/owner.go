package main

import (
	"fmt"
	"maps"
	"slices"
)

type ownerCommand struct {
	app  *app
	Args struct {
		Service string `positional-arg-name:"SERVICE" required:"yes"`
		Tenant  string `positional-arg-name:"TENANT" required:"yes"`
		Key     string `positional-arg-name:"KEY" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

func (c *ownerCommand) Execute([]string) error {
	client, err := c.app.admin()
	if err != nil {
		return err
	}
	answer, err := client.Owner(c.app.ctx, c.Args.Service, c.Args.Tenant, c.Args.Key)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, name := range slices.Sorted(maps.Keys(answer)) {
		rows = append(rows, []string{name, fmt.Sprint(answer[name])})
	}
	return c.app.print(answer, rows)
}
