package gwlease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// Guards against a cold server that gets its full load when the time of day jumps ahead.
func TestColdTimeDoesNotFollowTheTimeOfDay(t *testing.T) {
	now := time.Now()
	s := &server{}
	s.noteEntry(now, gw.ServerEntry{Incarnation: "s1/1", WarmAt: now.Add(4 * time.Second).UnixMilli()})
	require.WithinDuration(t, now.Add(4*time.Second), s.coldUntil, time.Millisecond)
	// Round(0) leaves the time of day only, and it is compared when one of two times has nothing else.
	require.NotEqual(t, s.coldUntil.Round(0), s.coldUntil, "the end has a time of day only")
}
