package geraniumworks_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	gw "github.com/geraniumworks/geraniumworks"
)

// drawAssignment draws an assignment with ranges that start at multiples of a sixteenth of the key space.
func drawAssignment(t *rapid.T, label string) gw.Assignment {
	a := gw.NewAssignment(gw.KeySpace{Service: "s", Region: "r"})
	a.Revision = gw.Revision(rapid.Uint64Range(1, 9).Draw(t, label+" revision"))
	for _, n := range slices.Sorted(slices.Values(rapid.SliceOfNDistinct(rapid.Uint64Range(1, 15), 0, 12,
		func(n uint64) uint64 { return n }).Draw(t, label+" starts"))) {
		a.Ranges = append(a.Ranges, gw.OwnedRange{First: gw.Position(n << 60)})
	}
	for i := range a.Ranges {
		a.Ranges[i].Owner = rapid.SampledFrom([]gw.ServerName{"", "s1", "s2"}).Draw(t, label+" owner")
		a.Ranges[i].Token = gw.Revision(rapid.Uint64Range(0, 2).Draw(t, label+" token"))
		a.Ranges[i].Handover = rapid.SampledFrom([]string{"", "h"}).Draw(t, label+" handover")
	}
	if rapid.Bool().Draw(t, label+" cell") {
		a = a.WithCell(gw.Cell{DataCentre: "a", Epoch: 2, Host: "h1"})
	}
	return a
}

// Guards against a host whose owners of keys differ from the record after it was sent only what has changed.
func TestChangeLeadsToTheOtherRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawAssignment(t, "from"), drawAssignment(t, "to")
		data, err := gw.EncodeChange(from, to)
		require.NoError(t, err)
		got, err := from.WithChange(data)
		require.NoError(t, err)
		require.Equal(t, to.Ranges, got.Ranges)
		require.Equal(t, to.Revision, got.Revision)
		require.Equal(t, to.WriteID, got.WriteID)
		require.True(t, slices.Equal(to.Cells, got.Cells))
	})
}

// Guards against a process that ends, or takes over a record that does not cover its key space, when a change is
// spoilt or was made from another revision.
func FuzzChange(f *testing.F) {
	from := gw.NewAssignment(gw.KeySpace{Service: "s", Region: "r"}).WithSplit(1 << 60)
	data, err := gw.EncodeChange(from, from.WithSplit(1<<61))
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		if got, err := from.WithChange(data); err == nil {
			require.NoError(t, got.Validate())
		}
	})
}
