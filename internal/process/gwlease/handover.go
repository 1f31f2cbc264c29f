package gwlease

import (
	"slices"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// handoverState is the progress of passing the cell on to a candidate.
type handoverState struct {
	active    bool
	epoch     gw.Epoch
	requestID uint64
	tried     int
	// stopID is the last request id used before the planned stop, and deadline is the latest time of the handover.
	stopID   uint64
	deadline time.Time
}

// stop starts a planned stop. The Core never becomes controller again.
func (c *Core) stop() {
	if c.stopping {
		return
	}
	c.stopping = true
	c.handover.stopID = c.lastRequestID
	c.handover.deadline = c.now.Add(c.opts.timing.HandoverWait)
	c.progressNow = true
}

// Stopped reports whether a planned stop is complete, so that the process may end.
func (c *Core) Stopped() bool {
	return c.stopping && !c.controls() && !c.handover.active
}

// handOver stops renewing and passes the cell on. The message claims that no controller up to this epoch renews any
// owner, so it is sent only if all owners were fenced. Otherwise the next candidate learns by a probe that this
// controller has stopped, and needs the same proof of the earlier ones.
func (c *Core) handOver() {
	epoch, reachedAll := c.control.epoch, !c.hasUnfencedOwner()
	c.event(Event{Kind: EventControlHandedOver, Host: c.opts.host})
	c.loseControl("handed over")
	c.handover.active, c.handover.epoch, c.handover.tried = reachedAll, epoch, 0
	c.continueHandover()
}

// mayHandOver reports whether this controller passes the cell on now. A stopping controller continues until a read
// has shown that the store answers. Its successor cannot commit before that, and the cell would have no controller.
func (c *Core) mayHandOver() bool {
	if c.stopping {
		return c.confirmedAfter(c.handover.stopID) || !c.now.Before(c.handover.deadline)
	}
	return c.leavesWithSuccessor()
}

// leavesWithSuccessor reports whether this host is leaving or out of service and another candidate exists.
func (c *Core) leavesWithSuccessor() bool {
	return len(c.candidates) > 0 && slices.ContainsFunc(c.listing.Hosts, func(h gw.HostEntry) bool {
		return h.Name == c.opts.host && !inService(c.cfg, h)
	})
}

// continueHandover asks the next candidate after a refusal or a lost answer.
func (c *Core) continueHandover() {
	if !c.handover.active || c.outstanding(c.handover.requestID) {
		return
	}
	others := c.otherCandidates()
	if c.handover.tried >= len(others) {
		c.handover.active = false
		return
	}
	c.sendHandover(others[c.handover.tried])
}

func (c *Core) sendHandover(h gw.HostEntry) {
	r := c.newRequest(requestHandover, c.opts.timing.ProbeTimeout)
	c.handover.requestID = r.id
	c.handover.tried++
	req := gw.HandoverRequest{From: c.opts.instance, Cell: c.opts.cell, Epoch: c.handover.epoch}
	c.emit(SendHandover{ID: r.id, Host: h, Request: req})
}

func (c *Core) handoverAnswered(in HandoverAnswered) {
	r, ok := c.takeRequest(in.ID, requestHandover, requestRelief)
	if !ok || r.kind == requestRelief {
		return
	}
	if in.Err == nil && in.Reply.Accepted {
		c.handover.active = false
		return
	}
	c.handoverFailed()
}

func (c *Core) handoverFailed() {
	c.progressNow = true
}

// AcceptsHandover reports how to answer a handover request, which is then passed on as HandoverReceived.
func (c *Core) AcceptsHandover(req gw.HandoverRequest) bool {
	return req.Cell == c.opts.cell && c.isCandidate() && (req.Relieve == 0 || c.canRelieve())
}

// handoverReceived takes over at once, without waiting for probes.
func (c *Core) handoverReceived(req gw.HandoverRequest) {
	if req.Cell == c.opts.cell && req.Relieve > 0 {
		c.reliefRequested(req.Relieve)
		return
	}
	if req.Cell != c.opts.cell || req.Epoch <= c.receivedHandover.epoch {
		return
	}
	c.receivedHandover = coveredEpochs{epoch: req.Epoch, at: c.now}
	// The sender has usually just read the store, so earlier failures of this host are no reason to wait.
	c.store.retryAt = time.Time{}
	c.progressNow = true
	c.readIfOlder(req.Epoch)
}

// readIfOlder asks for a read when the record known to this candidate is older than the given epoch.
func (c *Core) readIfOlder(epoch gw.Epoch) {
	if cell, ok := c.recordedCell(); !c.controls() && (!ok || cell.Epoch < epoch) {
		c.watch.readWanted = true
	}
}
