package gwlease

import (
	"maps"
	"slices"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// server is what the Core knows of a server of its cell.
type server struct {
	entry  gw.ServerEntry
	listed bool
	// divided is set when the service is divided by key.
	divided bool
	// known is set once the server has answered under this epoch.
	answered    bool
	incarnation gw.Incarnation
	// seenID is the last request id used when the incarnation was first seen.
	seenID        uint64
	checksFencing bool
	draining      bool
	// clock is the newest reading of the server's clock, which arrived at clockAt.
	clock      gw.ClockMilliseconds
	clockAt    time.Time
	answeredAt time.Time
	sendAt     time.Time
	// reached is set when no earlier controller can renew the server any more.
	fenced      bool
	sessionLive bool
	// expiresAt is the time from which no session granted so far can be live.
	expiresAt time.Time
	// confirmed is the revision of the list of ranges that the server has acknowledged in this session.
	confirmedRevision gw.Revision
	// listAfter is the last request id used before the list was changed without a new revision.
	listChangedID uint64
	// floor is the highest revision of a release sent to the server.
	releaseFloor gw.Revision
	releaseID    uint64

	// fences is set for a server that holds each range under a token, for a time from the arrival of a grant.
	rangeFences bool
	// grantID is the newest grant to a server with fences; no other is sent while it is outstanding.
	grantID uint64
	// lifeRevision is the record's revision when the present incarnation replaced another one under this epoch. Ranges
	// need a higher token before the new incarnation may hold them.
	restartRevision gw.Revision
	// uncertainUntil is the time until which a grant without answer may still be applied.
	grantUncertainUntil time.Time
	// arrivals are the requests of the last seconds that a dispatcher has reported since arrivedFrom, and
	// meanMilliseconds is the last known mean time that the server takes for one.
	arrivals         []arrival
	arrivalsSince    time.Time
	meanMilliseconds float64
	// coldUntil is when the server bears its full load.
	coldUntil time.Time

	dispatch dispatchState
	warmup   warmupState
}

func (s *server) ref() gw.ServerRef {
	return gw.ServerRef{Name: s.entry.Name, Address: s.entry.Address, DividedByKey: s.divided}
}

func (s *server) extend(until time.Time) {
	if until.After(s.expiresAt) {
		s.expiresAt = until
	}
}

func (s *server) endRelease(r *request) {
	if r.kind == requestRelease && s.releaseID == r.id {
		s.releaseID = 0
	}
}

// listServers takes over the listed servers of the cell. A server that is no longer listed is kept while it
// owns a range or may still be sent to.
func (c *Core) updateServers() {
	for _, s := range c.servers {
		s.listed = false
	}
	for _, e := range c.listing.Servers {
		if e.Service != c.opts.cell.Service || e.DataCentre != c.opts.cell.DataCentre {
			continue
		}
		s := c.addServer(e.Name)
		s.noteEntry(c.now, e)
		s.divided = c.service.DividedByKey
	}
	for name, s := range c.servers {
		if !s.listed && len(c.rangesByOwner[name]) == 0 && len(s.dispatch.senders) == 0 {
			delete(c.servers, name)
		}
	}
	c.sortServers()
}

func (c *Core) sortServers() {
	c.byName = c.byName[:0]
	for _, name := range slices.Sorted(maps.Keys(c.servers)) {
		c.byName = append(c.byName, c.servers[name])
	}
}

func (c *Core) addServer(name gw.ServerName) *server {
	s, ok := c.servers[name]
	if !ok {
		s = &server{entry: gw.ServerEntry{Name: name}, fenced: c.firstEpoch()}
		s.dispatch.reset(c.firstEpoch())
		c.resetWarmup(s)
		c.servers[name] = s
	}
	return s
}

// firstEpoch reports whether no earlier controller can have given anything away.
func (c *Core) firstEpoch() bool {
	return c.control.epoch == 1
}

// resetServers forgets what was known under an earlier epoch. Server processes are asked again, so that what
// is known was true after this epoch began.
func (c *Core) resetServers() {
	for name, s := range c.servers {
		fresh := &server{
			entry: s.entry, listed: s.listed, divided: s.divided, coldUntil: s.coldUntil, fenced: c.firstEpoch(),
			meanMilliseconds: s.meanMilliseconds,
		}
		fresh.dispatch.reset(c.firstEpoch())
		c.resetWarmup(fresh)
		c.servers[name] = fresh
	}
	c.sortServers()
}

// cannotServe reports whether a server that checks fencing, or of which that is not known, can serve nothing
// under any session until it gets a new grant.
func (c *Core) sessionsEnded(s *server) bool {
	if c.now.Before(s.expiresAt) || s.rangeFences && c.outstanding(s.grantID) {
		return false
	}
	if s.fenced || c.opts.faults.moveUnfenced {
		return true
	}
	since, closed := c.predecessorsStopped()
	return closed && !c.now.Before(since.Add(c.sessionBound()+c.opts.timing.GrantTimeout))
}

// unreachedOwner reports whether a range may belong to a server that an earlier controller can still renew.
func (c *Core) hasUnfencedOwner() bool {
	if !c.service.DividedByKey {
		return false
	}
	for name := range c.rangesByOwner {
		s, ours := c.servers[name]
		if ours && !s.fenced && (!s.answered || s.checksFencing) || !ours && c.cellOf(name) == "" {
			return true
		}
	}
	return false
}

// cellOf returns the data centre of a server, or nothing when neither the host list nor a directory names it.
func (c *Core) cellOf(name gw.ServerName) gw.DataCentreName {
	if s, ok := c.servers[name]; ok {
		return s.entry.DataCentre
	}
	for _, e := range c.listing.Servers {
		if e.Name == name {
			return e.DataCentre
		}
	}
	for dc, d := range c.otherDirectories {
		for _, e := range d.Servers {
			if e.Name == name {
				return dc
			}
		}
	}
	return ""
}

// isOut reports whether the server is to be emptied.
func (c *Core) mustEmpty(e gw.ServerEntry) bool {
	return e.State == gw.EntryLeaving || c.cfg.ServersOut(e.Name, e.DataCentre)
}

// state returns the state that the directory and the placement policy see.
func (c *Core) state(s *server) gw.ServerState {
	switch {
	case !s.answered:
		if c.service.DividedByKey && c.rangesUnserved(s) {
			return gw.ServerExpired
		}
		return gw.ServerNew
	case c.hasSessions(s) && !s.sessionLive:
		if c.now.Sub(s.answeredAt) < c.opts.timing.Session {
			// It answers, and gets a session as soon as the record is confirmed.
			return gw.ServerNew
		}
		if c.sessionsEnded(s) {
			return gw.ServerExpired
		}
		return gw.ServerSuspect
	case !c.hasSessions(s) && c.isSilent(s):
		if c.service.DividedByKey && s.dispatch.hasNoSenders() {
			return gw.ServerExpired
		}
		return gw.ServerSuspect
	case s.draining || c.mustEmpty(s.entry) || !s.listed:
		return gw.ServerLeaving
	default:
		return gw.ServerUp
	}
}

// silent reports whether a server without session has not answered for too long.
func (c *Core) isSilent(s *server) bool {
	return c.now.Sub(later(s.answeredAt, c.control.since)) > c.opts.timing.LostAfter
}

// nothingServes reports whether neither a session nor a dispatcher lets the server serve its ranges.
func (c *Core) rangesUnserved(s *server) bool {
	if s.answered && s.checksFencing {
		return c.sessionsEnded(s)
	}
	return s.dispatch.hasNoSenders() && (s.answered || c.sessionsEnded(s))
}
