package gwlease

import (
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// reliefFailures is the number of consecutive failed store calls before a controller asks for relief. A single call
// may be lost by chance, and refusals by the store arrive within milliseconds.
const reliefFailures = 2

// reliefState is the progress of relief: a controller that cannot reach the store asks candidates to take over.
type reliefState struct {
	requestID uint64
	tried     int
	// failures is the number of consecutive failed calls when it last asked. It asks once per failure, so that it
	// does not pass on the cell after the store has recovered but before the next call.
	failures int
	// askAgain is when a controller that reaches no server asks the next candidate.
	askAgain time.Time
}

// reliefInterval is the time between requests of a controller that reaches no server. A takeover takes less.
const reliefInterval = 500 * time.Millisecond

// askForRelief asks a candidate to take over while this controller cannot reach the store or any server, which other
// hosts may still reach. The controller continues until the record names a successor, so a candidate that cannot commit
// either has no effect. A stopping controller does not ask, because candidates take over from it anyway.
func (c *Core) askForRelief() {
	storeLost := c.store.failures >= reliefFailures
	if c.stopping || !storeLost && !c.cutOff {
		c.relief = reliefState{}
		return
	}
	due := storeLost && c.store.failures != c.relief.failures || c.cutOff && !c.now.Before(c.relief.askAgain)
	if !due || c.outstanding(c.relief.requestID) {
		return
	}
	others := c.otherCandidates()
	if len(others) == 0 {
		return
	}
	h := others[c.relief.tried%len(others)]
	r := c.newRequest(requestRelief, c.opts.timing.ProbeTimeout)
	c.relief = reliefState{
		requestID: r.id, tried: c.relief.tried + 1, failures: c.store.failures, askAgain: c.now.Add(reliefInterval),
	}
	detail := "the store does not answer this host"
	if !storeLost {
		detail = "this host reaches no server"
	}
	c.event(Event{Kind: EventReliefAsked, Host: h.Name, Detail: detail})
	c.emit(SendHandover{ID: r.id, Host: h, Request: gw.HandoverRequest{
		From: c.opts.instance, Cell: c.opts.cell, Relieve: c.control.epoch,
	}})
}

// canRelieve reports whether a takeover commit by this candidate can be expected to succeed.
func (c *Core) canRelieve() bool {
	return c.isCandidate() && !c.controls() && !c.cutOff && c.storeHealthy()
}

// reliefRequested takes over from a controller that is still acting, as from one wrongly considered lost.
func (c *Core) reliefRequested(epoch gw.Epoch) {
	if !c.canRelieve() {
		return
	}
	c.reliefEpoch = max(c.reliefEpoch, epoch)
	c.progressNow = true
	c.readIfOlder(epoch)
}
