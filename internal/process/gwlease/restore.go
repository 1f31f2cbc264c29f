package gwlease

import (
	"slices"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// restore is what the Core knows of the newest restore of the store from an older copy. See docs/OWNERSHIP.md.
type restore struct {
	era gw.Era
	// seenID is the last request id used when the restored store was first seen, at seenAt.
	seenID uint64
	seenAt time.Time
	// writtenAt is when a record committed in this era was first seen. No read since then has shown what the copy held.
	writtenAt time.Time
	// uncertain are the ranges moved by a commit of an earlier era whose outcome is unknown.
	uncertain []gw.Range
}

// restored reports whether a new record shows that the store has lost a commit that is known here.
func (r record) restored(version gw.StoreVersion, a gw.Assignment) bool {
	return r.found && (version.Era() > r.version.Era() || a.Revision < r.assignment.Revision)
}

// nextRevision returns the revision of the next commit, which is also the token of the ranges that it gives away. It is
// above all that were ever committed.
func (c *Core) nextRevision() gw.Revision {
	if c.opts.faults.reuseRevisions {
		return c.record.assignment.Revision + 1
	}
	return max(c.record.assignment.Revision+1, c.record.version.Era().FirstRevision())
}

// recordGone replaces the record by the one known here after a read has found none.
func (c *Core) recordGone() {
	c.replaceRecord(c.record.version.NextEra(), gw.NewAssignment(c.record.assignment.KeySpace), true)
}

// noteEra starts a new era before the record of the restored store is adopted.
func (c *Core) noteEra(version gw.StoreVersion, a gw.Assignment) {
	switch {
	case c.record.restored(version, a):
		c.carryOver(a)
		// The controller asked for relief in the outage, and only it knows what its servers hold.
		c.reliefEpoch = 0
		c.restore = restore{
			era: version.Era(), seenID: c.lastRequestID, seenAt: c.now, uncertain: c.restore.uncertain,
		}
		c.event(Event{Kind: EventStoreRestored, Host: c.opts.host})
	case version.Era() > c.restore.era:
		c.restore = restore{era: version.Era(), seenAt: c.now}
	}
	if !c.isUnwritten(version, a) && c.restore.writtenAt.IsZero() {
		c.restore.writtenAt = c.now
	}
}

// isUnwritten reports whether a record was not committed in the era in which the store has it.
func (c *Core) isUnwritten(version gw.StoreVersion, a gw.Assignment) bool {
	return a.Revision.Era() < version.Era()
}

// carryOver notes which ranges the servers of this cell may keep although the store may have lost a commit that gave
// them to others: those that this controller granted them before.
func (c *Core) carryOver(a gw.Assignment) {
	if w := c.write; w != nil && (w.unanswered || !w.noEffect) && w.next.WriteID != a.WriteID {
		c.restore.uncertain = append(c.restore.uncertain, changedOwners(c.record.assignment, w.next)...)
	}
	for _, s := range c.byName {
		var carried []gw.GrantedRange
		if c.controls() && s.answered && c.control.confirmedID > s.seenID {
			for _, r := range c.rangesByOwner[s.entry.Name] {
				if c.mayHold(s, r) {
					carried = append(carried, r)
				}
			}
		}
		s.carried, s.proven = carried, nil
		s.fenced = false
		s.sendAt = c.now
	}
	for _, m := range sorted(c.moves) {
		c.cancelMove(m, "the store was restored")
	}
	c.plan = gw.Plan{}
}

// changedOwners returns the ranges of which the owner differs.
func changedOwners(before, after gw.Assignment) []gw.Range {
	var changed []gw.Range
	for i, r := range after.Ranges {
		if before.At(r.First).Owner != r.Owner {
			changed = append(changed, after.Span(i))
		}
	}
	return changed
}

// settled reports whether the owner of a range is certain, because its token is from the present era of the store. The
// token of other ranges may have been taken from an older copy.
func (c *Core) settled(token gw.Revision) bool {
	return token.Era() >= c.record.version.Era()
}

// mayHold reports whether a server may be granted a recorded range. While the owner is not certain, only the server
// that held it before the restore may, under the token that it had: it refuses that token if a later controller, whose
// commits are lost, has granted it a range.
func (c *Core) mayHold(s *server, r gw.GrantedRange) bool {
	return c.settled(r.Token) || c.opts.faults.trustCopy ||
		s != nil && coveredBy(s.carried, r) && !c.uncertain(r.Range)
}

func (c *Core) uncertain(r gw.Range) bool {
	return !c.opts.faults.forgetUncertain && slices.ContainsFunc(c.restore.uncertain, func(u gw.Range) bool {
		return u.First <= r.Last && r.First <= u.Last
	})
}

// coveredBy reports whether a range is part of one in the list that has the same token.
func coveredBy(list []gw.GrantedRange, r gw.GrantedRange) bool {
	return slices.ContainsFunc(list, func(x gw.GrantedRange) bool {
		return x.Token == r.Token && x.First <= r.First && r.Last <= x.Last
	})
}

// noteProven records that a server has accepted its ranges under their earlier tokens after the restore was seen, so
// that no lost commit has given them to another server.
func (c *Core) noteProven(s *server, r *request) {
	if r.id > c.restore.seenID && len(r.unsettled) > 0 {
		s.proven = r.unsettled
		c.progressNow = true
	}
}

// formerHoldsEnded reports whether everything granted under commits that the store has lost has ended: first the
// authority of the controllers that may not know of the restore, then the holds that they gave.
func (c *Core) formerHoldsEnded() bool {
	if c.opts.faults.settleEarly {
		return !c.restore.writtenAt.IsZero()
	}
	holdsEnd := c.formerAuthorityEnd().Add(c.sessionBound() + c.opts.timing.GrantTimeout)
	return !c.restore.writtenAt.IsZero() && !c.now.Before(holdsEnd)
}

func (c *Core) formerAuthorityEnd() time.Time {
	return c.authorityEndBefore(c.restore.writtenAt)
}

// mustWriteBack reports whether the store lacks commits that are known here, or has nothing of this era.
func (c *Core) mustWriteBack() bool {
	return c.record.unwritten || c.restore.writtenAt.IsZero() && c.restore.era > 0
}

// withSettledTokens raises the tokens of ranges whose owner has become certain.
func (c *Core) withSettledTokens(a gw.Assignment, events []Event, token gw.Revision) (gw.Assignment, []Event) {
	if c.restore.era == 0 || !c.settleDue() {
		return a, events
	}
	var ranges []gw.OwnedRange
	ended := c.formerHoldsEnded()
	for i, r := range a.Ranges {
		if c.settled(r.Token) || !c.maySettle(a.Span(i), r, ended) {
			continue
		}
		if ranges == nil {
			ranges = slices.Clone(a.Ranges)
		}
		ranges[i].Token = token
	}
	if ranges == nil {
		return a, events
	}
	a.Ranges = ranges
	return a, append(events, Event{Kind: EventRangesSettled})
}

// settleDue reports whether the servers have had time to prove what they hold, so that few commits are needed.
func (c *Core) settleDue() bool {
	if !c.now.Before(c.restore.seenAt.Add(c.opts.timing.RenewEvery)) {
		return true
	}
	return !slices.ContainsFunc(c.byName, func(s *server) bool { return len(s.carried) > 0 && len(s.proven) == 0 })
}

func (c *Core) maySettle(span gw.Range, r gw.OwnedRange, ended bool) bool {
	switch {
	case ended && c.mayChange(r.Owner):
		return true
	case r.Owner == "" || c.servers[r.Owner] == nil:
		return false
	}
	s := c.servers[r.Owner]
	granted := gw.GrantedRange{Range: span, Token: r.Token}
	return (coveredBy(s.proven, granted) || c.opts.faults.settleUnproven) && c.mayHold(s, granted)
}

// withKnown returns the record of a restored store with what is known here and is missing there: owners under higher
// tokens and, unless the record was committed after the restore, controllers of higher epochs. It reports whether
// there was any.
func withKnown(a, known gw.Assignment, committed bool) (gw.Assignment, bool) {
	ranges, missing := withKnownRanges(a, known)
	if missing {
		a.Ranges = ranges
	}
	if !committed {
		for _, cell := range known.Cells {
			if now, ok := a.Cell(cell.DataCentre); !ok || now.Epoch < cell.Epoch {
				a = a.WithCell(cell)
				missing = true
			}
		}
	}
	if missing {
		a.Revision = max(a.Revision, known.Revision)
	}
	return a, missing
}

// withKnownRanges returns, for each position, the range with the higher token.
func withKnownRanges(a, known gw.Assignment) ([]gw.OwnedRange, bool) {
	var ranges []gw.OwnedRange
	missing := false
	i, j := 0, 0
	var first gw.Position
	lastSource, lastIndex := -1, -1
	for {
		r, source, index := a.Ranges[i], 0, i
		if known.Ranges[j].Token > r.Token {
			r, source, index = known.Ranges[j], 1, j
			missing = true
		}
		if source != lastSource || index != lastIndex {
			r.First = first
			ranges = append(ranges, r)
			lastSource, lastIndex = source, index
		}
		endA, endK := a.Span(i).Last, known.Span(j).Last
		last := min(endA, endK)
		if last == ^gw.Position(0) {
			return ranges, missing
		}
		if endA == last {
			i++
		}
		if endK == last {
			j++
		}
		first = last + 1
	}
}
