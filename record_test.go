package geraniumworks_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// Guards against a record of a large key space that cannot be read back, and against one that is written uncompressed:
// 660 ranges were 75 KB at each commit.
func TestAssignmentInTheStore(t *testing.T) {
	for _, ranges := range []int{1, 660} {
		a := gw.NewAssignment(gw.KeySpace{Service: "lookups", Region: gw.AllRegions})
		for i := 1; i < ranges; i++ {
			a = a.WithSplit(gw.Position(i) << 48)
			var err error
			a, err = a.WithOwner(gw.Position(i)<<48, gw.ServerName(fmt.Sprintf("i-%010x", i%165)), gw.Revision(i))
			require.NoError(t, err)
		}
		data, err := gw.EncodeAssignment(a)
		require.NoError(t, err)
		require.Less(t, len(data), 20*ranges+200)
		read, err := gw.DecodeAssignment(data)
		require.NoError(t, err)
		require.Equal(t, a, read)
	}
}

// Guards against records of an earlier version that can no longer be read after an upgrade.
func TestRecordsAsJSONAreRead(t *testing.T) {
	a := gw.NewAssignment(gw.KeySpace{Service: "lookups", Region: "holland"}).WithSplit(1 << 60)
	data, err := json.Marshal(a)
	require.NoError(t, err)
	read, err := gw.DecodeAssignment(data)
	require.NoError(t, err)
	require.Equal(t, a, read)
}

// Guards against a packed record that makes a host crash or hold ranges that do not cover the key space.
func FuzzDecodeAssignment(f *testing.F) {
	a := gw.NewAssignment(gw.KeySpace{Service: "lookups", Region: gw.AllRegions})
	for i := range 60 {
		a = a.WithSplit(gw.Position(i+1) << 48)
	}
	data, err := gw.EncodeAssignment(a)
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte(`{"ranges":[{"first":"0000000000000000"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if read, err := gw.DecodeAssignment(data); err == nil {
			require.NoError(t, read.Validate())
		}
	})
}

// BenchmarkDecodeAssignment measures what every host does at each commit of a key space with 1,000 ranges.
func BenchmarkDecodeAssignment(b *testing.B) {
	a := gw.NewAssignment(gw.KeySpace{Service: "lookups", Region: gw.AllRegions})
	for i := 1; i < 1000; i++ {
		first := gw.Position(i*65) << 48
		next, err := a.WithSplit(first).WithOwner(first, gw.ServerName(fmt.Sprintf("i-%010x", i%165*7919777)), gw.Revision(i))
		require.NoError(b, err)
		a = next.WithHandover(first, fmt.Sprintf("%016x", i*7919777777))
	}
	data, err := gw.EncodeAssignment(a)
	require.NoError(b, err)
	b.ReportMetric(float64(len(data)), "bytes")
	for b.Loop() {
		_, err := gw.DecodeAssignment(data)
		require.NoError(b, err)
	}
}

// Guards against a damaged record that is taken for an assignment.
func TestDamagedRecordIsRefused(t *testing.T) {
	for _, data := range []string{"", "\x00", "\x00garbage", "{}", `{"ranges":[{"first":"0000000000000001"}]}`} {
		_, err := gw.DecodeAssignment([]byte(data))
		require.Error(t, err, "%q", data)
	}
}
