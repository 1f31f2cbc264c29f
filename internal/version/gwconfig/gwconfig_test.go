package gwconfig_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/version/gwconfig"
)

var update = flag.Bool("update", false, "write golden files and the published schema")

const samples = "../../../samples"

// Guards against an error that is not found, is found at another place, or hides other errors of the run. Each archive
// holds files of one configuration and, last, the errors that are wanted.
func TestErrors(t *testing.T) {
	archives, err := filepath.Glob("testdata/errors/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, archives)
	for _, name := range archives {
		t.Run(filepath.Base(name), func(t *testing.T) {
			archive, err := txtar.ParseFile(name)
			require.NoError(t, err)
			last := len(archive.Files) - 1
			require.Equal(t, "want", archive.Files[last].Name)
			var sources []gwconfig.Source
			for _, f := range archive.Files[:last] {
				sources = append(sources, gwconfig.Source{Path: f.Name, Data: f.Data})
			}
			_, err = gwconfig.Load(sources)
			var errs gwconfig.Errors
			require.ErrorAs(t, err, &errs)
			if *update {
				archive.Files[last].Data = []byte(err.Error() + "\n")
				require.NoError(t, os.WriteFile(name, txtar.Format(archive), 0o600))
			}
			require.Equal(t, string(archive.Files[last].Data), err.Error()+"\n")
		})
	}
}

func load(t *testing.T, dir string) (gw.Config, []gwconfig.Source) {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(dir, "*.json"))
	require.NoError(t, err)
	more, err := filepath.Glob(filepath.Join(dir, "*", "*.json"))
	require.NoError(t, err)
	var sources []gwconfig.Source
	for _, name := range append(names, more...) {
		data, err := os.ReadFile(name)
		require.NoError(t, err)
		path, err := filepath.Rel(dir, name)
		require.NoError(t, err)
		sources = append(sources, gwconfig.Source{Path: filepath.ToSlash(path), Data: data})
	}
	cfg, err := gwconfig.Load(sources)
	require.NoError(t, err)
	return cfg, sources
}

// Guards against samples that no longer load, are not formatted, or have other sizes than the registries.
func TestSamples(t *testing.T) {
	for dir, want := range map[string]struct {
		services    string
		slots       int
		connections int
		once        gw.RouteName
	}{
		"ship-names": {"claims documents lookups", 4, 130, "claims"},
		"horn-craft": {"lookups photograph-intake stamps", 2, 45, "stamps"},
	} {
		t.Run(dir, func(t *testing.T) {
			cfg, sources := load(t, filepath.Join(samples, dir))
			require.Len(t, cfg.Regions, 2)
			var names []string
			for _, s := range cfg.Services {
				names = append(names, string(s.Name))
				require.Equal(t, want.slots, s.Limits.SlotsPerServer)
				require.Equal(t, want.connections, s.Limits.ConnectionsPerServer)
				require.Equal(t, s.Name == "lookups", s.DividedByKey)
			}
			require.Equal(t, want.services, strings.Join(names, " "))
			for _, r := range cfg.Routes {
				require.Equal(t, r.Name != want.once, r.Repeatable("GET"), "route %s", r.Name)
				require.False(t, r.Repeatable("POST"))
			}
			for _, src := range sources {
				formatted, err := gwconfig.Format(src.Data)
				require.NoError(t, err)
				require.Equal(t, string(formatted), string(src.Data), src.Path)
			}
			published, err := gwconfig.LoadPublished(sources)
			require.NoError(t, err)
			require.Equal(t, cfg, published)
		})
	}
}

// Guards against an explicit zero that is replaced by a default, and against a host that refuses a field which a later
// version of the tool has published.
func TestDefaultsAndLaterFields(t *testing.T) {
	src := gwconfig.Source{Path: "s.json", Data: []byte(`{"service": {"name": "s", "team": "t", "divided-by-key": false,
		"regions": ["r"], "added-later": {"x": [1]}, "limits": {"retry-percent": 0}}}`)}
	_, err := gwconfig.Parse(src)
	require.ErrorContains(t, err, "s.json:2:21: service.added-later: is not a known field; allowed: name, team,")
	cfg, err := gwconfig.LoadPublished([]gwconfig.Source{src})
	require.NoError(t, err)
	want := gwconfig.DefaultLimits()
	want.RetryPercent = 0
	require.Equal(t, want, cfg.Services[0].Limits)
}

