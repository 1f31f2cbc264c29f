package gwdispatch

import (
	"slices"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwcost"
)

// serverState decides which requests of one server start, wait or are refused. It is a deterministic state machine:
// every method takes the time, and none reads a clock, blocks or starts a goroutine. After each call the caller wakes
// the requests in decided.
type serverState struct {
	limits gw.ServiceLimits
	// server is the entry of the newest lease. It is replaced, never modified, so slots can point to it.
	server *gw.DispatchServer
	// listed is true while the newest lease lists the server.
	listed   bool
	leaseEnd time.Time
	// sendEnd is when the right to send ends, at leaseEnd or later.
	sendEnd time.Time
	blocks  []block
	// incarnation is the newest one, from a lease or from an answer; leasedIncarnation is that of the last lease.
	incarnation, leasedIncarnation gw.Incarnation
	// leavingIncarnation is the one that has said in an answer that it leaves. pausedUntil is until when the server has
	// asked for no requests.
	leavingIncarnation gw.Incarnation
	pausedUntil        time.Time

	slotLimiter slotLimiter
	rateLimiter rateLimiter
	serverLimit serverLimit
	// busy are the requests that occupy slots; held counts those in stateHeld.
	busy         []*request
	held         int
	queue        fairQueue
	serviceTimes *serviceTimes
	// cost estimates the costs of requests, nil unless the service is cost-aware. costModel is its model, projected and
	// projectedLate are reused by project, turn counts the slots that popByCost has allocated, and returns plans when
	// refused callers return.
	cost          *gwcost.Server
	costModel     *gwcost.Model
	projected     projection
	projectedLate []*request
	turn          int
	returns       gwcost.Returns
	rejections    rejections
	// serviceTime is the smoothed service time of successful answers. It is kept when the server restarts.
	serviceTime time.Duration
	rates       rates
	arrivals    arrivals
	// answers and failures count since the last status; recent is for the outlier detection.
	answers, failures int64
	recent            recentResults

	pendingReleases []*pendingRelease
	// decided are the requests that waited and were started or refused since the last step.
	decided []*request
}

func newServerState(name gw.ServerName, limits gw.ServiceLimits) *serverState {
	return &serverState{
		limits: withDefaults(limits), server: &gw.DispatchServer{Name: name}, serviceTimes: newServiceTimes(),
	}
}

