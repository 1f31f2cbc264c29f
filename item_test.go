package geraniumworks_test

import (
	"crypto/sha256"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// Guards against an item that is sent to all hosts and that none can read, because it is larger than they unpack.
func TestItemOfAnySizeIsReadBackOrRefused(t *testing.T) {
	for _, size := range []int{0, 1 << 10, 1<<10 + 1, 1 << 20, 5 << 20, 32<<20 - 2, 32 << 20} {
		value := strings.Repeat("route", size/5+1)[:size]
		item, err := gw.NewItem("config", gw.ItemVersion{Epoch: 1}, value)
		if err != nil {
			require.ErrorIs(t, err, gw.ErrValueTooLarge)
			require.Greater(t, size+2, 32<<20, "%d bytes are refused", size)
			continue
		}
		var read string
		require.NoError(t, item.Decode(&read), "%d bytes are sent and cannot be read", size)
		require.Len(t, read, size)
		require.Equal(t, sha256.Sum256([]byte(value)), sha256.Sum256([]byte(read)), "%d bytes are read as others", size)
	}
}
