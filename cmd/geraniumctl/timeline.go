package main

import (
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
)

// errTimeOfDay reports a time that is not written as hours, minutes and seconds.
var errTimeOfDay = errors.New("a time is written as 15:04:05 or 15:04:05.000, UTC")

type timelineCommand struct {
	app    *app
	From   string `long:"from" description:"first time of day shown, UTC, as 15:04:05.000"`
	To     string `long:"to" description:"last time of day shown, UTC, as 15:04:05.000"`
	Cell   string `long:"cell" description:"only changes of this cell, as service/data-centre"`
	Host   string `long:"host" description:"only lines of this host"`
	Server string `long:"server" description:"only lines that name this server"`
	Args   struct {
		Files []string `positional-arg-name:"FILE" description:"log files of hosts; standard input when there is none"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *timelineCommand) Execute([]string) error {
	from, err := timeOfDay(c.From, 0)
	if err != nil {
		return err
	}
	to, err := timeOfDay(c.To, 24*time.Hour)
	if err != nil {
		return err
	}
	all, err := readLogs(c.Args.Files)
	if err != nil {
		return err
	}
	found := c.changes(all, from, to)
	if len(found) == 0 {
		return eris.Wrap(gw.ErrNotFound, "no change of state matches")
	}
	return c.app.print(found, logRows(found))
}

// timeOfDay reads a time as the time since midnight.
func timeOfDay(text string, fallback time.Duration) (time.Duration, error) {
	if text == "" {
		return fallback, nil
	}
	at, err := time.Parse(time.TimeOnly, text)
	if err != nil {
		return 0, eris.Wrapf(errTimeOfDay, "%q", text)
	}
	return at.Sub(at.Truncate(24 * time.Hour)), nil
}

// changes returns the changes of state of the hosts, by time: all lines that are not about a single request.
func (c *timelineCommand) changes(all []logLine, from, to time.Duration) []logLine {
	var found []logLine
	for _, l := range all {
		at := l.Time.UTC()
		since := at.Sub(at.Truncate(24 * time.Hour))
		if l.Fields["request-id"] != nil || since < from || since > to {
			continue
		}
		if matches(c.Cell, l.Fields["cell"]) && matches(c.Server, l.Fields["server"]) && matches(c.Host, l.Host) {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, func(x, y logLine) int { return x.Time.Compare(y.Time) })
	return found
}

// matches reports whether a field has the wanted value; everything matches when none is wanted.
func matches(wanted string, value any) bool {
	return wanted == "" || value == wanted
}
