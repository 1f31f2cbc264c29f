package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/geraniumworks/geraniumworks/internal/process/gwlease"
)

// Guards against holds that are shorter than requests: a server ends work that outlasts the hold under which it
// began, even if the hold was renewed meanwhile. With holds of 2 s, 5% of the lookups on calm days ended with 500,
// each after a slot was taken for more than a second.
func TestHoldsOutlastRequests(t *testing.T) {
	timing := gwlease.DefaultTiming()
	// A hold counts from the last answer, which is one interval old when the grant is sent, and work may begin just before
	// the next grant.
	least := platformSession - 2*timing.RenewEvery
	require.GreaterOrEqual(t, least, 2*time.Second)
	// The keys of a lost server must be served again within 5 s. A commit, a grant and its dissemination take 0.6 s.
	unowned := timing.GrantTimeout + platformSession + platformSession/20 + timing.ClockMargin
	require.Less(t, unowned+600*time.Millisecond, 5*time.Second)
}
