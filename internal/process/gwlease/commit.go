package gwlease

import (
	"errors"

	gw "github.com/geraniumworks/geraniumworks"
)

// write is the one commit that is outstanding or whose outcome is unknown.
type write struct {
	id       uint64
	expected gw.StoreVersion
	next     gw.Assignment
	takeover bool
	// unknown is set when the answer was lost. The write may then be applied until the record has another
	// version, so it is repeated unchanged until that is the case.
	unknown bool
	// readID is the newest read after which the record still had the expected version.
	readID uint64
	// events are reported once the record shows the write.
	events []Event
}

func (c *Core) startWrite(next gw.Assignment, takeover bool, events []Event) {
	next = next.WithRevision(c.record.assignment.Revision+1, c.o.writeIDs())
	c.write = &write{expected: c.record.version, next: next, takeover: takeover, events: events}
	c.sendWrite()
}

func (c *Core) sendWrite() {
	r := c.newRequest(requestCommit, c.o.timing.StoreTimeout)
	c.write.id = r.id
	c.write.unknown = false
	c.emit(CommitAssignment{ID: r.id, Expected: c.write.expected, Next: c.write.next})
}

// resolveWrite repeats a write whose outcome is unknown after a read has shown that it is not yet applied.
func (c *Core) resolveWrite() {
	w := c.write
	if w == nil {
		return
	}
	if !w.unknown && !c.outstanding(w.id) {
		w.unknown = true
	}
	if !w.unknown || w.readID <= w.id || c.now.Before(c.store.retryAt) || c.record.stale {
		return
	}
	if w.takeover {
		// A candidate repeats it only while the controller is missing. A late apply is harmless: the record
		// then names this Core, which finds that out by reading.
		if cell, ok := c.recordedCell(); !c.isCandidate() || ok && !c.overdue(cell) {
			return
		}
	}
	c.sendWrite()
}

func (c *Core) writeReadBack(readID uint64) {
	if c.write != nil && readID > c.write.id && c.record.version == c.write.expected {
		c.write.readID = readID
	}
}

func (c *Core) commitDone(in CommitDone) {
	r, ok := c.takeRequest(in.ID, requestCommit)
	if !ok {
		return
	}
	c.wake = true
	current := c.write != nil && c.write.id == r.id
	switch {
	case in.Err == nil:
		c.storeAnswered()
		if current {
			c.adopt(in.Version, c.write.next, r)
			c.confirm(r)
		}
	case errors.Is(in.Err, gw.ErrConflict):
		c.storeAnswered()
		c.conflict(current)
		if in.Found {
			// The answer is a read of the record, made after the request was sent.
			c.watch.readWanted = false
			c.adopt(in.Version, in.Current, r)
			c.confirm(r)
			c.writeReadBack(r.id)
		}
	case errors.Is(in.Err, gw.ErrValueTooLarge):
		c.tooLarge(current)
	default:
		c.storeFailed()
		// The store does not answer this host either, so that the controller may as well go on.
		c.relieve = 0
		if current {
			c.write.unknown = true
		}
	}
}

// conflict ends a write that was not applied and never will be, nor was an earlier attempt that is still
// unknown: the record has left the expected version.
func (c *Core) conflict(current bool) {
	c.watch.readWanted = true
	if !current {
		return
	}
	c.event(Event{Kind: EventCommitConflict, Detail: c.write.next.WriteID})
	c.pace.conflicted(c.now)
	if c.record.version == c.write.expected {
		c.record.stale = true
	}
}

// tooLarge drops a write that the store refuses for its size, with the splits that made it so large.
func (c *Core) tooLarge(current bool) {
	c.plan.Splits = nil
	if current {
		c.event(Event{Kind: EventMoveRefused, Detail: "the record would be too large for the store"})
		c.write = nil
		c.cancelMoves()
	}
}

// settleWrite ends a write once the record has left the version it expected.
func (c *Core) settleWrite() {
	w := c.write
	if w == nil || c.record.version <= w.expected {
		return
	}
	c.write = nil
	if c.record.assignment.WriteID != w.next.WriteID {
		// Another commit may have followed the write, so that its ranges are settled by comparison alone.
		c.pace.conflicted(c.now)
		c.event(Event{Kind: EventCommitConflict, Detail: w.next.WriteID})
		if c.o.faults.noEpochCheck && !w.takeover {
			next := c.record.assignment
			next.Ranges = w.next.Ranges
			c.startWrite(next, false, nil)
		}
		return
	}
	c.pace.committed()
	for _, e := range w.events {
		c.event(e)
	}
}
