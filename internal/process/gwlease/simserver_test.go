package gwlease

import (
	"cmp"
	"errors"
	"slices"
	"strconv"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// simClock is a clock with its own rate and origin.
type simClock struct {
	rate   float64
	origin time.Duration
}

func (c simClock) at(now time.Duration) time.Duration {
	return c.origin + time.Duration(float64(now)*c.rate)
}

func (c simClock) milliseconds(now time.Duration) gw.ClockMilliseconds {
	return gw.ClockMilliseconds(c.at(now).Milliseconds())
}

// simServer follows the rules for servers in docs/design.md, section 4.
type simServer struct {
	entry         gw.ServerEntry
	checksFencing bool
	noFence       bool
	drained       bool
	run           int
	dead          bool
	frozen        bool
	clock         simClock
	deadline      gw.ClockMilliseconds
	epoch         gw.Epoch
	revision      gw.Revision
	releaseFloor  gw.Revision
	ranges        []gw.GrantedRange
	// draining are released ranges with the time at which their last request ends.
	draining map[gw.Range]time.Duration
	waiting  []func()
	// fenced is set for a server that holds each range under a token, see simfence_test.go.
	rangeFences *fencedState
}

func (s *simServer) incarnation() gw.Incarnation {
	return gw.Incarnation(string(s.entry.Name) + "#" + strconv.Itoa(s.run))
}

func (s *simServer) restart() {
	s.run++
	s.dead, s.frozen, s.drained = false, false, false
	s.deadline, s.epoch, s.revision, s.releaseFloor = 0, 0, 0, 0
	s.ranges, s.draining, s.waiting = nil, map[gw.Range]time.Duration{}, nil
	if s.rangeFences != nil {
		s.rangeFences = &fencedState{}
	}
	s.clock.origin += time.Hour
}

func (s *simServer) status(now time.Duration) gw.ServerStatus {
	if s.rangeFences != nil {
		return gw.ServerStatus{
			Server: s.entry.Name, Incarnation: s.incarnation(), ChecksFencing: true, RangeFences: true, Draining: s.drained,
		}
	}
	return gw.ServerStatus{
		Server: s.entry.Name, Incarnation: s.incarnation(), Clock: s.clock.milliseconds(now),
		ChecksFencing: s.checksFencing, Epoch: s.epoch, Revision: s.revision,
		Draining: s.drained,
	}
}

func (s *simServer) live(now time.Duration) bool {
	return !s.dead && s.checksFencing && s.clock.milliseconds(now) < s.deadline
}

// without cuts positions out of a list. The list may be of an earlier revision, with other bounds.
func without(list []gw.GrantedRange, cut gw.Range) []gw.GrantedRange {
	var rest []gw.GrantedRange
	for _, g := range list {
		if cut.Last < g.First || g.Last < cut.First {
			rest = append(rest, g)
			continue
		}
		if g.First < cut.First {
			rest = append(rest, gw.GrantedRange{Range: gw.Range{First: g.First, Last: cut.First - 1}, Token: g.Token})
		}
		if cut.Last < g.Last {
			rest = append(rest, gw.GrantedRange{Range: gw.Range{First: cut.Last + 1, Last: g.Last}, Token: g.Token})
		}
	}
	return rest
}

func (s *simServer) refuses(inc gw.Incarnation, epoch gw.Epoch) error {
	if inc != s.incarnation() {
		return gw.ErrOtherIncarnation
	}
	if epoch < s.epoch && !s.noFence {
		return gw.ErrStaleEpoch
	}
	return nil
}

func (s *simServer) grant(now time.Duration, g gw.Grant) error {
	if err := s.refuses(g.Incarnation, g.Epoch); err != nil {
		return err
	}
	if s.clock.milliseconds(now) >= g.Deadline {
		return gw.ErrPastDeadline
	}
	if g.RangesIncluded && g.Revision < s.releaseFloor || !s.noFence && s.otherRevision(g) {
		return gw.ErrStaleRevision
	}
	s.epoch = g.Epoch
	if !s.live(now) {
		// A request that was running when the session ended takes no effect after it.
		clear(s.draining)
	}
	s.deadline = max(s.deadline, g.Deadline)
	if g.RangesIncluded {
		s.revision, s.ranges = g.Revision, g.Ranges
	}
	return nil
}

func (s *simServer) otherRevision(g gw.Grant) bool {
	return g.RangesIncluded && g.Revision < s.revision || !g.RangesIncluded && g.Revision != s.revision
}

// release stops the ranges and returns when the last request that runs for them ends.
func (s *simServer) release(now, longest time.Duration, r gw.Release) (end time.Duration, err error) {
	if err := s.refuses(r.Incarnation, r.Epoch); err != nil {
		return now, err
	}
	if r.Revision != 0 && s.revision >= r.Revision {
		return now, gw.ErrStaleRevision
	}
	s.epoch = r.Epoch
	s.releaseFloor = max(s.releaseFloor, r.Revision)
	end = now
	for _, released := range r.Ranges {
		if rest := without(s.ranges, released); !slices.Equal(rest, s.ranges) {
			s.ranges = rest
			s.draining[released] = now + longest
		}
		for d, until := range s.draining {
			if d.First <= released.Last && released.First <= d.Last {
				end = max(end, until)
			}
		}
	}
	return end, nil
}

// simDispatcher follows the rules for dispatchers of one cell.
type simDispatcher struct {
	instance gw.InstanceID
	clock    simClock
	epoch    gw.Epoch
	sequence uint64
	deadline gw.ClockMilliseconds
	servers  []gw.DispatchServer
	inFlight map[simRequest]int
}

type simRequest struct {
	server gw.ServerName
	ranges gw.Range
}

var errSuperseded = errors.New("a later lease names the ranges again")

func (d *simDispatcher) status(now time.Duration) gw.DispatchStatus {
	st := gw.DispatchStatus{
		Instance: d.instance, Clock: d.clock.milliseconds(now), Epoch: d.epoch, Sequence: d.sequence,
	}
	named := map[gw.ServerName]bool{}
	for _, s := range d.servers {
		named[s.Name] = true
		st.Servers = append(st.Servers, gw.DispatchedServer{Name: s.Name, Incarnation: s.Incarnation, Answers: 1})
	}
	for r := range d.inFlight {
		if !named[r.server] {
			named[r.server] = true
			st.Servers = append(st.Servers, gw.DispatchedServer{Name: r.server, InFlight: 1})
		}
	}
	slices.SortFunc(st.Servers, func(x, y gw.DispatchedServer) int { return cmp.Compare(x.Name, y.Name) })
	return st
}

// maySend reports whether the newest lease lets the process send to a server at a time.
func (d *simDispatcher) maySend(now time.Duration, s gw.DispatchServer) bool {
	return d.clock.milliseconds(now) < d.deadline+gw.ClockMilliseconds(s.OverrunMilliseconds)
}

func (d *simDispatcher) raise(epoch gw.Epoch) {
	if epoch > d.epoch {
		d.epoch, d.sequence = epoch, 0
	}
}

func (d *simDispatcher) lease(now time.Duration, l gw.DispatchLease) error {
	if l.Epoch < d.epoch {
		return gw.ErrStaleEpoch
	}
	d.raise(l.Epoch)
	switch {
	case l.Deadline == 0 || l.To == d.instance && l.Sequence <= d.sequence:
		return nil
	case l.To != d.instance:
		return gw.ErrOtherInstance
	case d.clock.milliseconds(now) >= l.Deadline:
		return gw.ErrPastDeadline
	}
	d.sequence, d.deadline, d.servers = l.Sequence, l.Deadline, l.Servers
	return nil
}

// release stops sending; busy tells whether requests that it concerns are still running.
func (d *simDispatcher) release(r gw.DispatchRelease) (busy func() bool, err error) {
	if r.Epoch < d.epoch {
		return nil, gw.ErrStaleEpoch
	}
	d.raise(r.Epoch)
	if r.To != d.instance {
		return nil, gw.ErrOtherInstance
	}
	if r.Sequence <= d.sequence && d.names(r) {
		return nil, errSuperseded
	}
	d.sequence = max(d.sequence, r.Sequence)
	d.servers = slices.Clone(d.servers)
	for i := range d.servers {
		s := &d.servers[i]
		if s.Name == r.Server {
			for _, x := range r.Ranges {
				s.Ranges = without(s.Ranges, x)
			}
		}
	}
	if r.Ranges == nil {
		d.servers = slices.DeleteFunc(d.servers, func(s gw.DispatchServer) bool { return s.Name == r.Server })
	}
	return func() bool {
		for f := range d.inFlight {
			if f.server == r.Server && covers(r, f.ranges) {
				return true
			}
		}
		return d.names(r)
	}, nil
}

func (d *simDispatcher) names(r gw.DispatchRelease) bool {
	for _, s := range d.servers {
		if s.Name == r.Server && (r.Ranges == nil || slices.ContainsFunc(s.Ranges, func(g gw.GrantedRange) bool {
			return covers(r, g.Range)
		})) {
			return true
		}
	}
	return false
}

func covers(r gw.DispatchRelease, x gw.Range) bool {
	return r.Ranges == nil || slices.ContainsFunc(r.Ranges, func(y gw.Range) bool {
		return x.First <= y.Last && y.First <= x.Last
	})
}
