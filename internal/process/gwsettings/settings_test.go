package gwsettings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/require"

	"github.com/geraniumworks/geraniumworks/internal/process/gwsettings"
)

// Guards against settings that are accepted although the process cannot run with them, and against errors that do not
// name the position and the allowed values.
func TestBadSettings(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			require.NoError(t, err)
			require.Len(t, archive.Files, 2, "settings and expected errors")
			name := filepath.Join(t.TempDir(), "settings.json")
			require.NoError(t, os.WriteFile(name, archive.Files[0].Data, 0o600))
			_, err = gwsettings.Load(name, gwsettings.Overrides{})
			require.Error(t, err)
			expected := string(archive.Files[1].Data)
			require.Equal(t, expected, strings.ReplaceAll(err.Error(), filepath.Dir(name)+"/", "")+"\n")
		})
	}
}

// Guards against a flag that does not take precedence over the file, and against invalid samples.
func TestSamplesAndOverrides(t *testing.T) {
	for _, sample := range []string{"holland-a-entry-1.json", "almaty-south-a-entry-1.json"} {
		name := filepath.Join("../../../samples/settings", sample)
		settings, err := gwsettings.Load(name, gwsettings.Overrides{})
		require.NoError(t, err)
		require.Equal(t, settings.Listen, settings.Advertise)

		settings, err = gwsettings.Load(name, gwsettings.Overrides{Host: "other", ListenPeers: "127.0.0.1:1"})
		require.NoError(t, err)
		require.Equal(t, "other", string(settings.Host))
		require.Equal(t, "127.0.0.1:1", settings.Advertise.Peers)
	}
	_, err := gwsettings.Load("testdata/missing.json", gwsettings.Overrides{})
	require.ErrorIs(t, err, os.ErrNotExist)
}

// Guards against a planned stop that cuts requests off seconds before the process is killed, because its time does not
// follow that of the platform: with 10 s until the kill, requests were cut after 5.5 s.
func TestPlannedStopUsesTheTimeUntilTheKill(t *testing.T) {
	begin := time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)
	for text, want := range map[string]time.Duration{
		`"kill-after": "10s", "drain-milliseconds": 2500`:       9500 * time.Millisecond,
		`"kill-after": "6s", "drain-milliseconds": 2500`:        5500 * time.Millisecond,
		`"stop-milliseconds": 7000, "drain-milliseconds": 2500`: 7 * time.Second,
	} {
		name := filepath.Join(t.TempDir(), "settings.json")
		complete := `{"host": "h1", "region": "r", "data-centre": "a", "listen": {"callers": "127.0.0.1:1",
			"relay": "127.0.0.1:2", "peers": "127.0.0.1:3", "operators": "127.0.0.1:4"},
			"store-endpoints": ["127.0.0.1:7000"], "host-list-endpoints": ["127.0.0.1:7001"], ` + text + "}"
		require.NoError(t, os.WriteFile(name, []byte(complete), 0o600))
		s, err := gwsettings.Load(name, gwsettings.Overrides{})
		require.NoError(t, err, text)
		require.Equal(t, want, s.StopDeadline(begin).Sub(begin), text)
	}
}

// Guards against a process that does not start because the platform states the slack for retries as a fraction.
func TestRetrySlackMayBeAFraction(t *testing.T) {
	data, err := os.ReadFile("../../../samples/settings/holland-a-entry-1.json")
	require.NoError(t, err)
	end := strings.LastIndex(string(data), "}")
	name := filepath.Join(t.TempDir(), "settings.json")
	with := strings.TrimRight(string(data[:end]), ", \n") + `, "platform": {"retry-slack": 37.2093023255814}}`
	require.NoError(t, os.WriteFile(name, []byte(with), 0o600))
	settings, err := gwsettings.Load(name, gwsettings.Overrides{})
	require.NoError(t, err)
	require.InDelta(t, 37.2, settings.Platform.RetrySlack, 0.1)
}
