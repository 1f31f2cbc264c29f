package gwtable_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/version/gwfeed"
	"github.com/geraniumworks/geraniumworks/internal/version/gwtable"
)

// Guards against a process that was started after a restore of the operators' source, has read an older configuration
// with a higher version there, and makes the others go back to it.
func TestOlderConfigOfAnotherProcessIsRefused(t *testing.T) {
	table := gwtable.NewTable()
	hub := gwfeed.NewHub(table.Apply)
	for _, step := range []struct {
		number  uint64
		version gw.ConfigVersion
		want    uint64
	}{
		{number: 9, version: 100, want: 9},
		{number: 7, version: 1000, want: 9},
		{number: 9, version: 1001, want: 9},
		{number: 12, version: 1002, want: 12},
	} {
		item, err := gwtable.ConfigItem(gw.Config{Number: step.number, Version: step.version})
		require.NoError(t, err)
		_, err = hub.Put(item)
		require.NoError(t, err)
		require.Equal(t, step.want, table.State().Config.Number)
	}
	require.Equal(t, gw.ConfigVersion(1002), table.State().Config.Version)
}
