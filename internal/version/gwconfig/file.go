package gwconfig

import (
	"bytes"
	"fmt"
	"path"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"

	"github.com/tailscale/hujson"

	gw "github.com/geraniumworks/geraniumworks"
)

// MaxFileBytes is the largest configuration file. A file of a team with a hundred routes is under 32 KiB; the bound
// keeps a relay's answer with several files well under gw.MaxValueBytes.
const MaxFileBytes = 256 << 10

// MaxPathBytes is the longest path of a configuration file.
const MaxPathBytes = 160

// Source is the path and content of a configuration file. The path, with slashes and relative to the root of the
// team's repository, identifies the file in everything that is published.
type Source struct {
	Path string
	Data []byte
}

// File is a configuration file as read. It is either the site file, which holds regions, teams and tenants, or the
// file of one service, which holds the service and its routes.
type File struct {
	Source
	Regions []gw.Region
	Teams   []gw.Team
	Tenants []gw.Tenant
	Service *gw.Service
	Routes  []gw.Route
	// KeysRequired is a field of the site file.
	KeysRequired bool

	places map[string]int
}

// document is the form of both kinds of files.
type document struct {
	Regions []gw.Region `json:"regions,omitempty"`
	Teams   []gw.Team   `json:"teams,omitempty"`
	Tenants []gw.Tenant `json:"tenants,omitempty"`
	Service *gw.Service `json:"service,omitempty"`
	Routes  []gw.Route  `json:"routes,omitempty"`

	KeysRequired bool `json:"keys-required,omitempty"`
}

// Site reports whether the file is a site file.
func (f *File) Site() bool {
	return f.Service == nil
}

// Parse reads a file, checks everything that can be checked without other files, and fills in defaults. The error
// is of type Errors; the file is returned with it as far as it could be read, or nil when it has no valid syntax.
func Parse(src Source) (*File, error) {
	f, errs := parse(src, false)
	if f != nil {
		errs = append(errs, checkFile(f).beside(errs)...)
	}
	return f, errs.Err()
}

// parseLenient reads a file that was checked when it was published. Fields that a later version of the program has
// added are ignored, so that hosts of both versions can run at the same time.
func parseLenient(src Source) (*File, error) {
	f, errs := parse(src, true)
	return f, errs.Err()
}

var pathPattern = regexp.MustCompile(`^[A-Za-z0-9._/@+-]+$`)

var hujsonPlace = regexp.MustCompile(`^hujson: line (\d+), column (\d+): `)

func parse(src Source, lenient bool) (*File, Errors) {
	f := &File{Source: src, places: map[string]int{"": 0}}
	if problem := checkPath(src.Path); problem != "" {
		return nil, Errors{{File: src.Path, Problem: problem, Allowed: fmt.Sprintf(
			"a relative path without .., of up to %d letters, digits and ._/@+-", MaxPathBytes)}}
	}
	if len(src.Data) > MaxFileBytes {
		return nil, Errors{{
			File: src.Path, Problem: fmt.Sprintf("has %d bytes", len(src.Data)),
			Allowed: fmt.Sprintf("up to %d bytes", MaxFileBytes),
		}}
	}
	tree, errs := parseTree(src)
	if len(errs) > 0 {
		return nil, errs
	}
	d := decoder{file: f, lenient: lenient}
	var doc document
	d.value("", tree, reflect.ValueOf(&doc).Elem())
	f.Regions, f.Teams, f.Tenants = doc.Regions, doc.Teams, doc.Tenants
	f.Service, f.Routes = doc.Service, doc.Routes
	f.KeysRequired = doc.KeysRequired
	for i := range f.Routes {
		if f.Service != nil && !f.has(fmt.Sprintf("routes[%d].service", i)) {
			f.Routes[i].Service = f.Service.Name
		}
	}
	return f, d.errs
}

func checkPath(name string) string {
	switch {
	case name == "":
		return "has no path"
	case len(name) > MaxPathBytes:
		return "has a path that is too long"
	case !filepath.IsLocal(name) || path.Clean(name) != name || !pathPattern.MatchString(name):
		return "has a path that does not identify it in other checkouts"
	}
	return ""
}

// has reports whether the file gives the field.
func (f *File) has(field string) bool {
	_, ok := f.places[field]
	return ok
}

// errorAt returns an error at the field, or at the nearest enclosing value that the file gives.
func (f *File) errorAt(field, problem, allowed string) Error {
	e := Error{File: f.Path, Field: field, Problem: problem, Allowed: allowed}
	at, ok := f.places[field]
	for parent := field; !ok; {
		parent = parent[:max(strings.LastIndexAny(parent, ".["), 0)]
		at, ok = f.places[parent]
	}
	e.Line = 1 + bytes.Count(f.Data[:at], []byte("\n"))
	e.Column = at - bytes.LastIndexByte(f.Data[:at], '\n')
	return e
}

// Format returns the file in its customary form, with comments kept.
func Format(data []byte) ([]byte, error) {
	return hujson.Format(data)
}
