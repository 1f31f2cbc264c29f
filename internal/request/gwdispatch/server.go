package gwdispatch

import (
	"slices"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// serverState decides about the requests of one server. It is a state machine: every method takes the time,
// none reads a clock, blocks or starts a goroutine. After each call the wrapper takes what was decided.
type serverState struct {
	limits gw.ServiceLimits
	// server is the entry of the newest lease. It is never changed, so slots can point to it.
	server   *gw.DispatchServer
	listed   bool
	leaseEnd time.Time
	// sendEnd is when the right to send ends, at leaseEnd or later.
	sendEnd time.Time
	blocks  []block
	// incarnation is the newest one known, from a lease or from an answer; leased is that of the last lease.
	incarnation, leased gw.Incarnation

	level level
	pace  pace
	// busy holds the requests that occupy slots; held of them have ended for the caller.
	busy  []*request
	held  int
	queue fairQueue
	times *times
	// usual is the smoothed service time of successful answers. It outlasts restarts.
	usual    time.Duration
	rates    rates
	arrivals arrivals
	// answers and failures count since the last status; recent ones are kept for outlier detection.
	answers, failures int64
	recent            recentResults

	releases []*releaseWait
	decided  []*request
}

func newServerState(name gw.ServerName, limits gw.ServiceLimits) *serverState {
	return &serverState{limits: withDefaults(limits), server: &gw.DispatchServer{Name: name}, times: newTimes()}
}

// submit handles a new request: it starts, waits, or is refused.
func (s *serverState) submit(now time.Time, r *request) {
	s.expire(now)
	r.arrived = now
	index, ref := s.check(now, r)
	if ref == nil && s.server.Leaving && !r.HasKey {
		ref = gw.Refuse(gw.ReasonNoServer, "server is leaving")
	}
	if ref != nil {
		s.refuse(r, ref)
		return
	}
	s.rates.add(now, index, r.Position)
	if r.HasKey {
		s.arrivals.add(r.Position)
	}
	est := s.times.estimate(now)
	if s.tooShort(now, r, est.P50) {
		s.refuse(r, gw.Refuse(gw.ReasonDeadlineTooShort, "less time is left than half of the server's answers take"))
		return
	}
	if s.queue.length == 0 {
		if ok, fractional := s.admits(now); ok {
			s.start(now, r, fractional)
			return
		}
	}
	s.enqueue(now, r, est)
}

// tooShort reports whether the request has less time left than it needs. An idle server is given a request
// whatever it needed recently: otherwise it would get none for 10 s after it hung for as long as the deadlines.
func (s *serverState) tooShort(now time.Time, r *request, needed time.Duration) bool {
	if len(s.busy) == 0 {
		needed = 0
	}
	return !r.Deadline.After(now.Add(needed))
}

func (s *serverState) enqueue(now time.Time, r *request, est quantiles) {
	s.shed(now, est)
	if ref := s.hopeless(now, r, est); ref != nil {
		s.refuse(r, ref)
		return
	}
	if s.queue.length >= s.limits.QueueLength {
		displaced := s.queue.displace(r.Tenant)
		if displaced == nil {
			s.refuse(r, s.busyRefusal(now, est, "queue of the server is full"))
			return
		}
		s.refuse(displaced, s.busyRefusal(now, est, "queue of the server is full and another tenant has fewer in it"))
	}
	r.ready = make(chan struct{})
	s.queue.push(r)
}

// hopeless returns why a request is not to wait, nil when it may. It sets when the request gives up waiting.
func (s *serverState) hopeless(now time.Time, r *request, est quantiles) *gw.Refusal {
	r.giveUp = now.Add(time.Duration(s.limits.QueueMilliseconds) * time.Millisecond)
	if last := r.Deadline.Add(-est.P50); last.Before(r.giveUp) {
		r.giveUp = last
	}
	if r.NoWait {
		return s.busyRefusal(now, est, "no slot is free")
	}
	// Without an objective, a request is refused only on an estimate from answers.
	mean := est.Mean
	if !r.Objective.IsZero() {
		mean = s.likelyMean(now, est)
	}
	wait := s.drainTime(now, s.queue.ahead(r.Tenant), mean)
	start := now.Add(wait)
	switch {
	case !r.onTime(start, est.P50) && s.hopelessLate(now, r, s.queue.length, est):
		return s.busyRefusal(now, est, "the objective cannot be met")
	case start.After(r.giveUp) || start.Add(est.Worthwhile).After(r.Deadline):
		return s.late(r, wait+est.Worthwhile, "the queue is longer than the time left")
	}
	return nil
}

// preview returns why a request would be refused now, nil when it would start or wait.
func (s *serverState) preview(now time.Time, r *request) *gw.Refusal {
	s.expire(now)
	r.arrived = now
	if _, ref := s.check(now, r); ref != nil {
		return ref
	}
	if ok, _ := s.admits(now); ok && s.queue.length == 0 {
		return nil
	}
	return s.hopeless(now, r, s.times.estimate(now))
}

// admits reports whether one more request may start now, and whether it uses the slot that may be used in part only.
func (s *serverState) admits(now time.Time) (ok, fractional bool) {
	if !s.pace.admits(now) {
		return false, false
	}
	return s.level.admits(now, s.limits, s.server.Slots, len(s.busy))
}

// late returns the refusal of a request that cannot get a slot in time: because of its own deadline when it needs
// longer than that, otherwise because of the bound on the time in the queue.
func (s *serverState) late(r *request, needed time.Duration, detail string) *gw.Refusal {
	if r.arrived.Add(needed).After(r.Deadline) ||
		r.giveUp.Before(r.arrived.Add(time.Duration(s.limits.QueueMilliseconds)*time.Millisecond)) {
		return gw.Refuse(gw.ReasonDeadlineTooShort, detail)
	}
	return overloaded(detail)
}

func overloaded(detail string) *gw.Refusal {
	ref := gw.Refuse(gw.ReasonOverloaded, detail)
	ref.RetryAfterSeconds = 1
	return ref
}

func (s *serverState) start(now time.Time, r *request, fractional bool) {
	r.state = stateRunning
	r.started = now
	r.server, r.incarnation = s.server, s.incarnation
	r.sendBefore = s.sendEnd
	if r.Deadline.Before(r.sendBefore) {
		r.sendBefore = r.Deadline
	}
	r.fractional = fractional
	r.index = len(s.busy)
	s.busy = append(s.busy, r)
	s.level.started(now, s.limits, s.server.Slots)
	s.pace.started(now)
	if r.ready != nil {
		s.decided = append(s.decided, r)
	}
}

func (s *serverState) refuse(r *request, ref *gw.Refusal) {
	r.state = stateRefused
	r.refusal = ref
	if r.ready != nil {
		s.decided = append(s.decided, r)
	}
}

// cancel takes back a request whose caller has gone; it reports false when the request already has a slot.
func (s *serverState) cancel(r *request) bool {
	if r.state != stateWaiting || !s.queue.remove(r) {
		return r.state == stateRefused
	}
	r.state = stateRefused
	r.refusal = gw.Refuse(gw.ReasonDeadlineTooShort, "the caller stopped waiting")
	return true
}

// giveBack frees the slot of a request of which nothing was sent.
func (s *serverState) giveBack(now time.Time, r *request) {
	if r.state == stateRunning {
		s.free(now, r)
		s.advance(now)
	}
}

// finish ends a running request. It reports false when the request had ended before.
func (s *serverState) finish(now time.Time, r *request, result gw.AttemptResult) bool {
	if r.state != stateRunning {
		return false
	}
	s.observe(now, r, result)
	gone := r.incarnation != s.incarnation && r.incarnation != ""
	if result.Outcome == gw.OutcomeUnknown && result.End.IsZero() && r.Deadline.After(now) && !gone {
		r.state = stateHeld
		s.held++
	} else {
		s.free(now, r)
	}
	s.advance(now)
	return true
}

func (s *serverState) free(now time.Time, r *request) {
	if r.state == stateHeld {
		s.held--
	}
	r.state = stateEnded
	last := len(s.busy) - 1
	s.busy[r.index] = s.busy[last]
	s.busy[r.index].index = r.index
	s.busy[last] = nil
	s.busy = s.busy[:last]
	if r.fractional {
		s.level.ended(now, r.started, s.limits, s.server.Slots)
	}
}

// expire frees the slots of given-up requests whose deadline has passed.
func (s *serverState) expire(now time.Time) {
	for i := len(s.busy) - 1; s.held > 0 && i >= 0; i-- {
		if r := s.busy[i]; r.state == stateHeld && !r.Deadline.After(now) {
			s.free(now, r)
		}
	}
}

// advance applies the passage of time: it frees expired slots, refuses requests that waited too long, starts
// waiting ones and completes releases.
func (s *serverState) advance(now time.Time) {
	s.expire(now)
	if s.queue.length > 0 {
		s.serve(now)
	}
	s.releases = slices.DeleteFunc(s.releases, func(w *releaseWait) bool {
		if s.inFlight(w.ranges) > 0 {
			return false
		}
		close(w.done)
		return true
	})
}

func (s *serverState) serve(now time.Time) {
	if !s.listed || !now.Before(s.sendEnd) {
		s.sweep(now)
		return
	}
	if first := s.queue.earliest(); !first.After(now) {
		s.queue.filter(func(r *request) *gw.Refusal {
			if r.giveUp.After(now) {
				return nil
			}
			return s.late(r, 0, "no slot became free in time")
		}, s.refuse)
	}
	est := s.times.estimate(now)
	s.shed(now, est)
	for s.queue.length > 0 {
		ok, fractional := s.admits(now)
		if !ok {
			return
		}
		r := s.queue.pop(now, est.P50)
		needed := est.P50
		if s.queue.length > 0 {
			needed = est.Worthwhile
		}
		if s.tooShort(now, r, needed) {
			s.refuse(r, gw.Refuse(gw.ReasonDeadlineTooShort, "less time is left than the server's answers take"))
			continue
		}
		s.start(now, r, fractional)
	}
}

// wake returns when advance must be called next, zero when only another event changes anything.
func (s *serverState) wake(now time.Time) time.Time {
	var at time.Time
	earlier := func(t time.Time) {
		if !t.IsZero() && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	if s.queue.length > 0 {
		earlier(s.queue.earliest())
		earlier(s.sendEnd)
		earlier(s.level.wake(now))
		earlier(s.pace.wake(now))
	}
	if s.held > 0 && (s.queue.length > 0 || len(s.releases) > 0) {
		for _, r := range s.busy {
			if r.state == stateHeld {
				earlier(r.Deadline)
			}
		}
	}
	return at
}

// idle reports whether nothing of the server needs to be remembered.
func (s *serverState) idle() bool {
	return !s.listed && len(s.busy) == 0 && len(s.blocks) == 0 && len(s.releases) == 0
}