// submit handles a new request: it starts, waits, or is refused.
func (s *serverState) submit(now time.Time, r *request) {
	s.freeExpired(now)
	r.arrived = now
	index, ref := s.check(now, r)
	if ref == nil && s.leaving() && !r.HasKey {
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
	est := s.estimateFor(now, r)
	if s.cost != nil && !r.NoWait {
		// A probe goes to another server when no slot is free, and does not return.
		s.returns.Arrive(now, s.cost.Usual(now, r.cost.Mean))
	}
	if s.pausedBeyond(now, r, est) {
		s.refuse(r, s.pauseRefusal(now, r, est))
		return
	}
	if s.tooShort(now, r, est.P50) {
		s.refuse(r, gw.Refuse(gw.ReasonDeadlineTooShort, "less time is left than the server's median service time"))
		return
	}
	if r.NoWait && s.rejectionDelay(now, r.cost.Mean) > 0 {
		s.refuse(r, s.rejectingRefusal(now, r))
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

// tooShort reports whether the request has less time left than it needs. An idle server gets a request whatever its
// recent service times: after it hung for as long as the deadlines it would otherwise get none for 10 s.
func (s *serverState) tooShort(now time.Time, r *request, needed time.Duration) bool {
	if len(s.busy) == 0 {
		needed = 0
	}
	return !r.Deadline.After(now.Add(needed))
}

func (s *serverState) enqueue(now time.Time, r *request, est timeSummary) {
	if s.cost != nil {
		s.enqueueByCost(now, r, est)
		return
	}
	s.shed(now, est)
	if ref := s.queueRefusal(now, r, est); ref != nil {
		s.refuse(r, ref)
		return
	}
	if s.queue.length >= s.limits.QueueLength {
		displaced := s.queue.displace(r.Tenant, r.Priority)
		if displaced == nil {
			s.refuse(r, s.busyRefusal(now, est, "queue of the server is full"))
			return
		}
		s.refuse(displaced, s.busyRefusal(now, est, "queue of the server is full, a tenant with fewer in it goes first"))
	}
	r.ready = make(chan struct{})
	s.queue.push(r)
}

// queueRefusal sets the request's queueDeadline and returns why the request must not wait, nil when it may.
func (s *serverState) queueRefusal(now time.Time, r *request, est timeSummary) *gw.Refusal {
	r.queueDeadline = now.Add(time.Duration(s.limits.QueueMilliseconds) * time.Millisecond)
	if last := r.Deadline.Add(-est.P50); last.Before(r.queueDeadline) {
		r.queueDeadline = last
	}
	if r.NoWait {
		return s.busyRefusal(now, est, "no slot is free")
	}
	// A request without an objective is refused only when recent answers suffice for an estimate.
	mean := est.Mean
	if !r.Objective.IsZero() {
		mean = s.expectedServiceTime(now, est)
	}
	wait := s.drainTime(now, s.queue.ahead(r.Tenant, r.Priority), mean)
	start := now.Add(wait)
	switch {
	case !r.meetsObjective(start, est.P50) && s.notWorthQueueing(now, r, s.queue.length, est):
		return s.busyRefusal(now, est, "the objective cannot be met")
	case start.After(r.queueDeadline) || start.Add(est.MinRemaining).After(r.Deadline):
		return s.tooLateRefusal(r, wait+est.MinRemaining, "the expected wait in the queue exceeds the time left")
	}
	return nil
}

// preview returns why a request would be refused now, nil when it would start or wait.
func (s *serverState) preview(now time.Time, r *request) *gw.Refusal {
	s.freeExpired(now)
	r.arrived = now
	if _, ref := s.check(now, r); ref != nil {
		return ref
	}
	if ok, _ := s.admits(now); ok && s.queue.length == 0 {
		return nil
	}
	if s.cost != nil {
		est := s.estimateFor(now, r)
		return s.queueRefusalByCost(now, r, est, s.project(now, r))
	}
	return s.queueRefusal(now, r, s.serviceTimes.estimate(now))
}

// admits reports whether one more request may start now, and whether it would occupy the fractional slot.
func (s *serverState) admits(now time.Time) (ok, fractional bool) {
	if now.Before(s.pausedUntil) || !s.rateLimiter.admits(now) || !s.serverLimit.admits(now) {
		return false, false
	}
	return s.slotLimiter.admits(now, s.limits, s.server.Slots, len(s.busy))
}

// tooLateRefusal returns the refusal of a request that cannot get a slot in time. The reason is its own deadline when
// that is too short for the time needed or bounded its wait, otherwise the limit on the time in the queue.
func (s *serverState) tooLateRefusal(r *request, needed time.Duration, detail string) *gw.Refusal {
	if r.arrived.Add(needed).After(r.Deadline) ||
		r.queueDeadline.Before(r.arrived.Add(time.Duration(s.limits.QueueMilliseconds)*time.Millisecond)) {
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
	s.slotLimiter.started(now, s.limits, s.server.Slots)
	s.rateLimiter.started(now)
	s.serverLimit.started(now)
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

// cancel refuses a waiting request whose caller has gone. It reports false when the request already has a slot.
func (s *serverState) cancel(r *request) bool {
	if r.state != stateWaiting || !s.queue.remove(r) {
		return r.state == stateRefused
	}
	r.state = stateRefused
	r.refusal = gw.Refuse(gw.ReasonDeadlineTooShort, "the caller stopped waiting")
	return true
}

// returnUnused frees the slot of a request that was not sent.
func (s *serverState) returnUnused(now time.Time, r *request) {
	if r.state == stateRunning {
		s.free(now, r)
		s.advance(now)
	}
}

// finish ends a running request. It reports false when the request is not running.
func (s *serverState) finish(now time.Time, r *request, result gw.AttemptResult) bool {
	if r.state != stateRunning {
		return false
	}
	s.observe(now, r, result)
	otherIncarnation := r.incarnation != s.incarnation && r.incarnation != ""
	if result.Outcome == gw.OutcomeUnknown && result.End.IsZero() && r.Deadline.After(now) && !otherIncarnation {
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
		s.slotLimiter.ended(now, r.started, s.limits, s.server.Slots)
	}
}

// freeExpired frees the slots of held requests whose deadline has passed.
func (s *serverState) freeExpired(now time.Time) {
	for i := len(s.busy) - 1; s.held > 0 && i >= 0; i-- {
		if r := s.busy[i]; r.state == stateHeld && !r.Deadline.After(now) {
			s.free(now, r)
		}
	}
}

// advance applies the passage of time: it frees expired slots, refuses requests that waited too long, starts waiting
// requests and completes releases.
func (s *serverState) advance(now time.Time) {
	s.freeExpired(now)
	if s.queue.length > 0 {
		s.startWaiting(now)
	}
	s.pendingReleases = slices.DeleteFunc(s.pendingReleases, func(w *pendingRelease) bool {
		if s.inFlight(w.ranges) > 0 {
			return false
		}
		close(w.done)
		return true
	})
}

func (s *serverState) startWaiting(now time.Time) {
	if !s.listed || !now.Before(s.sendEnd) {
		s.recheckQueue(now)
		return
	}
	if first := s.queue.earliestDeadline(); !first.After(now) {
		s.queue.filter(func(r *request) *gw.Refusal {
			if r.queueDeadline.After(now) {
				return nil
			}
			return s.tooLateRefusal(r, 0, "no slot became free in time")
		}, s.refuse)
	}
	est := s.serviceTimes.estimate(now)
	s.refusePaused(now, est)
	s.shed(now, est)
	for s.queue.length > 0 {
		ok, fractional := s.admits(now)
		if !ok {
			return
		}
		r := s.pop(now, est)
		est := s.estimateFor(now, r)
		needed := est.P50
		if s.queue.length > 0 {
			needed = est.MinRemaining
		}
		if s.tooShort(now, r, needed) {
			s.refuse(r, gw.Refuse(gw.ReasonDeadlineTooShort, "less time is left than the server is expected to take"))
			continue
		}
		s.start(now, r, fractional)
	}
}

// pop removes and returns the request that is served next.
func (s *serverState) pop(now time.Time, est timeSummary) *request {
	if s.cost != nil {
		return s.popByCost(now)
	}
	return s.queue.pop(now, est.P50)
}

// wakeAt returns when advance must be called next, zero when the passage of time alone changes nothing.
func (s *serverState) wakeAt(now time.Time) time.Time {
	var at time.Time
	earlier := func(t time.Time) {
		if !t.IsZero() && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	if s.queue.length > 0 {
		if now.Before(s.pausedUntil) {
			earlier(s.pausedUntil)
		}
		earlier(s.queue.earliestDeadline())
		earlier(s.sendEnd)
		earlier(s.slotLimiter.wakeAt(now))
		earlier(s.rateLimiter.wakeAt(now))
		earlier(s.serverLimit.wakeAt(now))
	}
	if s.held > 0 && (s.queue.length > 0 || len(s.pendingReleases) > 0) {
		for _, r := range s.busy {
			if r.state == stateHeld {
				earlier(r.Deadline)
			}
		}
	}
	return at
}

// idle reports whether the state of the server can be dropped.
func (s *serverState) idle() bool {
	return !s.listed && len(s.busy) == 0 && len(s.blocks) == 0 && len(s.pendingReleases) == 0
}
