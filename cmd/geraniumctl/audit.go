package main

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/geraniumworks/geraniumworks/internal/version/gwpublish"
)

type auditCommand struct {
	app  *app
	Last int `long:"last" default:"50" value-name:"N" description:"read and verify the last N entries; 0 for all"`
}

func (c *auditCommand) Execute([]string) error {
	store, err := c.app.store()
	if err != nil {
		return err
	}
	entries, err := gwpublish.Audit(c.app.ctx, store, c.Last)
	if err != nil && !errors.Is(err, gwpublish.ErrDamaged) {
		return err
	}
	rows := [][]string{{"NUMBER", "AT", "BY", "FROM", "ACTION", "VERSIONS", "OUTCOME", "WHAT"}}
	for _, e := range entries {
		rows = append(rows, []string{
			strconv.FormatUint(e.Number, 10), timeText(e.At), e.By, e.From, string(e.Action),
			fmt.Sprintf("%d to %d", e.Before, e.After), outcome(e), what(e),
		})
	}
	if err := c.app.print(entries, rows); err != nil {
		return err
	}
	if err != nil {
		return err
	}
	c.app.note("%s", verified(entries))
	return nil
}

func verified(entries []gwpublish.Entry) string {
	if n := len(entries); n > 0 && entries[n-1].Number > 1 {
		return fmt.Sprintf("%d entries are verified; %d earlier ones were not read", n, entries[n-1].Number-1)
	}
	return fmt.Sprintf("%d entries are verified, back to the first one", len(entries))
}

func outcome(e gwpublish.Entry) string {
	if e.Forced {
		return e.Outcome + ", forced"
	}
	return e.Outcome
}

func what(e gwpublish.Entry) string {
	var parts []string
	if e.Target != nil {
		text := fmt.Sprintf("%s %s", e.Target.Kind, e.Target.Name)
		if e.Target.Stopped {
			text += " (stopped for good)"
		}
		parts = append(parts, text)
	}
	if e.RolledBackTo > 0 {
		parts = append(parts, fmt.Sprintf("files of version %d", e.RolledBackTo))
	}
	for _, f := range e.Files {
		parts = append(parts, fmt.Sprintf("%s %s to %s", f.Path, shortHash(f.Before), shortHash(f.After)))
	}
	if e.Reason != "" {
		parts = append(parts, "reason: "+e.Reason)
	}
	if e.Refusal != "" {
		parts = append(parts, strings.ReplaceAll(e.Refusal, "\n", " "))
	}
	return strings.Join(parts, "; ")
}
