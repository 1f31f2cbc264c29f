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
	// answered is set once the server has answered under this epoch.
	answered    bool
	incarnation gw.Incarnation
	// seenID is the last request id used when the incarnation was first seen.
	seenID        uint64
	checksFencing bool
	draining      bool
	// saysLeaving is set once a dispatcher has reported that the current incarnation says that it leaves. pausedUntil is
	// until when it has asked its dispatcher for no requests.
	saysLeaving bool
	pausedUntil time.Time
	// limitPerSecond is how many requests a second the current incarnation takes, zero when it names no limit.
	limitPerSecond float64
	// clock is the newest reading of the server's clock, which arrived at clockAt.
	clock      gw.ClockMilliseconds
	clockAt    time.Time
	answeredAt time.Time
	sendAt     time.Time
	// fenced is set when no earlier controller can renew the server any more.
	fenced      bool
	sessionLive bool
	// expiresAt is the time from which no session granted so far can be live.
	expiresAt time.Time
	// confirmedRevision is the revision of the range list that the server has acknowledged in this session.
	confirmedRevision gw.Revision
	// listChangedID is the last request id used before the list changed without a new revision.
	listChangedID uint64
	// releaseFloor is the highest revision of a release sent to the server.
	releaseFloor gw.Revision
	releaseID    uint64

	// rangeFences is set for a server that holds each range under a fencing token, for a time that counts from the
	// arrival of a grant.
	rangeFences bool
	// carried are the ranges that this controller had granted the incarnation before the store was restored, proven
	// those of them that it has accepted under the same tokens since then.
	carried []gw.GrantedRange
	proven  []gw.GrantedRange
	// grantID is the newest grant to a server with range fences. No other grant is sent while it is outstanding.
	grantID uint64
	// restartRevision is the record's revision when the current incarnation replaced another one under this epoch. A
	// range needs a higher token before the new incarnation may hold it.
	restartRevision gw.Revision
	// grantUncertainUntil is the time until which an unanswered grant may still be applied.
	grantUncertainUntil time.Time
	// arrivals are the requests of the last seconds that dispatchers have reported since arrivalsSince, counts their
	// number in each status.
	// meanMilliseconds is the last known mean service time of a request.
	arrivals         []arrival
	arrivalsSince    time.Time
	counts           []arrivalCount
	meanMilliseconds float64
	// coldUntil is when the server can take its full load.
	coldUntil time.Time

	dispatch dispatchState
	warmup   warmupState
}

func (s *server) ref() gw.ServerRef {
	ref := gw.ServerRef{Name: s.entry.Name, Address: s.entry.Address, DividedByKey: s.divided, Service: s.entry.Service}
	if s.listed {
		ref.Incarnation, ref.Leaving = s.entry.Incarnation, s.entry.State == gw.EntryLeaving
	}
	return ref
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

// updateServers applies the host list to the servers of the cell. A server that is no longer listed is kept while it
// owns a range or a dispatcher may still send to it.
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

// firstEpoch reports whether there was no earlier controller that could have granted anything.
func (c *Core) firstEpoch() bool {
	return c.control.epoch == 1 && c.restore.era == 0
}

// resetServers discards what was learnt under an earlier epoch. Servers are asked again, so that all knowledge dates
// from after the start of this epoch.
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

// sessionsEnded reports whether no session can be live, so that the server serves nothing until it gets a new grant.
// It applies to servers that check fencing and to those of which that is not known.
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

// hasUnfencedOwner reports whether a range may belong to a server that an earlier controller can still renew.
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

// cellOf returns the data centre of a server, or "" when neither the host list nor a directory names the server.
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

// mustEmpty reports whether all ranges must be moved off the server.
func (c *Core) mustEmpty(e gw.ServerEntry) bool {
	return e.State == gw.EntryLeaving || c.cfg.ServersOut(e.Name, e.DataCentre)
}

// isLeaving reports whether a server is to get no more work: it says so itself, or it must be emptied.
func (c *Core) isLeaving(s *server) bool {
	return s.draining || s.saysLeaving || c.mustEmpty(s.entry)
}

// state returns the state that the directory and the placement policy use.
func (c *Core) state(s *server) gw.ServerState {
	switch {
	case !s.answered:
		if c.service.DividedByKey && c.rangesUnserved(s) {
			return gw.ServerExpired
		}
		return gw.ServerNew
	case c.hasSessions(s) && !s.sessionLive:
		if c.now.Sub(s.answeredAt) < c.opts.timing.Session {
			// It answers, and gets a session once a read has confirmed the record.
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
	case c.isLeaving(s) || !s.listed:
		return gw.ServerLeaving
	default:
		return gw.ServerUp
	}
}

// isSilent reports whether a server without sessions has not answered for LostAfter.
func (c *Core) isSilent(s *server) bool {
	return c.now.Sub(later(s.answeredAt, c.control.since)) > c.opts.timing.LostAfter
}

// rangesUnserved reports whether neither a session nor a dispatcher lets the server serve its ranges.
func (c *Core) rangesUnserved(s *server) bool {
	if s.answered && s.checksFencing {
		return c.sessionsEnded(s)
	}
	return s.dispatch.hasNoSenders() && (s.answered || c.sessionsEnded(s))
}
