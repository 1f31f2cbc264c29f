package gwlease

import (
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// control is this Core's right to control the cell.
type control struct {
	// epoch is zero while the Core does not control the cell.
	epoch gw.Epoch
	since time.Time
	// startID is the last request id used before control started.
	startID uint64
	// abandonedEpoch is the highest epoch that this Core has given up. It never acts under that epoch or a lower one
	// again, so its answer to a probe proves that it has stopped.
	abandonedEpoch gw.Epoch
	// deniedID is the last request id used when the Core last told a probe that it does not control the cell. The
	// answer to a request up to this id must not start control, because the probe's sender relies on the denial.
	deniedID uint64
	// confirmedID is the newest request whose answer showed that the record named this Core under epoch.
	// authorityEnd follows from the time at which a confirming request was sent.
	confirmedID  uint64
	authorityEnd time.Time
	// neededID is the lowest confirmedID that a waiting decision needs.
	neededID uint64
}

// controls reports whether the Core controls the cell.
func (c *Core) controls() bool {
	return c.control.epoch != 0
}

// Controls returns the epoch under which the Core controls the cell, zero when it does not.
func (c *Core) Controls(now time.Time) gw.Epoch {
	if !c.controls() || !now.Before(c.control.authorityEnd) {
		return 0
	}
	return c.control.epoch
}

// Probe answers a probe. A reply without epoch is a promise never again to act under the epoch recorded now or a
// lower one. While the Core waits for the store to confirm its takeover it gives no answer: the promise would
// invalidate the takeover, and probes arrive more often than a slow store answers.
func (c *Core) Probe(now time.Time) (reply gw.ProbeReply, answers bool) {
	if c.isStarting() {
		return gw.ProbeReply{}, false
	}
	epoch := c.Controls(now)
	if epoch == 0 {
		c.control.abandonedEpoch = max(c.control.abandonedEpoch, c.control.epoch)
		c.control.deniedID = c.lastRequestID
	}
	return gw.ProbeReply{Instance: c.opts.instance, Epoch: epoch, Stopping: c.stopping}, true
}

// isStarting reports whether the Core waits for the answer to its takeover commit, or for the read that lets it act.
func (c *Core) isStarting() bool {
	if c.controls() || c.stopping {
		return false
	}
	cell, ok := c.recordedCell()
	return ok && cell.Controller == c.opts.instance && cell.Epoch > c.control.abandonedEpoch ||
		c.write != nil && c.write.takeover && c.outstanding(c.write.id)
}

// Dormant reports whether the Core can be dropped: it does not control the cell, the record does not name its process,
// and no commit of it may still be applied. A Core that is created later can then act only after a new takeover.
func (c *Core) Dormant() bool {
	if c.controls() || c.write != nil || c.isStarting() {
		return false
	}
	cell, ok := c.recordedCell()
	return !ok || cell.Controller != c.opts.instance
}

// endAuthority ends control when the Core has not read the record for too long, or has told a probe that it has
// stopped.
func (c *Core) endAuthority() {
	if !c.controls() {
		return
	}
	if !c.now.Before(c.control.authorityEnd) || c.control.epoch <= c.control.abandonedEpoch {
		c.event(Event{Kind: EventAuthorityEnded, Host: c.opts.host})
		c.loseControl("authority has ended")
	}
}

// extendAuthority extends the authority after an answer that showed this Core as the recorded controller.
func (c *Core) extendAuthority(r *request) {
	cell, ok := c.recordedCell()
	if !c.controls() || c.record.unwritten || !ok || cell.Controller != c.opts.instance || cell.Epoch != c.control.epoch {
		return
	}
	c.control.confirmedID = max(c.control.confirmedID, r.id)
	if end := r.sentAt.Add(c.opts.timing.Authority); end.After(c.control.authorityEnd) {
		c.control.authorityEnd = end
	}
	if c.control.neededID == 0 || c.control.confirmedID < c.control.neededID {
		return
	}
	c.control.neededID = 0
	for _, s := range c.byName {
		if !s.sessionLive {
			s.sendAt = c.now
		}
	}
}

// confirmedAfter reports whether a read sent after the request id showed the record naming this Core, and asks for
// such a read otherwise. Decisions based on the end of another process need it, because a successor may have seen
// the same end and acted on it before this Core did.
func (c *Core) confirmedAfter(id uint64) bool {
	if c.control.confirmedID > id {
		return true
	}
	if c.control.neededID <= id {
		c.control.neededID = id + 1
	}
	return false
}

// checkControl starts or ends control according to the record.
func (c *Core) checkControl(basis *request) {
	cell, ok := c.recordedCell()
	if c.controls() {
		if cell.Controller != c.opts.instance || cell.Epoch != c.control.epoch {
			c.loseControl("the record names " + string(cell.Host))
		}
		return
	}
	if !ok || cell.Controller != c.opts.instance || cell.Epoch <= c.control.abandonedEpoch || c.stopping {
		return
	}
	if basis == nil || basis.id <= c.control.deniedID {
		c.watch.readWanted = true
		return
	}
	c.startControl(cell, basis)
}

// startControl begins to act under a recorded epoch.
func (c *Core) startControl(cell gw.Cell, basis *request) {
	c.control.epoch = cell.Epoch
	c.control.since = c.now
	c.control.startID = c.lastRequestID
	c.control.neededID = 0
	c.raiseRevisionAbove = 0
	c.restore.uncertain = nil
	c.control.confirmedID = basis.id
	c.control.authorityEnd = basis.sentAt.Add(c.opts.timing.Authority)
	c.directory, c.loads = directoryState{}, publishedLoads{}
	c.event(Event{Kind: EventControlTaken, Host: c.opts.host})
	c.resetServers()
	c.resetHosts()
	c.progressNow = true
}

// loseControl permanently gives up the current epoch.
func (c *Core) loseControl(detail string) {
	c.event(Event{Kind: EventControlLost, Host: c.opts.host, Detail: detail})
	c.control.abandonedEpoch = max(c.control.abandonedEpoch, c.control.epoch)
	c.control.epoch = 0
	c.write = nil
	c.plan = gw.Plan{}
	clear(c.moves)
	c.watch = controllerWatch{readWanted: true}
	c.progressNow = true
}
