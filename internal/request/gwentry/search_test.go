package gwentry

import (
	"testing"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
)

// Load pattern: some servers of a service have long queues and others have none. Guards against a request that waits in
// a long queue, probes servers without end, or sends a large body to another region to find a slot.
func TestSearch(t *testing.T) {
	small, large := gwforward.Buffered(make([]byte, 100)), gwforward.Buffered(make([]byte, 60_000))
	var s slotSearch
	require.True(t, s.canProbe())
	require.Empty(t, s.avoid())
	s.addBusy("a", 300)
	s.addBusy("b", 120)
	require.Equal(t, []gw.ServerName{"a", "b"}, s.avoid(), "servers without a slot are not asked again")
	require.True(t, s.mayCrossRegions(small), "the shortest wait is longer than the round trip to another region")
	require.False(t, s.mayCrossRegions(large))
	s.addBusy("c", 400)
	require.False(t, s.canProbe())
	require.Equal(t, []gw.ServerName{"a", "c"}, s.avoid(), "the request waits where the queue is shortest")
	s.exhausted = true
	require.Empty(t, s.avoid())
}

// Guards against a caller that retries and is treated as if its request were new.
func TestCallerTimeouts(t *testing.T) {
	var p callerTimeouts
	require.Zero(t, p.elapsed("names", 1200))
	require.Equal(t, int64(500), p.elapsed("names", 700))
	require.Zero(t, p.elapsed("names", 1300))
	require.Equal(t, int64(600), p.elapsed("names", 700))
	require.Zero(t, p.elapsed("other", 700))
	require.Zero(t, p.elapsed("names", 0))
}
