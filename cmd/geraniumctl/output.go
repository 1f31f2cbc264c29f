package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

// print writes value as JSON, or the rows as a table whose first row is the heading.
func (a *app) print(value any, rows [][]string) error {
	if a.Output == "json" {
		data, err := json.MarshalIndent(value, "", "  ")
		if err != nil {
			return eris.Wrap(err, "encode the output")
		}
		_, err = fmt.Fprintln(a.out, string(data))
		return err
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		// A trailing cell that is empty would leave spaces at the end of the line.
		line := strings.TrimRight(strings.Join(row, "\t"), "\t")
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	return w.Flush()
}

// note tells a person what is going on; it is not part of the output.
func (a *app) note(format string, args ...any) {
	fmt.Fprintf(a.err, format+"\n", args...)
}

func timeText(t time.Time) string {
	return t.UTC().Format(time.RFC3339)
}

func shortHash(hash string) string {
	const digits = 12
	if hash == "" {
		return "-"
	}
	return hash[:min(digits, len(hash))]
}
