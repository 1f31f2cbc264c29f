package gwconfig

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Error is one error in a configuration file.
type Error struct {
	File string `json:"file"`
	// Line and Column count from one; Column counts bytes. Both are zero when the error has no place in the file.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Field is the path of the field, as in service.limits.queue-length or routes[0].key.
	Field   string `json:"field,omitempty"`
	Problem string `json:"problem"`
	// Allowed says what the field may hold.
	Allowed string `json:"allowed,omitempty"`
}

// Error returns file, line, column, field, problem and what is allowed, on one line.
func (e Error) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", e.Line, e.Column)
	}
	b.WriteString(": ")
	if e.Field != "" {
		b.WriteString(e.Field + ": ")
	}
	b.WriteString(e.Problem)
	if e.Allowed != "" {
		b.WriteString("; allowed: " + e.Allowed)
	}
	return b.String()
}

// Errors are all errors found in one run.
type Errors []Error

// Error returns all errors, one a line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the errors ordered by place, or nil when there are none.
func (e Errors) Err() error {
	if len(e) == 0 {
		return nil
	}
	sorted := slices.Clone(e)
	slices.SortStableFunc(sorted, func(a, b Error) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return slices.Compact(sorted)
}

// beside returns the errors about fields that are free of earlier errors, so that a field of the wrong type is not
// reported a second time as missing.
func (e Errors) beside(earlier Errors) Errors {
	return slices.DeleteFunc(e, func(x Error) bool {
		return slices.ContainsFunc(earlier, func(y Error) bool {
			return x.File == y.File &&
				(y.Field == "" || x.Field == y.Field || strings.HasPrefix(x.Field, y.Field+"."))
		})
	})
}
