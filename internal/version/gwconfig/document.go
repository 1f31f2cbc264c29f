package gwconfig

import (
	"reflect"
	"strconv"

	"github.com/tailscale/hujson"
)

// Document is a file of any form in JSON with comments, with the places of its fields.
type Document struct {
	file File
}

// ParseDocument reads data into a struct with json tags and refuses unknown fields. The error is of type Errors. The
// name is only used in errors.
func ParseDocument(name string, data []byte, into any) (*Document, error) {
	doc := &Document{file: File{Source: Source{Path: name, Data: data}, places: map[string]int{"": 0}}}
	tree, errs := parseTree(doc.file.Source)
	if len(errs) > 0 {
		return doc, errs.Err()
	}
	d := decoder{file: &doc.file}
	d.value("", tree, reflect.ValueOf(into).Elem())
	return doc, d.errs.Err()
}

// ErrorAt returns an error at the field, or at the nearest enclosing value that the file gives.
func (d *Document) ErrorAt(field, problem, allowed string) Error {
	return d.file.errorAt(field, problem, allowed)
}

// parseTree returns the syntax tree of a file.
func parseTree(src Source) (hujson.Value, Errors) {
	tree, err := hujson.Parse(src.Data)
	if err == nil {
		return tree, nil
	}
	e := Error{File: src.Path, Problem: err.Error(), Allowed: "JSON with comments and trailing commas"}
	if m := hujsonPlace.FindStringSubmatch(e.Problem); m != nil {
		e.Line, _ = strconv.Atoi(m[1])
		e.Column, _ = strconv.Atoi(m[2])
		e.Problem = e.Problem[len(m[0]):]
	}
	return tree, Errors{e}
}
