package gwsettings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

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
