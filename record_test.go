package geraniumworks_test

import (
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

// Guards against a damaged record that is taken for an assignment.
func TestDamagedRecordIsRefused(t *testing.T) {
	for _, data := range []string{"", "\x00", "\x00garbage", "{}", `{"ranges":[{"first":"0000000000000001"}]}`} {
		_, err := gw.DecodeAssignment([]byte(data))
		require.Error(t, err, "%q", data)
	}
}
