package gwentry

import (
	"testing"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
)

// Load pattern: some servers of a service have long queues and others none. Guards against a request that waits at
// a long queue, asks for ever, or sends a large body to another region in search of a slot.
func TestSearch(t *testing.T) {
	small, large := gwforward.Buffered(make([]byte, 100)), gwforward.Buffered(make([]byte, 60_000))
	var s search
	require.True(t, s.probing())
	require.Empty(t, s.avoid())
	s.found("a", 300)
	s.found("b", 120)
	require.Equal(t, []gw.ServerName{"a", "b"}, s.avoid(), "servers without a slot are not asked again")
	require.True(t, s.crosses(small), "the shortest wait is longer than the way to another region")
	require.False(t, s.crosses(large))
	s.found("c", 400)
	require.False(t, s.probing())
	require.Equal(t, []gw.ServerName{"a", "c"}, s.avoid(), "the request waits where the queue is shortest")
	s.over = true
	require.Empty(t, s.avoid())
}

// Guards against a caller that comes back and is treated as if it had just begun to wait.
func TestPatience(t *testing.T) {
	var p patience
	require.Zero(t, p.spent("names", 1200))
	require.Equal(t, int64(500), p.spent("names", 700))
	require.Zero(t, p.spent("names", 1300))
	require.Equal(t, int64(600), p.spent("names", 700))
	require.Zero(t, p.spent("other", 700))
	require.Zero(t, p.spent("names", 0))
}
