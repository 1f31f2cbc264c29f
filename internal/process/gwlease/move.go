package gwlease

import (
	"slices"

	gw "github.com/geraniumworks/geraniumworks"
)

// move is a range on its way to a new owner.
type move struct {
	first gw.Position
	// span is the range at the start of the move. A commit that changes its bounds ends the move, because a release
	// covers no other positions.
	span gw.Range
	from gw.ServerName
	to   gw.ServerName
	// releaseID is the newest release sent to the server, dispatchReleaseIDs those sent to its dispatchers.
	releaseID          uint64
	dispatchReleaseIDs map[gw.HostName]uint64
	acknowledged       map[gw.HostName]bool
	// withheld is set when the range is no longer granted to the former owner. It stays set until the move is
	// committed or cancelled.
	withheld bool
	// freed is set when nobody serves the range any more. Since it is withheld, nobody can start to.
	freed bool
	// handover is the data that the former owner returned with the release.
	handover string
}

func (m *move) isWithheld() bool {
	return m.withheld
}

// planProposed accepts the parts of a plan that this controller may carry out.
func (c *Core) planProposed(p gw.Plan) {
	if !c.controls() || !c.service.DividedByKey || !c.record.found {
		return
	}
	c.plan.Splits = c.acceptedSplits(p.Splits)
	c.plan.Merges = c.acceptedMerges(p.Merges)
	c.plan.Moves = nil
	for _, m := range p.Moves {
		if c.moves[m.First] != nil {
			continue
		}
		if c.awaitsSplit(m.First) {
			c.plan.Moves = append(c.plan.Moves, m)
			continue
		}
		c.startMove(m)
	}
	c.progressNow = true
}

// awaitsSplit reports whether the range to be moved still has other bounds than in the plan, because a split inside
// it is not committed yet. If started earlier, the move would take the whole range.
func (c *Core) awaitsSplit(first gw.Position) bool {
	r := c.span(first)
	return slices.ContainsFunc(c.plan.Splits, func(p gw.Position) bool { return r.First < p && r.Contains(p) })
}

func (c *Core) acceptedSplits(splits []gw.Position) []gw.Position {
	var ok []gw.Position
	for _, p := range splits {
		r := c.record.assignment.At(p)
		if r.First == p {
			continue
		}
		if uint64(p)%c.granularity() != 0 || !c.settled(r.Token) || c.moves[r.First] != nil || !c.mayChange(r.Owner) {
			c.refuse(p, r.Owner, "", "split of a range that is moving, not ours, or finer than allowed")
			continue
		}
		ok = append(ok, p)
	}
	return ok
}

func (c *Core) acceptedMerges(merges []gw.Position) []gw.Position {
	var ok []gw.Position
	a := c.record.assignment
	for _, p := range merges {
		i := a.Index(p)
		if i == 0 || a.Ranges[i].First != p || a.Ranges[i].Owner != a.Ranges[i-1].Owner ||
			!c.settled(a.Ranges[i].Token) || !c.settled(a.Ranges[i-1].Token) ||
			c.moves[p] != nil || c.moves[a.Ranges[i-1].First] != nil || !c.mayChange(a.Ranges[i].Owner) {
			c.refuse(p, "", "", "merge of ranges that differ in owner, are moving, or are not ours")
			continue
		}
		ok = append(ok, p)
	}
	return ok
}

func (c *Core) refuse(first gw.Position, from, to gw.ServerName, detail string) {
	c.event(Event{Kind: EventMoveRefused, Server: from, First: first, To: to, Detail: detail})
}

// mayChange reports whether this controller may change ranges of an owner: those of its own servers and, on the
// lead, those without an owner and those of servers that an operator declared stopped.
func (c *Core) mayChange(owner gw.ServerName) bool {
	if owner == "" {
		return c.isLead()
	}
	if s, ok := c.servers[owner]; ok {
		return s.entry.DataCentre == c.opts.cell.DataCentre || c.ownerDeclaredStopped(owner)
	}
	return c.ownerDeclaredStopped(owner)
}

// ownerDeclaredStopped reports whether this is the lead cell and the owner is listed nowhere and declared stopped by
// an operator.
func (c *Core) ownerDeclaredStopped(owner gw.ServerName) bool {
	return c.isLead() && c.cellOf(owner) == "" && slices.ContainsFunc(c.cfg.OutOfService, func(o gw.OutOfService) bool {
		return o.Stopped && o.Kind == gw.OutServer && o.Name == string(owner)
	})
}

