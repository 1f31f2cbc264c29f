package gwlease

import (
	"errors"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// renewServers sends a request to every server that is due: a grant, or a describe when the server has no sessions.
func (c *Core) renewServers() {
	for _, s := range c.byName {
		c.noteExpiry(s)
		if c.due(s.sendAt) {
			c.renew(s)
		}
	}
}

// renew sends a grant, or a describe when the Core may not or cannot grant.
func (c *Core) renew(s *server) {
	if s.entry.Address == "" {
		return
	}
	if !c.hasSessions(s) {
		s.sendAt = c.now.Add(c.opts.timing.DescribeEvery)
		if !s.answered || c.now.Sub(s.answeredAt) > c.opts.timing.DescribeEvery*2 {
			s.sendAt = c.now.Add(c.opts.timing.RenewEvery)
		}
		c.describe(s)
		return
	}
	s.sendAt = c.now.Add(c.opts.timing.RenewEvery)
	if s.rangeFences && c.outstanding(s.grantID) {
		return
	}
	if !c.clockFresh(s) || !c.mayGrant(s) {
		c.describe(s)
		return
	}
	c.grant(s)
}

// hasSessions reports whether the server uses sessions at all.
func (c *Core) hasSessions(s *server) bool {
	return c.service.DividedByKey && s.answered && s.checksFencing
}

// clockFresh reports whether a deadline based on the last clock reading is still in the future.
func (c *Core) clockFresh(s *server) bool {
	return c.now.Sub(s.clockAt) < c.opts.timing.Session-c.opts.timing.RenewEvery
}

// mayGrant reports whether a session may be started or extended. Before a session starts, a read sent after the
// incarnation was first seen must have shown the record naming this Core. Otherwise a successor may have reached an
// earlier incarnation, seen its session expire, and moved its ranges.
func (c *Core) mayGrant(s *server) bool {
	return c.opts.faults.noFreshRead || c.confirmedAfter(s.seenID)
}

func (c *Core) describe(s *server) {
	r := c.newRequest(requestDescribe, c.opts.timing.RequestTimeout)
	r.server = s.entry.Name
	c.emit(SendDescribe{ID: r.id, Server: s.ref()})
}

// grant extends the session to the last clock reading plus the session's length.
func (c *Core) grant(s *server) {
	if s.rangeFences {
		c.grantHolds(s)
		return
	}
	r := c.newRequest(requestGrant, c.opts.timing.RequestTimeout)
	r.server, r.incarnation = s.entry.Name, s.incarnation
	r.revision = c.record.assignment.Revision
	r.rangesIncluded = s.confirmedRevision != r.revision
	g := gw.Grant{
		Server: s.entry.Name, Incarnation: s.incarnation, KeySpace: c.keySpace(), DataCentre: c.opts.cell.DataCentre,
		Epoch: c.control.epoch, Revision: r.revision,
		Deadline:       s.clock + gw.ClockMilliseconds(c.opts.timing.Session.Milliseconds()),
		RangesIncluded: r.rangesIncluded,
	}
	if r.rangesIncluded {
		g.Ranges = c.grantedRanges(s.entry.Name)
	}
	s.extend(s.clockAt.Add(c.sessionBound()))
	c.emit(SendGrant{ID: r.id, Server: s.ref(), Grant: g})
}

func (c *Core) sessionBound() time.Duration {
	if c.opts.faults.noSessionMargin {
		return c.opts.timing.Session
	}
	return c.opts.timing.upperBound(c.opts.timing.Session)
}

// grantedRanges returns the server's committed ranges except those being moved to another server.
func (c *Core) grantedRanges(name gw.ServerName) []gw.GrantedRange {
	ranges := make([]gw.GrantedRange, 0, len(c.rangesByOwner[name]))
	for _, r := range c.rangesByOwner[name] {
		if !c.mayHold(c.servers[name], r) {
			continue
		}
		if m := c.moves[r.First]; m == nil || m.from != name || !m.isWithheld() || c.opts.faults.restoreUncommitted {
			ranges = append(ranges, r)
		}
	}
	if c.opts.faults.grantBeforeCommit {
		ranges = append(ranges, c.uncommittedRanges(name)...)
	}
	return ranges
}

// serverAnswered applies a server's status.
func (c *Core) serverAnswered(in ServerAnswered) {
	r, ok := c.takeRequest(in.ID, requestDescribe, requestGrant, requestRelease)
	if !ok || !c.controls() || r.id <= c.control.startID {
		return
	}
	s, ok := c.servers[r.server]
	if !ok {
		return
	}
	s.endRelease(r)
	c.noteGrantFailed(s, r, in.Err)
	if !hasStatus(in.Err) || !c.noteStatus(s, r, in.Status) {
		return
	}
	if errors.Is(in.Err, gw.ErrStaleEpoch) || in.Status.Epoch > c.control.epoch {
		c.watch.readWanted = true
		c.loseControl("server " + string(s.entry.Name) + " has accepted a higher epoch")
		return
	}
	c.noteFenced(s, r, in.Status)
	switch {
	case in.Err == nil && r.incarnation == s.incarnation && r.kind == requestGrant:
		c.granted(s, r)
	case in.Err == nil && r.incarnation == s.incarnation && r.kind == requestRelease:
		c.released(s, r, in.Status.Handovers)
	case errors.Is(in.Err, gw.ErrStaleRevision):
		c.revisionRefused(s, r)
	}
	if c.hasSessions(s) && !s.sessionLive && r.kind == requestDescribe && c.mayGrant(s) && !c.noteExpiry(s) {
		c.renew(s)
	}
}

// hasStatus reports whether an answer with this error carries a status.
func hasStatus(err error) bool {
	return err == nil || errors.Is(err, gw.ErrStaleEpoch) || errors.Is(err, gw.ErrStaleRevision) ||
		errors.Is(err, gw.ErrOtherIncarnation) || errors.Is(err, gw.ErrPastDeadline)
}

// noteStatus applies a server's status, and reports whether it is from the current incarnation. The answer to a
// request sent before that incarnation was seen may come from the previous one, so a different incarnation in it
// does not prove a restart.
func (c *Core) noteStatus(s *server, r *request, status gw.ServerStatus) bool {
	if !s.answered || status.Incarnation != s.incarnation {
		if s.answered && r.id <= s.seenID && !c.opts.faults.trustOldIncarnation {
			return false
		}
		c.newIncarnation(s, status)
	}
	s.answeredAt = c.now
	s.checksFencing = status.ChecksFencing
	s.draining = status.Draining
	s.rangeFences = status.RangeFences
	if cold := c.now.Add(time.Duration(status.ColdMilliseconds) * time.Millisecond); cold.After(s.coldUntil) {
		s.coldUntil = cold
	}
	if s.rangeFences {
		s.clockAt = c.now
		return true
	}
	if status.Clock > s.clock || s.clockAt.IsZero() {
		s.clock, s.clockAt = status.Clock, c.now
	}
	return true
}

// newIncarnation resets what is known of a server. If another incarnation was known, its process and all of its
// sessions have ended. The previous incarnation was seen under this epoch, so no earlier controller knows the new
// one.
func (c *Core) newIncarnation(s *server, status gw.ServerStatus) {
	if s.answered {
		s.fenced = true
		c.event(Event{Kind: EventServerRestarted, Server: s.entry.Name, Detail: string(status.Incarnation)})
		s.restartRevision = c.record.assignment.Revision
	}
	s.answered = true
	s.incarnation = status.Incarnation
	s.seenID = c.lastRequestID
	s.sessionLive = false
	s.carried, s.proven = nil, nil
	s.saysLeaving, s.pausedUntil, s.limitPerSecond = false, time.Time{}, 0
	if !s.rangeFences {
		// A grant to a server with range fences names no incarnation, so the new one may hold ranges through a grant
		// that was sent to the previous one.
		s.expiresAt = time.Time{}
	}
	c.resendList(s)
	s.clock, s.clockAt = 0, time.Time{}
	c.resetWarmup(s)
	c.progressNow = true
}

// noteFenced records that the server refuses lower epochs from now on. Sessions granted by an earlier controller are
// based on earlier clock readings, so they end no later than one based on this reading.
//
// A former controller whose commit the store has lost may have had a higher token than those of earlier eras.
func (c *Core) noteFenced(s *server, r *request, status gw.ServerStatus) {
	if r.id <= c.restore.seenID || len(r.unsettled) > 0 {
		return
	}
	if !s.fenced && status.Epoch == c.control.epoch {
		s.fenced = true
		s.extend(c.now.Add(c.sessionBound()))
	}
}

func (c *Core) granted(s *server, r *request) {
	c.noteProven(s, r)
	if r.rangesIncluded && r.id > s.listChangedID && r.revision > s.confirmedRevision {
		s.confirmedRevision = r.revision
	}
	if !s.sessionLive && !c.noteExpiry(s) {
		s.sessionLive = true
		c.event(Event{Kind: EventSessionStarted, Server: s.entry.Name, Detail: string(s.incarnation)})
	}
}

// resendList makes the next grant carry the list of ranges. Only a grant sent from now on can confirm it, because an
// earlier one may have carried other ranges under the same revision.
func (c *Core) resendList(s *server) {
	s.confirmedRevision = 0
	s.listChangedID = c.lastRequestID
}

// revisionRefused handles a server whose revision or release floor is above the Core's.
func (c *Core) revisionRefused(s *server, r *request) {
	c.resendList(s)
	c.watch.readWanted = true
	if r.kind == requestGrant && r.rangesIncluded {
		// The release floor is above the revision. A commit raises the revision to the floor, even while moves off
		// the server are in progress: they may wait for a release that the server cannot get without a session.
		c.raiseRevisionAbove = c.record.assignment.Revision
	}
	c.progressNow = true
}

// noteExpiry ends a session whose time has passed, and reports whether it did. The server keeps its ranges until a
// plan names new owners, and gets a new session when it answers again.
func (c *Core) noteExpiry(s *server) bool {
	if !s.sessionLive || c.now.Before(s.expiresAt) || s.rangeFences && c.outstanding(s.grantID) {
		return false
	}
	s.sessionLive = false
	// The next session must start with a list, because ranges may have been withheld in the meantime.
	c.resendList(s)
	c.event(Event{Kind: EventSessionExpired, Server: s.entry.Name, Detail: string(s.incarnation)})
	c.progressNow = true
	return true
}
