package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
)

type traceCommand struct {
	app *app
	// Around also shows what hosts came to believe shortly before the request ended.
	Around time.Duration `long:"around" default:"2s" description:"how long before the end of the request changes of state are shown"`
	Args   struct {
		RequestID string   `positional-arg-name:"REQUEST-ID" required:"yes" description:"id that the caller gave"`
		Files     []string `positional-arg-name:"FILE" description:"log files of hosts; standard input when there is none"`
	} `positional-args:"yes"`
}

// logLine is a line of a host's log.
type logLine struct {
	Time    time.Time      `json:"time"`
	Host    string         `json:"host"`
	Message string         `json:"msg"`
	Fields  map[string]any `json:"fields"`
}

// maxLogLine bounds a line of a log, in bytes.
const maxLogLine = 1 << 20

// Execute implements flags.Commander.
func (c *traceCommand) Execute([]string) error {
	all, err := readLogs(c.Args.Files)
	if err != nil {
		return err
	}
	found := traceOf(all, c.Args.RequestID, c.Around)
	if len(found) == 0 {
		return eris.Wrapf(gw.ErrNotFound, "no line is about request %s; regular ends are logged for one in 64",
			c.Args.RequestID)
	}
	return c.app.print(found, logRows(found))
}

// logRows returns a table of lines.
func logRows(lines []logLine) [][]string {
	rows := [][]string{{"TIME", "HOST", "WHAT", "WHY"}}
	for _, l := range lines {
		rows = append(rows, []string{l.Time.UTC().Format("15:04:05.000"), l.Host, l.Message, l.why()})
	}
	return rows
}

// readLogs reads files, or standard input when there is none.
func readLogs(names []string) ([]logLine, error) {
	if len(names) == 0 {
		return readLog(os.Stdin)
	}
	var all []logLine
	for _, name := range names {
		f, err := os.Open(name) //nolint:gosec // the operator names the file
		if err != nil {
			return nil, eris.Wrap(err, "read log")
		}
		lines, err := readLog(f)
		// Nothing was written to the file, so that closing it cannot lose anything.
		_ = f.Close()
		if err != nil {
			return nil, eris.Wrapf(err, "%s", name)
		}
		all = append(all, lines...)
	}
	return all, nil
}

// readLog reads the lines that are JSON objects, whatever stands before them; others are not a host's.
func readLog(r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var l logLine
		if json.Unmarshal([]byte(text[start:]), &l) != nil || json.Unmarshal([]byte(text[start:]), &l.Fields) != nil {
			continue
		}
		for _, name := range []string{"time", "level", "msg", "host", "instance"} {
			delete(l.Fields, name)
		}
		lines = append(lines, l)
	}
	return lines, eris.Wrap(scanner.Err(), "read log")
}

// traceOf returns the lines of a request, and the changes of state at the hosts and of the servers that took part in it
// shortly before its end, by time.
func traceOf(all []logLine, id string, around time.Duration) []logLine {
	var found []logLine
	involved := map[string]bool{}
	var end time.Time
	for _, l := range all {
		if l.Fields["request-id"] != id {
			continue
		}
		found = append(found, l)
		if l.Time.After(end) {
			end = l.Time
		}
		for _, name := range []any{l.Host, l.Fields["last-host"], l.Fields["server"], l.Fields["last-server"]} {
			if text, ok := name.(string); ok && text != "" {
				involved[text] = true
			}
		}
	}
	for _, l := range all {
		age := end.Sub(l.Time)
		if len(found) == 0 || l.Fields["request-id"] != nil || age < 0 || age > around {
			continue
		}
		server, _ := l.Fields["server"].(string)
		if involved[server] || involved[l.Host] && l.Fields["cell"] == nil {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, func(x, y logLine) int { return x.Time.Compare(y.Time) })
	return found
}

// why returns the fields of the line, those that name the cause first.
func (l logLine) why() string {
	rank := map[string]int{"reason": -4, "event": -4, "outcome": -3, "detail": -2, "error": -2, "server": -1}
	names := slices.Collect(maps.Keys(l.Fields))
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Or(cmp.Compare(rank[x], rank[y]), cmp.Compare(x, y))
	})
	var parts []string
	for _, name := range names {
		if value := fmt.Sprint(l.Fields[name]); value != "" && value != "0" && name != "request-id" {
			parts = append(parts, name+"="+value)
		}
	}
	return strings.Join(parts, " ")
}
