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
	// creates is set when the store has no record.
	creates bool
	// noEffect is set when the store has not applied the last attempt and never will. unanswered is set when that is not
	// known of an earlier attempt.
	noEffect   bool
	unanswered bool
	// outcomeUnknown is set when the answer was lost. The store may still apply the write until the record has
	// another version, so the write is repeated unchanged until then.
	outcomeUnknown bool
	// notAppliedID is the newest read that showed the record still at the expected version.
	notAppliedID uint64
	// events are emitted once the record shows the write.
	events []Event
}

func (c *Core) startWrite(next gw.Assignment, takeover bool, events []Event) {
	if !takeover {
		next = c.withPredecessorsStopped(next)
	}
	next = next.WithRevision(c.nextRevision(), c.opts.writeIDs())
	c.write = &write{
		expected: c.record.version, next: next, takeover: takeover, creates: c.record.absent, events: events,
	}
	c.sendWrite()
}

func (c *Core) sendWrite() {
	r := c.newRequest(requestCommit, c.opts.timing.StoreTimeout)
	c.write.unanswered = c.write.unanswered || c.write.id > 0 && !c.write.noEffect
	c.write.id = r.id
	c.write.outcomeUnknown, c.write.noEffect = false, false
	expected := c.write.expected
	if c.write.creates {
		expected = 0
	}
	c.emit(CommitAssignment{ID: r.id, Expected: expected, Next: c.write.next})
}

// resolveWrite repeats a write of unknown outcome after a read has shown that it is not applied yet.
func (c *Core) resolveWrite() {
	w := c.write
	if w == nil {
		return
	}
	if !w.outcomeUnknown && !c.outstanding(w.id) {
		w.outcomeUnknown = true
	}
	if !w.outcomeUnknown || w.notAppliedID <= w.id || c.now.Before(c.store.retryAt) || c.record.stale {
		return
	}
	if w.takeover {
		// A candidate repeats it only while a takeover is due. If the store applies the first attempt late, the
		// record names this Core, which learns that from its next read.
		if cell, ok := c.recordedCell(); !c.isCandidate() || ok && !c.shouldTakeOver(cell) {
			return
		}
	}
	c.sendWrite()
}

func (c *Core) noteNotApplied(readID uint64) {
	if c.write != nil && readID > c.write.id && c.record.version == c.write.expected {
		c.write.notAppliedID = readID
	}
}

func (c *Core) commitDone(in CommitDone) {
	r, ok := c.takeRequest(in.ID, requestCommit)
	if !ok {
		return
	}
	c.progressNow = true
	current := c.write != nil && c.write.id == r.id
	switch {
	case in.Err == nil:
		c.storeAnswered()
		if current {
			c.adoptRecord(in.Version, c.write.next, r)
			c.extendAuthority(r)
		}
	case errors.Is(in.Err, gw.ErrConflict):
		c.storeAnswered()
		c.conflict(current)
		if in.Found {
			// The answer is a read of the record, made after the request was sent.
			c.watch.readWanted = false
			c.adoptRecord(in.Version, in.Current, r)
			c.noteRepaired(in.Version, in.Repaired)
			c.extendAuthority(r)
			c.noteNotApplied(r.id)
		}
	case errors.Is(in.Err, gw.ErrValueTooLarge):
		c.tooLarge(current)
	case errors.Is(in.Err, gw.ErrBadText), errors.Is(in.Err, gw.ErrBadRange):
		c.dropWrite(current, in.Err.Error())
	default:
		c.storeFailed()
		// The store does not answer this host either, so there is no point in taking over from a controller that
		// asked for relief.
		c.reliefEpoch = 0
		if current {
			c.write.outcomeUnknown = true
			c.write.noEffect = errors.Is(in.Err, gw.ErrStoreUnavailable)
		}
	}
}

// conflict handles a write that was not applied and never will be. The record has left the expected version, so an
// earlier attempt of unknown outcome cannot be applied either.
func (c *Core) conflict(current bool) {
	c.watch.readWanted = true
	if !current {
		return
	}
	c.write.noEffect = true
	c.event(Event{Kind: EventCommitConflict, Detail: c.write.next.WriteID})
	c.throttle.conflicted(c.now)
	if c.record.version == c.write.expected {
		c.record.stale = true
	}
}

// tooLarge repeats a write that the store refuses because of its size without the handovers, since these grow with what
// servers hand over. It drops a write without any, together with the planned splits.
func (c *Core) tooLarge(current bool) {
	if current {
		if next, ok := c.write.next.WithoutHandovers(); ok {
			c.event(Event{Kind: EventHandoverDropped, Detail: "the record would be too large for the store"})
			w := c.write
			c.startWrite(next, w.takeover, w.events)
			return
		}
	}
	c.dropWrite(current, "the record would be too large for the store")
}

// dropWrite drops a write that can never be applied, together with the planned splits.
func (c *Core) dropWrite(current bool, detail string) {
	c.plan.Splits = nil
	if current {
		c.event(Event{Kind: EventMoveRefused, Detail: detail})
		c.write = nil
		c.cancelMoves(detail)
	}
}

// endWrite ends a write once the record has left the version that the write expected.
func (c *Core) endWrite() {
	w := c.write
	if w == nil || c.record.version <= w.expected {
		return
	}
	c.write = nil
	if c.record.assignment.WriteID != w.next.WriteID {
		// Another commit may have followed the write, so moves are reconciled by comparing the ranges (see
		// endMoves).
		c.throttle.conflicted(c.now)
		c.event(Event{Kind: EventCommitConflict, Detail: w.next.WriteID})
		if c.opts.faults.noEpochCheck && !w.takeover {
			next := c.record.assignment
			next.Ranges = w.next.Ranges
			c.startWrite(next, false, nil)
		}
		return
	}
	c.throttle.committed()
	for _, e := range w.events {
		c.event(e)
	}
}
