package gwentry

import (
	"testing"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// Guards against routes of an older configuration that stay in use because the newer one was read at the same revision
// of a restored store.
func TestNewerConfigOfTheSameRevisionIsUsed(t *testing.T) {
	cfg := gw.Config{Version: 50, Number: 7}
	h := New(WithConfig(func() gw.Config { return cfg }))
	_, ok := h.currentIndex().route("a.example", "/x/")
	require.False(t, ok)
	cfg = gw.Config{Version: 50, Number: 10, Routes: []gw.Route{{Name: "added", PathPrefix: "/x"}}}
	_, ok = h.currentIndex().route("a.example", "/x/")
	require.True(t, ok)
}
