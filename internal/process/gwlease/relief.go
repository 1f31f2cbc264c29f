package gwlease

import (
	gw "github.com/geraniumworks/geraniumworks"
)

// reliefFailures is the number of calls to the store that fail in a row before a controller asks for relief: one may be
// lost by chance, and refusals of the store come within milliseconds.
const reliefFailures = 2

// reliefState is the progress of a controller that cannot reach the store in asking candidates to take over.
type reliefState struct {
	requestID uint64
	tried     int
	// failures are the failed calls in a row after which it last asked. It asks once after each, so that it does not pass
	// on a cell after the store is back and before it has called again.
	failures int
}

// askRelief asks a candidate to take the cell over while this controller cannot reach the store, which may serve other
// hosts. The controller goes on until the record names a successor: one that cannot commit either changes nothing.
// Candidates take over from a controller that stops without being asked.
func (c *Core) askForRelief() {
	if c.stopping || c.store.failures < reliefFailures {
		c.relief = reliefState{}
		return
	}
	if c.outstanding(c.relief.requestID) || c.store.failures == c.relief.failures {
		return
	}
	others := c.otherCandidates()
	if len(others) == 0 {
		return
	}
	h := others[c.relief.tried%len(others)]
	r := c.newRequest(requestRelief, c.opts.timing.ProbeTimeout)
	c.relief = reliefState{requestID: r.id, tried: c.relief.tried + 1, failures: c.store.failures}
	c.event(Event{Kind: EventReliefAsked, Host: h.Name, Detail: "the store does not answer this host"})
	c.emit(SendHandover{ID: r.id, Host: h, Request: gw.HandoverRequest{
		From: c.opts.instance, Cell: c.opts.cell, Relieve: c.control.epoch,
	}})
}

// mayRelieve reports whether this candidate can be expected to commit a takeover.
func (c *Core) canRelieve() bool {
	return c.isCandidate() && !c.controls() && c.storeHealthy()
}

// reliefAsked takes over from a controller that goes on meanwhile, as from one that is wrongly taken for lost.
func (c *Core) reliefRequested(epoch gw.Epoch) {
	if !c.canRelieve() {
		return
	}
	c.reliefEpoch = max(c.reliefEpoch, epoch)
	c.progressNow = true
	c.readIfOlder(epoch)
}
