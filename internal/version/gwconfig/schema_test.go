package gwconfig_test

import (
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/version/gwconfig"
)

const schemaFile = "../../../docs/schema/configuration.schema.json"

// required lists the fields that a value of a type must have.
var required = map[string][]string{
	"Region":    {"name", "data-centres"},
	"Team":      {"name", "contact"},
	"Tenant":    {"name", "team"},
	"Service":   {"name", "team", "divided-by-key", "regions"},
	"Route":     {"name", "path-prefix"},
	"KeySource": {"from"},

	"WeightedService": {"service", "weight"},
}

// constraints adds to the fields what their Go types do not say.
var constraints = map[string]map[string]any{
	"Region.data-centres":        {"minItems": 1},
	"Team.contact":               {"minLength": 1, "maxLength": 200},
	"Tenant.requests-per-second": {"minimum": 0, "maximum": gwconfig.MaxRate, "default": 0},
	"Tenant.in-flight":           {"minimum": 0, "maximum": gwconfig.MaxRate, "default": 0},
	"Tenant.key-digests": {
		"uniqueItems": true, "items": map[string]any{"type": "string", "pattern": gwconfig.Patterns["key-digest"]},
	},
	"Tenant.priority":                  {"minimum": 0, "maximum": 100, "default": 0},
	"Tenant.quota-per-second":          {"minimum": 0, "maximum": gwconfig.MaxRate, "default": 0},
	"Tenant.quota-burst":               {"minimum": 0, "maximum": gwconfig.MaxRate, "default": 0},
	"Tenant.home-regions":              {"uniqueItems": true},
	"Service.regions":                  {"minItems": 1, "uniqueItems": true},
	"Service.cold-requests-per-second": {"minimum": 0, "maximum": gwconfig.MaxRate, "default": 0},
	"Service.warmup-milliseconds":      {"minimum": 0, "maximum": 600_000, "default": 0},
	"Route.kind": {
		"enum": []gw.RouteKind{gw.RouteSafe, gw.RouteDownload, gw.RouteUnsafe, gw.RouteUpload},
	},
	"Route.home-regions":           {"uniqueItems": true},
	"Route.timeout-milliseconds":   {"minimum": 0, "maximum": 600_000, "default": 0},
	"Route.objective-milliseconds": {"minimum": 0, "maximum": 600_000, "default": 0},
	"Route.attempts":               {"minimum": 0, "maximum": 10, "default": 0},
	"Route.priority":               {"minimum": 0, "maximum": 100, "default": 0},
	"WeightedService.weight":       {"minimum": 1, "maximum": 1_000_000},
	"Route.host":                   {"pattern": gwconfig.Patterns["host"]},
	"Route.path-prefix":            {"pattern": gwconfig.Patterns["path-prefix"]},
	"KeySource.from": {
		"enum": []gw.KeySourceKind{gw.KeyFromPathSegment, gw.KeyFromHeader, gw.KeyFromQuery},
	},
	"KeySource.segment": {"minimum": 0, "maximum": gwconfig.MaxSegment, "default": 0},
	"Route.repeatable-methods": {
		"uniqueItems": true, "default": []string{"GET", "HEAD", "OPTIONS"},
		"items": map[string]any{"type": "string", "enum": gwconfig.Methods},
	},
}

// comments returns the doc comments of the root package's types and fields, as "Type" and "Type.GoField".
func comments(t *testing.T) map[string]string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "../../../config.go", nil, parser.ParseComments)
	require.NoError(t, err)
	found := map[string]string{}
	text := func(c *ast.CommentGroup) string { return strings.Join(strings.Fields(c.Text()), " ") }
	for _, decl := range file.Decls {
		general, ok := decl.(*ast.GenDecl)
		if !ok || general.Tok != token.TYPE {
			continue
		}
		spec := general.Specs[0].(*ast.TypeSpec)
		found[spec.Name.Name] = text(general.Doc)
		if structure, ok := spec.Type.(*ast.StructType); ok {
			for _, field := range structure.Fields.List {
				found[spec.Name.Name+"."+field.Names[0].Name] = text(field.Doc)
			}
		}
	}
	return found
}