// startMove registers a proposed move, or refuses it when its range or target does not fit.
func (c *Core) startMove(m gw.Move) {
	r := c.record.assignment.At(m.First)
	switch {
	case r.First != m.First || r.Owner != m.From || m.From == m.To:
		c.refuse(m.First, m.From, m.To, "the range has other bounds or another owner")
	case !c.settled(r.Token):
		c.refuse(m.First, m.From, m.To, "the owner is not certain since the store was restored")
	case !c.mayChange(m.From):
		c.refuse(m.First, m.From, m.To, "the range belongs to another cell")
	case !c.mayOwn(m.To):
		c.refuse(m.First, m.From, m.To, "the target is not listed or is to be emptied")
	default:
		c.moves[m.First] = &move{
			first: m.First, span: c.span(m.First), from: m.From, to: m.To,
			dispatchReleaseIDs: map[gw.HostName]uint64{}, acknowledged: map[gw.HostName]bool{},
		}
	}
}

// mayOwn reports whether a server may be given ranges of the key space.
func (c *Core) mayOwn(name gw.ServerName) bool {
	if s, ok := c.servers[name]; ok && c.state(s) == gw.ServerExpired {
		return false
	}
	return slices.ContainsFunc(c.listing.Servers, func(e gw.ServerEntry) bool {
		return e.Name == name && e.Service == c.opts.cell.Service && c.inKeySpace(e.Region) && !c.mustEmpty(e)
	})
}

// endMoves ends the moves that a new record has completed or made impossible, and starts those that waited for a
// split.
func (c *Core) endMoves() {
	a := c.record.assignment
	for first, m := range sorted(c.moves) {
		if a.At(first).Owner != m.from {
			delete(c.moves, first)
		} else if c.span(first) != m.span {
			c.cancelMove(m, "the range has other bounds")
		}
	}
	waiting := c.plan.Moves
	c.plan.Moves = nil
	for _, m := range waiting {
		if c.awaitsSplit(m.First) {
			c.plan.Moves = append(c.plan.Moves, m)
		} else if a.At(m.First).First == m.First && c.moves[m.First] == nil {
			c.startMove(m)
		}
	}
	c.progressNow = true
}

// progressMoves starts the next step of each move.
func (c *Core) progressMoves() {
	release := map[gw.ServerName][]*move{}
	for _, m := range sorted(c.moves) {
		if c.write == nil && !c.mayOwn(m.to) {
			c.cancelMove(m, "the target can no longer take the range")
			continue
		}
		if m.freed {
			continue
		}
		s := c.servers[m.from]
		switch {
		case s == nil:
			m.withheld, m.freed = true, c.mayChange(m.from)
		case s.answered && s.checksFencing:
			if !c.freeByExpiry(s, m) && s.sessionLive && c.storeHealthy() && c.mayRelease(s) {
				release[m.from] = append(release[m.from], m)
			}
		default:
			c.progressUnchecked(s, m)
		}
	}
	for name, moves := range sorted(release) {
		c.releaseServer(c.servers[name], moves)
	}
}

// freeByExpiry frees a range whose owner has no session any more. The owner's next session starts with a list
// without the range.
func (c *Core) freeByExpiry(s *server, m *move) bool {
	c.noteExpiry(s)
	if !c.sessionsEnded(s) {
		return false
	}
	c.resendList(s)
	m.withheld, m.freed = true, true
	return true
}

// storeHealthy reports whether a commit is likely to succeed. While it is not, a release would only make ranges
// unavailable.
func (c *Core) storeHealthy() bool {
	return c.store.failures == 0
}

// releaseServer asks a server to stop serving the ranges of moves.
func (c *Core) releaseServer(s *server, moves []*move) {
	if c.outstanding(s.releaseID) {
		return
	}
	r := c.newRequest(requestRelease, c.opts.timing.ReleaseTimeout)
	r.server, r.incarnation = s.entry.Name, s.incarnation
	r.revision = c.nextRevision()
	s.releaseID = r.id
	if !s.rangeFences {
		s.releaseFloor = max(s.releaseFloor, r.revision)
	}
	release := gw.Release{
		Server: s.entry.Name, Incarnation: s.incarnation, KeySpace: c.keySpace(),
		Epoch: c.control.epoch, Revision: r.revision,
	}
	if c.opts.faults.noFloor {
		release.Revision = 0
	}
	for _, m := range moves {
		m.withheld = true
		m.releaseID = r.id
		r.moves = append(r.moves, m.first)
		release.Ranges = append(release.Ranges, m.span)
		if s.rangeFences {
			release.Tokens = append(release.Tokens, c.fencingToken(c.record.assignment.At(m.first).Token))
		}
	}
	c.emit(SendRelease{ID: r.id, Server: s.ref(), Release: release})
}

