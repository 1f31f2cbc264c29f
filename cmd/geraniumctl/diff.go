package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/version/gwconfig"
	"github.com/geraniumworks/geraniumworks/internal/version/gwpublish"
)

type diffCommand struct {
	app *app
	fileOptions
	Remove []string `long:"remove" value-name:"PATH" description:"compare without this published file"`
}

// fieldDiff is one field that differs, with defaults filled in. Before or After is empty when the field is absent.
type fieldDiff struct {
	File   string `json:"file"`
	Field  string `json:"field,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

func (c *diffCommand) Execute([]string) error {
	files, err := c.read()
	if err != nil {
		return err
	}
	p, err := c.app.publisher()
	if err != nil {
		return err
	}
	state, err := p.State(c.app.ctx)
	if err != nil {
		return err
	}
	sources := sourcesOf(files)
	if _, err := gwconfig.Load(merge(state, sources, c.Remove)); err != nil {
		return err
	}
	diffs := diffFiles(state, sources, c.Remove)
	rows := [][]string{{"FILE", "FIELD", "IN FORCE", "GIVEN"}}
	for _, d := range diffs {
		rows = append(rows, []string{d.File, orDash(d.Field), orDash(d.Before), orDash(d.After)})
	}
	if len(diffs) == 0 {
		rows = nil
	}
	value := struct {
		Version gw.ConfigVersion `json:"version"`
		Diffs   []fieldDiff      `json:"differences"`
	}{state.Manifest.Version, diffs}
	if err := c.app.print(value, rows); err != nil {
		return err
	}
	c.app.note("differences from version %[2]d: %[1]d", len(diffs), state.Manifest.Version)
	if len(diffs) > 0 {
		return errDiffers
	}
	return nil
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func diffFiles(state gwpublish.State, sources []gwconfig.Source, remove []string) []fieldDiff {
	diffs := []fieldDiff{}
	for _, path := range remove {
		diffs = append(diffs, fieldDiff{File: path, Before: "published file", After: "removed"})
	}
	for _, src := range sources {
		before, ok := state.Files[src.Path]
		if !ok {
			diffs = append(diffs, fieldDiff{File: src.Path, After: "new file"})
			continue
		}
		if string(before) == string(src.Data) {
			continue
		}
		old, now := fields(gwconfig.Source{Path: src.Path, Data: before}), fields(src)
		count := len(diffs)
		keys := slices.Sorted(maps.Keys(old))
		for key := range now {
			if _, ok := old[key]; !ok {
				keys = append(keys, key)
			}
		}
		slices.Sort(keys)
		for _, key := range keys {
			if old[key] != now[key] {
				diffs = append(diffs, fieldDiff{File: src.Path, Field: key, Before: old[key], After: now[key]})
			}
		}
		if len(diffs) == count {
			diffs = append(diffs, fieldDiff{File: src.Path, Before: "other comments or form", After: "same values"})
		}
	}
	return diffs
}

// fields returns the values of a file by path, where entries of lists are named rather than numbered.
func fields(src gwconfig.Source) map[string]string {
	flat := map[string]string{}
	f, err := gwconfig.Parse(src)
	if err != nil {
		return flat
	}
	values := map[string]any{
		"regions": f.Regions, "teams": f.Teams, "tenants": f.Tenants, "service": f.Service, "routes": f.Routes,
	}
	if f.KeysRequired {
		values["keys-required"] = true
	}
	data, err := json.Marshal(values)
	var tree any
	if err = eris.Wrap(err, "encode a file"); err != nil || json.Unmarshal(data, &tree) != nil {
		return flat
	}
	flatten("", tree, flat)
	// An empty list of methods is lost in JSON because of omitempty, and differs from an omitted one.
	for _, r := range f.Routes {
		if r.RepeatableMethods != nil && len(r.RepeatableMethods) == 0 {
			flat[fmt.Sprintf("routes[%s].repeatable-methods", r.Name)] = "[]"
		}
	}
	return flat
}

func flatten(path string, tree any, flat map[string]string) {
	switch x := tree.(type) {
	case map[string]any:
		for name, value := range x {
			if path != "" {
				name = path + "." + name
			}
			flatten(name, value, flat)
		}
	case []any:
		for _, value := range x {
			object, _ := value.(map[string]any)
			name, ok := object["name"].(string)
			if !ok {
				data, _ := json.Marshal(x)
				flat[path] = string(data)
				return
			}
			flatten(path+"["+name+"]", value, flat)
		}
	case nil:
	default:
		flat[path] = fmt.Sprint(x)
	}
}