func schemaOf(typ reflect.Type, docs map[string]string) map[string]any {
	switch typ.Kind() {
	case reflect.Pointer:
		return schemaOf(typ.Elem(), docs)
	case reflect.Slice:
		return map[string]any{"type": "array", "items": schemaOf(typ.Elem(), docs)}
	case reflect.Bool:
		return map[string]any{"type": "boolean"}
	case reflect.Float64:
		return map[string]any{"type": "number"}
	case reflect.String:
		if strings.HasSuffix(typ.Name(), "Name") {
			return map[string]any{"type": "string", "pattern": gwconfig.Patterns["name"]}
		}
		return map[string]any{"type": "string"}
	case reflect.Struct:
		return objectSchema(typ, docs)
	default:
		return map[string]any{"type": "integer"}
	}
}

func objectSchema(typ reflect.Type, docs map[string]string) map[string]any {
	properties := map[string]any{}
	defaults := reflect.ValueOf(gwconfig.DefaultLimits())
	for i := range typ.NumField() {
		field := typ.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		schema := schemaOf(field.Type, docs)
		if doc := docs[typ.Name()+"."+field.Name]; doc != "" {
			schema["description"] = doc
		}
		for key, value := range constraints[typ.Name()+"."+name] {
			schema[key] = value
		}
		if typ == defaults.Type() {
			schema["default"] = defaults.Field(i).Interface()
			schema["minimum"], schema["maximum"] = gwconfig.Bounds[name][0], gwconfig.Bounds[name][1]
		}
		properties[name] = schema
	}
	schema := map[string]any{"type": "object", "additionalProperties": false, "properties": properties}
	if doc := docs[typ.Name()]; doc != "" {
		schema["description"] = doc
	}
	if fields := required[typ.Name()]; fields != nil {
		schema["required"] = fields
	}
	return schema
}

// Guards against a published schema that differs from the Go types, the bounds or the defaults. Run with -update to
// write it.
func TestSchema(t *testing.T) {
	schema := objectSchema(reflect.TypeFor[struct {
		Regions []gw.Region `json:"regions"`
		Teams   []gw.Team   `json:"teams"`
		Tenants []gw.Tenant `json:"tenants"`
		Service gw.Service  `json:"service"`
		Routes  []gw.Route  `json:"routes"`

		KeysRequired bool `json:"keys-required"`
	}](), comments(t))
	schema["$schema"] = "https://json-schema.org/draft/2020-12/schema"
	schema["title"] = "geraniumworks configuration file: the site file or the file of one service"
	schema["oneOf"] = []any{
		map[string]any{"required": []string{"regions"}, "properties": map[string]any{"service": false, "routes": false}},
		map[string]any{"required": []string{"service"}, "properties": map[string]any{
			"regions": false, "teams": false, "tenants": false, "keys-required": false,
		}},
	}
	want, err := json.MarshalIndent(schema, "", "  ")
	require.NoError(t, err)
	want = append(want, '\n')
	if *update {
		require.NoError(t, os.WriteFile(schemaFile, want, 0o600))
	}
	got, err := os.ReadFile(schemaFile)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got))
	for name := range gwconfig.Bounds {
		_, ok := reflect.TypeFor[gw.ServiceLimits]().FieldByNameFunc(func(field string) bool {
			f, _ := reflect.TypeFor[gw.ServiceLimits]().FieldByName(field)
			return f.Tag.Get("json") == name
		})
		require.True(t, ok, "limit %s has bounds and no field", name)
	}
	require.Len(t, gwconfig.Bounds, reflect.TypeFor[gw.ServiceLimits]().NumField())
}

// Guards against a page that gives other bounds or defaults than the checks.
func TestPageNamesAllLimits(t *testing.T) {
	page, err := os.ReadFile("../../../docs/CONFIGURATION.md")
	require.NoError(t, err)
	defaults := reflect.ValueOf(gwconfig.DefaultLimits())
	for i := range defaults.NumField() {
		name := defaults.Type().Field(i).Tag.Get("json")
		require.Regexp(t, fmt.Sprintf("(?m)^\\| `%s` \\| .* \\| %d to %d \\| %v \\|$", name,
			gwconfig.Bounds[name][0], gwconfig.Bounds[name][1], defaults.Field(i).Interface()), string(page))
	}
}
