package gwconfig

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	gw "github.com/geraniumworks/geraniumworks"
)

// decoder fills Go values from a syntax tree. Unlike encoding/json it reports every error with its place, keeps
// the places of all fields for later checks, and keeps an empty list apart from an omitted one.
type decoder struct {
	file *File
	// lenient ignores fields that this version of the program does not know.
	lenient bool
	errs    Errors
}

func (d *decoder) fail(path, problem, allowed string) {
	d.errs = append(d.errs, d.file.errorAt(path, problem, allowed))
}

func (d *decoder) value(path string, v hujson.Value, to reflect.Value) {
	d.file.places[path] = v.StartOffset
	if v.Value.Kind() == 'n' {
		d.fail(path, "is null", describe(to.Type())+", or omit the field")
		return
	}
	switch to.Kind() {
	case reflect.Pointer:
		to.Set(reflect.New(to.Type().Elem()))
		d.value(path, v, to.Elem())
	case reflect.Struct:
		if service, ok := to.Addr().Interface().(*gw.Service); ok {
			service.Limits = DefaultLimits()
		}
		d.object(path, v, to)
	case reflect.Slice:
		d.array(path, v, to)
	default:
		d.literal(path, v, to)
	}
}

func (d *decoder) object(path string, v hujson.Value, to reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.mismatch(path, v, to)
		return
	}
	fields := fieldsOf(to.Type())
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := memberName(member.Name)
		memberPath := join(path, name)
		field, known := fields.byName[name]
		switch {
		case !known && d.lenient:
			continue
		case !known || seen[name]:
			d.file.places[memberPath] = member.Name.StartOffset
			if known {
				d.fail(memberPath, "is given twice", "each field once")
			} else {
				d.fail(memberPath, "is not a known field", strings.Join(fields.names, ", "))
			}
			continue
		}
		seen[name] = true
		d.value(memberPath, member.Value, to.Field(field))
	}
}

func (d *decoder) array(path string, v hujson.Value, to reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.mismatch(path, v, to)
		return
	}
	list := reflect.MakeSlice(to.Type(), len(array.Elements), len(array.Elements))
	for i, element := range array.Elements {
		d.value(fmt.Sprintf("%s[%d]", path, i), element, list.Index(i))
	}
	to.Set(list)
}

func (d *decoder) literal(path string, v hujson.Value, to reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		d.mismatch(path, v, to)
		return
	}
	kind := literal.Kind()
	switch {
	case to.Kind() == reflect.String && kind == '"':
		to.SetString(literal.String())
	case to.Kind() == reflect.Bool && (kind == 't' || kind == 'f'):
		to.SetBool(literal.Bool())
	case to.CanInt() && kind == '0':
		n, err := strconv.ParseInt(string(literal), 10, to.Type().Bits())
		if err != nil {
			d.fail(path, fmt.Sprintf("is %s", clip(string(literal))), describe(to.Type()))
			return
		}
		to.SetInt(n)
	case to.CanFloat() && kind == '0':
		n, err := strconv.ParseFloat(string(literal), to.Type().Bits())
		if err != nil {
			d.fail(path, fmt.Sprintf("is %s", clip(string(literal))), describe(to.Type()))
			return
		}
		to.SetFloat(n)
	default:
		d.mismatch(path, v, to)
	}
}

func (d *decoder) mismatch(path string, v hujson.Value, to reflect.Value) {
	kinds := map[hujson.Kind]string{
		'"': "a string", '0': "a number", '{': "an object", '[': "a list", 't': "true", 'f': "false",
	}
	d.fail(path, "is "+kinds[v.Value.Kind()], describe(to.Type()))
}

// describe names the JSON type that a Go type is read from.
func describe(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Pointer:
		return describe(t.Elem())
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "an integer"
	}
}

type fieldSet struct {
	names  []string
	byName map[string]int
}

func fieldsOf(t reflect.Type) fieldSet {
	set := fieldSet{byName: map[string]int{}}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		set.names = append(set.names, name)
		set.byName[name] = i
	}
	return set
}

// maxNameBytes bounds how much of a file's text an error repeats.
const maxNameBytes = 80

func clip(text string) string {
	if len(text) > maxNameBytes {
		return text[:maxNameBytes] + "..."
	}
	return text
}

func memberName(v hujson.Value) string {
	literal, _ := v.Value.(hujson.Literal)
	return clip(literal.String())
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
