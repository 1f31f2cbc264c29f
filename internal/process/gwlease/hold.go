package gwlease

import (
	"errors"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// fencingToken returns the token under which a range is granted to a server with range fences: the range's own
// token, or the revision at which this epoch began when that is higher. A server that has seen it refuses earlier
// controllers.
func (c *Core) fencingToken(token gw.Revision) gw.Revision {
	cell, _ := c.recordedCell()
	if c.opts.faults.keepToken {
		return token
	}
	return max(token, cell.Since)
}

// grantHolds extends the holds of a server with range fences to its last answer plus the session's length. The
// server counts the hold from the arrival of the grant, which is before the deadline of the request because the
// connection is reset then.
func (c *Core) grantHolds(s *server) {
	hold := s.clockAt.Add(c.opts.timing.Session).Sub(c.now)
	ranges, unsettled := c.heldRanges(s)
	r := c.newRequest(requestGrant, c.opts.timing.GrantTimeout)
	r.server, r.incarnation = s.entry.Name, s.incarnation
	r.revision, r.rangesIncluded = c.record.assignment.Revision, true
	r.unsettled = unsettled
	s.grantID = r.id
	if c.opts.faults.holdFromSending {
		s.extend(c.now.Add(hold))
	} else {
		s.extend(r.deadline.Add(c.opts.timing.upperBound(hold)))
	}
	c.emit(SendGrant{ID: r.id, Server: s.ref(), Grant: gw.Grant{
		Server: s.entry.Name, Incarnation: s.incarnation, KeySpace: c.keySpace(), DataCentre: c.opts.cell.DataCentre,
		Epoch: c.control.epoch, Revision: r.revision, RangesIncluded: true, Ranges: ranges,
		HoldMilliseconds: hold.Milliseconds(),
	}})
}

// heldRanges returns the ranges that the current incarnation of a server may hold, each with its fencing token, and
// those among them whose owner is not certain, with their recorded tokens.
func (c *Core) heldRanges(s *server) (held, unsettled []gw.GrantedRange) {
	ranges := c.grantedRanges(s.entry.Name)
	kept := ranges[:0]
	for _, r := range ranges {
		recorded := r
		if r.Token = c.fencingToken(r.Token); r.Token <= s.restartRevision {
			continue
		}
		kept = append(kept, r)
		if !c.settled(recorded.Token) {
			unsettled = append(unsettled, recorded)
		}
	}
	return kept, unsettled
}

// noteGrantFailed records that an unanswered grant may have been applied, or may still be until it expires.
func (c *Core) noteGrantFailed(s *server, r *request, err error) {
	if r.kind == requestGrant && s.rangeFences && err != nil && !errors.Is(err, gw.ErrStaleEpoch) {
		s.grantUncertainUntil = later(s.grantUncertainUntil, s.expiresAt)
	}
}

// mayRelease reports whether a release of ranges proves that the server no longer serves them. A server with range
// fences may apply an earlier grant after the release, and may accept an earlier controller until it has been
// granted its ranges under this epoch.
func (c *Core) mayRelease(s *server) bool {
	if !s.rangeFences {
		return true
	}
	if c.opts.faults.releaseUncertain {
		return true
	}
	return s.fenced && !c.outstanding(s.grantID) && !c.now.Before(s.grantUncertainUntil)
}

// withRaisedTokens raises the tokens of ranges whose owner was restarted, because the new incarnation may hold them
// only under a higher token than the previous one.
func (c *Core) withRaisedTokens(a gw.Assignment, events []Event, token gw.Revision) (gw.Assignment, []Event) {
	for _, s := range c.byName {
		if !s.rangeFences || s.restartRevision == 0 {
			continue
		}
		for _, r := range c.rangesByOwner[s.entry.Name] {
			now := a.At(r.First)
			if now.First != r.First || now.Owner != s.entry.Name || !c.settled(now.Token) ||
				c.fencingToken(now.Token) > s.restartRevision {
				continue
			}
			raised, err := a.WithOwner(r.First, s.entry.Name, token)
			if err != nil {
				continue
			}
			a = raised
			events = append(events, Event{Kind: EventTokenRaised, Server: s.entry.Name, First: r.First})
		}
	}
	return a, events
}

// inKeySpace reports whether servers of a region take part in the cell's key space.
func (c *Core) inKeySpace(region gw.RegionName) bool {
	return region == c.opts.region || c.service.OrderedKeys && c.service.ServedIn(region)
}

// noteEntry applies the server's entry in the host list.
func (s *server) noteEntry(now time.Time, e gw.ServerEntry) {
	if e.Incarnation != s.entry.Incarnation {
		// A new incarnation must be asked for its status before its next renewal is due.
		s.sendAt = now
		if e.WarmAt > 0 {
			// Counted from now on, so that a step of the time of day does not end the cold time early.
			s.coldUntil = later(s.coldUntil, now.Add(time.UnixMilli(e.WarmAt).Sub(now)))
		}
	}
	s.entry, s.listed = e, true
}

// markReturningServersCold treats servers that come back into service as cold, because they may have lost their
// warm-up while unused.
func (c *Core) markReturningServersCold(cfg gw.Config) {
	warmup := time.Duration(c.service.WarmupMilliseconds) * time.Millisecond
	for _, s := range c.byName {
		was := c.cfg.ServersOut(s.entry.Name, s.entry.DataCentre)
		if was && !cfg.ServersOut(s.entry.Name, s.entry.DataCentre) {
			s.coldUntil = later(s.coldUntil, c.now.Add(warmup))
		}
	}
}