// Guards against a request that is given to another route than the checks assume.
func TestMatch(t *testing.T) {
	cfg := gw.Config{Routes: []gw.Route{
		{Name: "all", PathPrefix: "/"},
		{Name: "names", PathPrefix: "/names"},
		{Name: "new", PathPrefix: "/names/new"},
		{Name: "host", Host: "names.example", PathPrefix: "/names"},
	}}
	for request, want := range map[string]gw.RouteName{
		"any.example /names":           "names",
		"any.example /names/x":         "names",
		"any.example /names/new/x":     "new",
		"any.example /namesake":        "all",
		"any.example /":                "all",
		"NAMES.example /names/new":     "host",
		"names.example /claims":        "all",
		"names.example.org /names/new": "new",
	} {
		host, path, _ := strings.Cut(request, " ")
		r, ok := gwconfig.Match(cfg, host, path)
		require.True(t, ok)
		require.Equal(t, want, r.Name, request)
	}
	_, ok := gwconfig.Match(gw.Config{Routes: cfg.Routes[1:]}, "any.example", "/")
	require.False(t, ok)
}

// Guards against a panic, an error without a place, and a file that changes its meaning when it is formatted.
func FuzzParse(f *testing.F) {
	archives, err := filepath.Glob("testdata/errors/*.txtar")
	require.NoError(f, err)
	for _, name := range archives {
		archive, err := txtar.ParseFile(name)
		require.NoError(f, err)
		for _, file := range archive.Files {
			f.Add(file.Data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		src := gwconfig.Source{Path: "f.json", Data: bytes.Clone(data)}
		file, err := gwconfig.Parse(src)
		_, setErr := gwconfig.Load([]gwconfig.Source{src, src})
		if err != nil {
			require.Error(t, setErr)
			var errs gwconfig.Errors
			require.ErrorAs(t, err, &errs)
			for _, e := range errs {
				require.NotZero(t, e.Line, e.Error())
				require.NotZero(t, e.Column, e.Error())
			}
			return
		}
		formatted, err := gwconfig.Format(bytes.Clone(data))
		require.NoError(t, err)
		again, err := gwconfig.Parse(gwconfig.Source{Path: "f.json", Data: formatted})
		require.NoError(t, err)
		require.Equal(t, file.Tenants, again.Tenants)
		require.Equal(t, file.Service, again.Service)
		require.Equal(t, file.Routes, again.Routes)
	})
}

// Guards against a field for callers' keys that is lost between a file and the configuration.
func TestKeysAreLoaded(t *testing.T) {
	digest := strings.Repeat("0a", 32)
	cfg, err := gwconfig.Load([]gwconfig.Source{
		{Path: "site.json", Data: []byte(`{"regions": [{"name": "r", "data-centres": ["r-a"]}], "keys-required": true,
			"teams": [{"name": "t", "contact": "c"}], "tenants": [{"name": "a", "team": "t", "priority": 2,
			"quota-per-second": 9.5, "quota-burst": 20, "key-digests": ["` + digest + `"]}]}`)},
		{Path: "s.json", Data: []byte(`{"service": {"name": "s", "team": "t", "divided-by-key": false, "regions": ["r"]},
			"routes": [{"name": "p", "path-prefix": "/p", "public": true, "kind": "download"}]}`)},
	})
	require.NoError(t, err)
	require.True(t, cfg.KeysRequired)
	require.Equal(t, []gw.Tenant{{
		Name: "a", Team: "t", Priority: 2, QuotaPerSecond: 9.5, QuotaBurst: 20, KeyDigests: []string{digest},
	}}, cfg.Tenants)
	require.True(t, cfg.Routes[0].Public)
	require.Equal(t, gw.RouteDownload, cfg.Routes[0].Kind)
}