func (c *Core) span(first gw.Position) gw.Range {
	return c.record.assignment.Span(c.record.assignment.Index(first))
}

// released frees the ranges of an acknowledged release. The server refuses every list that may contain them: earlier
// lists have a lower revision, and later ones lack the ranges.
func (c *Core) released(s *server, r *request, handovers map[gw.Position]string) {
	for _, first := range r.moves {
		if m := c.moves[first]; m != nil && m.from == s.entry.Name && m.releaseID == r.id {
			m.freed = true
			m.handover = handovers[first]
			if !gw.ValidHandover(m.handover) {
				c.event(Event{
					Kind: EventHandoverDropped, Server: s.entry.Name, First: first, Detail: "it is no UTF-8 or too long",
				})
				m.handover = ""
			}
			c.progressNow = true
		}
	}
}

// cancelMove cancels a move. A withheld range must be granted again under a revision not below the server's release
// floor.
func (c *Core) cancelMove(m *move, detail string) {
	delete(c.moves, m.first)
	if s, ok := c.servers[m.from]; ok && m.withheld {
		c.resendList(s)
		if c.record.assignment.Revision < s.releaseFloor {
			c.raiseRevisionAbove = max(c.raiseRevisionAbove, s.releaseFloor-1)
		}
	}
	c.refuse(m.first, m.from, m.to, detail)
}

func (c *Core) cancelMoves(detail string) {
	for _, m := range sorted(c.moves) {
		c.cancelMove(m, detail)
	}
}

// uncommittedRanges returns the ranges that are being moved to a server. Only an injected fault grants them.
func (c *Core) uncommittedRanges(name gw.ServerName) []gw.GrantedRange {
	var ranges []gw.GrantedRange
	for _, m := range sorted(c.moves) {
		if m.to == name {
			token := c.nextRevision()
			ranges = append(ranges, gw.GrantedRange{Range: c.span(m.first), Token: token})
		}
	}
	return ranges
}

// commit writes all changes that are ready, as one revision.
func (c *Core) commit() {
	if c.write != nil || c.record.stale || c.now.Before(c.store.retryAt) || c.throttle.mustWait(c.now) {
		return
	}
	if c.record.absent {
		// The answer tells the era of the store, and no token is given out before it is known.
		c.startWrite(c.record.assignment, false, nil)
		return
	}
	next, events := c.withSplitsAndMerges(c.record.assignment)
	token := c.nextRevision()
	for _, m := range c.readyMoves() {
		moved, err := next.WithOwner(m.first, m.to, token)
		if err != nil {
			continue
		}
		next = moved
		if m.handover != "" {
			next = next.WithHandover(m.first, m.handover)
		}
		events = append(events, Event{Kind: EventRangeMoved, Server: m.from, First: m.first, To: m.to})
	}
	next, events = c.withRaisedTokens(next, events, token)
	next, events = c.withSettledTokens(next, events, token)
	if c.record.repaired {
		events = append(events, Event{Kind: EventRecordRepaired})
	}
	if len(events) == 0 && !c.mustWriteBack() && c.raiseRevisionAbove < c.record.assignment.Revision {
		return
	}
	c.throttle.nextAt = c.now.Add(c.opts.timing.CommitEvery)
	c.startWrite(next, false, events)
}

// readyMoves returns the freed ranges, ordered by position.
func (c *Core) readyMoves() []*move {
	var ready []*move
	for _, m := range sorted(c.moves) {
		if m.freed && c.mayChange(m.from) {
			ready = append(ready, m)
		}
	}
	return ready
}

// withSplitsAndMerges applies accepted splits and merges. They change no owner and lower no token.
func (c *Core) withSplitsAndMerges(a gw.Assignment) (gw.Assignment, []Event) {
	var events []Event
	for _, p := range c.plan.Splits {
		if r := a.At(p); r.First != p && c.moves[r.First] == nil {
			a = a.WithSplit(p)
			events = append(events, Event{Kind: EventRangeSplit, Server: r.Owner, First: p})
		}
	}
	for _, p := range c.plan.Merges {
		i := a.Index(p)
		if i == 0 || c.moves[p] != nil || c.moves[a.Ranges[i-1].First] != nil {
			continue
		}
		if merged, err := a.WithMerge(p); err == nil {
			a = merged
			events = append(events, Event{Kind: EventRangeMerged, Server: a.At(p).Owner, First: p})
		}
	}
	c.plan.Merges = nil
	return a, events
}
