package gwdispatch

import (
	"time"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwcost"
)

type requestState int

const (
	stateWaiting requestState = iota
	stateRunning
	// stateHeld is the state after an unknown outcome without an end of the answer. The server may still be running
	// the request, so its slot stays occupied.
	stateHeld
	stateEnded
	stateRefused
)

// request is a request for a server, from its arrival until its slot is free.
type request struct {
	gw.SlotRequest
	state   requestState
	refusal *gw.Refusal

	arrived time.Time
	// queueDeadline is when the request is refused if it is still waiting.
	queueDeadline time.Time
	started       time.Time

	// server, incarnation and sendBefore are those in force when the slot was granted.
	server      *gw.DispatchServer
	incarnation gw.Incarnation
	sendBefore  time.Time
	// fractional is true when the request occupies the slot that a cold server may use only part of the time.
	fractional bool
	// cost, expectedStart and rank are set for cost-aware services only: the expected cost, when the request is expected
	// to start, and how many requests of its tenant and priority go before it.
	cost          gwcost.Estimate
	expectedStart time.Time
	rank          int
	// rule is the rule by which the request of a cost-aware service was refused, and returns is set when its caller is
	// expected to return.
	rule    string
	returns bool
	// index is the position in serverState.busy.
	index int

	// ready is closed when a waiting request gets a slot or is refused. It is nil for a request that never waited.
	ready chan struct{}
}

// inRanges reports whether the request's position lies in one of the ranges. An empty list stands for the whole server.
func (r *request) inRanges(ranges []gw.Range) bool {
	if len(ranges) == 0 {
		return true
	}
	for _, rng := range ranges {
		if r.HasKey && rng.Contains(r.Position) {
			return true
		}
	}
	return false
}
