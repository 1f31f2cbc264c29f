package gwpublish_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/version/gwconfig"
	"github.com/geraniumworks/geraniumworks/internal/version/gwpublish"
)

// Guards against publishing that stops for good, because the audit entries under one key become larger than the store's
// values: each change stores the entry of the one before first.
func TestLargestChangesCanFollowEachOther(t *testing.T) {
	const files, changes = 99, 20
	store := newMemoryStore()
	text := strings.Repeat("\x01", 1000)
	p := publisher(store, text)
	for n := range changes {
		change := gwpublish.Change{Reason: text + fmt.Sprint(n), Base: gw.ConfigVersion(n)}
		if n == 0 {
			change.Files = append(change.Files, site(siteText))
		}
		for i := range files {
			src := service(fmt.Sprintf("s%d", i), false, both, n+1)
			src.Path = fmt.Sprintf("%0*d.json", gwconfig.MaxPathBytes-len(".json"), i)
			change.Files = append(change.Files, src)
		}
		result, err := p.Publish(context.Background(), change)
		require.NoError(t, err)
		require.EqualValues(t, n+1, result.Version)
	}
	for key, value := range store.values {
		require.LessOrEqual(t, len(value.Data), gw.MaxValueBytes, key)
	}
	entries, err := gwpublish.Audit(context.Background(), store, 0)
	require.NoError(t, err)
	require.Len(t, entries, changes)
	require.Len(t, entries[0].Files, files)
}
