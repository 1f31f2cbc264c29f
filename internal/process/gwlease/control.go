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
	// startID is the last request id that was used before control started.
	startID uint64
	// abandoned is the highest epoch that this Core has given up. It never acts under it again, so that its
	// answer to a probe proves that it has stopped.
	abandoned gw.Epoch
	// deniedID is the last request id used when the Core last told a probe that it does not control the cell.
	// An answer to a request sent before does not start control, for the same reason.
	deniedID uint64
	// confirmID is the newest request whose answer showed that the record named this Core under epoch, and
	// authorityEnd follows from the time at which it was sent.
	confirmID    uint64
	authorityEnd time.Time
	// wantID is the lowest confirmID that a waiting decision needs.
	wantID uint64
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

// Probe answers a probe. A reply without epoch is a promise: the Core never again acts under the epoch
// recorded now or a lower one. It gives no answer while it is about to act: with a promise it could not act under the
// answer of the store that it waits for, and probes come more often than a slow store answers.
func (c *Core) Probe(now time.Time) (reply gw.ProbeReply, answers bool) {
	if c.starts() {
		return gw.ProbeReply{}, false
	}
	epoch := c.Controls(now)
	if epoch == 0 {
		c.control.abandoned = max(c.control.abandoned, c.control.epoch)
		c.control.deniedID = c.lastID
	}
	return gw.ProbeReply{Instance: c.o.instance, Epoch: epoch, Stopping: c.stopping}, true
}

// starts reports whether the Core waits for the answer to its takeover, or for the read that lets it act.
func (c *Core) starts() bool {
	if c.controls() || c.stopping {
		return false
	}
	cell, ok := c.recordedCell()
	return ok && cell.Controller == c.o.instance && cell.Epoch > c.control.abandoned ||
		c.write != nil && c.write.takeover && c.outstanding(c.write.id)
}

// endAuthority stops a controller that could not read the record for too long, or that has told a probe that
// it has stopped.
func (c *Core) endAuthority() {
	if !c.controls() {
		return
	}
	if !c.now.Before(c.control.authorityEnd) || c.control.epoch <= c.control.abandoned {
		c.event(Event{Kind: EventAuthorityEnded, Host: c.o.host})
		c.loseControl("authority has ended")
	}
}

// confirm extends authority after an answer that showed the record with this Core as controller.
func (c *Core) confirm(r *request) {
	cell, ok := c.recordedCell()
	if !c.controls() || !ok || cell.Controller != c.o.instance || cell.Epoch != c.control.epoch {
		return
	}
	c.control.confirmID = max(c.control.confirmID, r.id)
	if end := r.sent.Add(c.o.timing.Authority); end.After(c.control.authorityEnd) {
		c.control.authorityEnd = end
	}
	if c.control.wantID == 0 || c.control.confirmID < c.control.wantID {
		return
	}
	c.control.wantID = 0
	for _, s := range c.byName {
		if !s.up {
			s.sendAt = c.now
		}
	}
}

// confirmedAfter reports whether the record named this Core in a read sent after the request id, and asks for
// such a read otherwise. A decision that rests on the end of another process needs it: a successor may have
// seen the same end, and acted on it, before this Core did.
func (c *Core) confirmedAfter(id uint64) bool {
	if c.control.confirmID > id {
		return true
	}
	if c.control.wantID <= id {
		c.control.wantID = id + 1
	}
	return false
}

// checkControl starts or ends control according to the record.
func (c *Core) checkControl(basis *request) {
	cell, ok := c.recordedCell()
	if c.controls() {
		if cell.Controller != c.o.instance || cell.Epoch != c.control.epoch {
			c.loseControl("the record names " + string(cell.Host))
		}
		return
	}
	if !ok || cell.Controller != c.o.instance || cell.Epoch <= c.control.abandoned || c.stopping {
		return
	}
	if basis == nil || basis.id <= c.control.deniedID {
		c.watch.readWanted = true
		return
	}
	c.startControl(cell, basis)
}

// startControl begins to act under an epoch that the record shows.
func (c *Core) startControl(cell gw.Cell, basis *request) {
	c.control.epoch = cell.Epoch
	c.control.since = c.now
	c.control.startID = c.lastID
	c.control.wantID = 0
	c.bumpAbove = 0
	c.control.confirmID = basis.id
	c.control.authorityEnd = basis.sent.Add(c.o.timing.Authority)
	c.directory = directoryState{}
	c.event(Event{Kind: EventControlTaken, Host: c.o.host})
	c.resetServers()
	c.resetHosts()
	c.wake = true
}

// loseControl gives up the epoch for good.
func (c *Core) loseControl(detail string) {
	c.event(Event{Kind: EventControlLost, Host: c.o.host, Detail: detail})
	c.control.abandoned = max(c.control.abandoned, c.control.epoch)
	c.control.epoch = 0
	c.write = nil
	c.plan = gw.Plan{}
	clear(c.moves)
	c.watch = watch{readWanted: true}
	c.wake = true
}
