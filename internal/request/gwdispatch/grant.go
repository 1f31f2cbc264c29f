package gwdispatch

import (
	"slices"
	"sort"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// block stops requests for a range, or for the whole server when all is set, until a lease newer than version.
type block struct {
	rng     gw.Range
	all     bool
	version gw.ItemVersion
}

// pendingRelease is a release that waits until no request for its ranges is in flight. An empty list of ranges stands
// for the whole server.
type pendingRelease struct {
	ranges  []gw.Range
	version gw.ItemVersion
	// superseded is set, before done is closed, when a newer lease lists one of the ranges again.
	superseded bool
	done       chan struct{}
}

// released reports whether the whole server has been released.
func (s *serverState) released() bool {
	return slices.ContainsFunc(s.blocks, func(b block) bool { return b.all })
}

// check returns the index of the request's range, -1 when no range applies, or why the request must not be sent.
func (s *serverState) check(now time.Time, r *request) (int, *gw.Refusal) {
	if !s.listed || !now.Before(s.sendEnd) {
		return -1, gw.Refuse(gw.ReasonNoServer, "this host is not the dispatcher of the server")
	}
	if !r.HasKey {
		if len(s.server.Ranges) > 0 {
			return -1, gw.Refuse(gw.ReasonNoOwner, "the service is divided by key and the request has no key")
		}
		if s.released() {
			return -1, gw.Refuse(gw.ReasonNoServer, "the server has been released")
		}
		return -1, nil
	}
	ranges := s.server.Ranges
	i := sort.Search(len(ranges), func(i int) bool { return ranges[i].First > r.Position }) - 1
	if s.released() {
		// The server keeps its ranges and gets another dispatcher. On a no-owner refusal the entry host would wait for a
		// newer token, which does not come.
		return -1, gw.Refuse(gw.ReasonNoServer, "the server has been released")
	}
	if slices.ContainsFunc(s.blocks, func(b block) bool { return b.rng.Contains(r.Position) && !b.all }) {
		return -1, gw.Refuse(gw.ReasonNoOwner, "the range has been released")
	}
	inLease := i >= 0 && ranges[i].Contains(r.Position)
	switch {
	case s.server.ChecksFencing && !inLease:
		// The server may have been granted the range before this host received the lease. It refuses on its own what it
		// does not own.
		return -1, nil
	case s.server.ChecksFencing:
		return i, nil
	case !inLease:
		return -1, gw.Refuse(gw.ReasonNoOwner, "the server does not own the range")
	case ranges[i].Token != r.Token:
		return -1, gw.Refuse(gw.ReasonNoOwner, "the token of the request differs from the token of the range")
	}
	return i, nil
}

// recheckQueue refuses waiting requests that may no longer be sent.
func (s *serverState) recheckQueue(now time.Time) {
	s.queue.filter(func(r *request) *gw.Refusal {
		_, ref := s.check(now, r)
		return ref
	}, s.refuse)
}

// inFlight counts the slots occupied by requests in the ranges, all of them when ranges is empty.
func (s *serverState) inFlight(ranges []gw.Range) int {
	n := 0
	for _, r := range s.busy {
		if r.inRanges(ranges) {
			n++
		}
	}
	return n
}

// lease applies the server's entry in a lease.
func (s *serverState) lease(now time.Time, server gw.DispatchServer, end time.Time, version gw.ItemVersion) {
	s.freeExpired(now)
	s.blocks = slices.DeleteFunc(s.blocks, func(b block) bool { return b.version.Less(version) })
	if server.RangesOmitted {
		server.Ranges = s.server.Ranges
		if s.server.Revision != server.Revision {
			// The ranges of this process are not those that the controller assumes. Revision 0 in the status tells it so.
			server.Revision = 0
		}
	}
	if !slices.IsSortedFunc(server.Ranges, compareRanges) {
		server.Ranges = slices.Clone(server.Ranges)
		slices.SortFunc(server.Ranges, compareRanges)
	}
	if !sameServer(server, *s.server) {
		if !slices.Equal(server.Ranges, s.server.Ranges) {
			s.rates.setRanges(server.Ranges)
		}
		s.server = &server
	}
	first := !s.listed && s.leasedIncarnation == ""
	if !s.listed {
		// What this host heard as a former dispatcher may be out of date.
		s.serverLimit.heard = false
	}
	s.listed, s.leaseEnd = true, end
	if server.Incarnation != s.leasedIncarnation {
		s.leasedIncarnation = server.Incarnation
		switch {
		case first:
			// The controller leases fewer slots than configured only while the server is cold.
			s.incarnation = server.Incarnation
			if server.Slots < s.limits.SlotsPerServer {
				s.slotLimiter.lower(now, s.limits, server.Slots, s.busy, s.serviceTime)
				s.slotLimiter.coldSince = now
			}
		case server.Incarnation != s.incarnation:
			s.handleRestart(now, server.Incarnation)
		}
	}
	if server.Incarnation == s.incarnation {
		s.serverLimit.lease(now, server.LimitPerSecond)
	}
	s.sendEnd = s.endOfRight()
	s.supersede(version)
	s.recheckQueue(now)
	s.advance(now)
}

// endOfRight returns when the right to send to the server ends. When no controller renews the lease, the dispatcher
// goes on for the overrun of the server: such a server checks the ownership of keys itself, and refusing would fail all
// its callers. The rate of a cold server and the limit that a server names hold over all senders, and a leaving server
// must soon get no requests, so these end with the lease.
func (s *serverState) endOfRight() time.Time {
	if s.server.Leaving || s.server.ColdRequestsPerSecond > 0 || s.serverLimit.perSecond > 0 {
		return s.leaseEnd
	}
	return s.leaseEnd.Add(time.Duration(s.server.OverrunMilliseconds) * time.Millisecond)
}

// supersede ends the pending releases whose ranges a newer lease lists again.
func (s *serverState) supersede(version gw.ItemVersion) {
	s.pendingReleases = slices.DeleteFunc(s.pendingReleases, func(w *pendingRelease) bool {
		if !w.version.Less(version) || !s.leaseLists(w.ranges) {
			return false
		}
		w.superseded = true
		close(w.done)
		return true
	})
}

// leaseLists reports whether the lease in force lists any position of the ranges.
func (s *serverState) leaseLists(ranges []gw.Range) bool {
	if len(ranges) == 0 {
		return true
	}
	return slices.ContainsFunc(s.server.Ranges, func(g gw.GrantedRange) bool {
		return slices.ContainsFunc(ranges, func(r gw.Range) bool { return r.First <= g.Last && g.First <= r.Last })
	})
}

// unlist handles a newer lease without the server: waiting requests are refused, running ones may finish.
func (s *serverState) unlist(now time.Time) {
	s.listed = false
	s.recheckQueue(now)
	s.advance(now)
}

// release blocks the ranges, or the whole server when there are none, and returns the release to wait for.
func (s *serverState) release(now time.Time, ranges []gw.Range, version gw.ItemVersion) *pendingRelease {
	if len(ranges) == 0 {
		s.block(block{all: true, version: version})
	}
	for _, rng := range ranges {
		s.block(block{rng: rng, version: version})
	}
	w := &pendingRelease{ranges: slices.Clone(ranges), version: version, done: make(chan struct{})}
	s.pendingReleases = append(s.pendingReleases, w)
	s.recheckQueue(now)
	s.advance(now)
	return w
}

func (s *serverState) block(b block) {
	for i := range s.blocks {
		if s.blocks[i].rng == b.rng && s.blocks[i].all == b.all {
			s.blocks[i].version = b.version
			return
		}
	}
	s.blocks = append(s.blocks, b)
}

func compareRanges(a, b gw.GrantedRange) int {
	switch {
	case a.First < b.First:
		return -1
	case a.First > b.First:
		return 1
	default:
		return 0
	}
}

func sameServer(a, b gw.DispatchServer) bool {
	return a.Name == b.Name && a.Address == b.Address && a.Incarnation == b.Incarnation &&
		a.ChecksFencing == b.ChecksFencing && a.Slots == b.Slots && a.Connections == b.Connections &&
		a.Leaving == b.Leaving && a.ColdRequestsPerSecond == b.ColdRequestsPerSecond &&
		a.OverrunMilliseconds == b.OverrunMilliseconds &&
		a.Revision == b.Revision && slices.Equal(a.Ranges, b.Ranges)
}
