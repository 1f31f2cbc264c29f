package gwdispatch

import (
	"slices"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwcost"
)

// The functions in this file replace those of order.go for services with CostAware. The load that they address: about
// twice the capacity, with requests whose costs differ by a factor of 5. With one median for all requests, each waits
// until about half of the answers are late, and the slots are spent on answers that are worth little.

// setCosts sets the model of the service's costs, nil when the service is not cost-aware. A server keeps what it has
// learned while the model stays the same.
func (s *serverState) setCosts(model *gwcost.Model) {
	if s.costModel == model {
		return
	}
	s.costModel, s.cost = model, nil
	if model != nil {
		s.cost = gwcost.NewServer(model)
		return
	}
	for _, t := range s.queue.tenants {
		for _, r := range t.requests {
			// Without an estimate of its own, the request is judged by the server's median.
			r.cost = gwcost.Estimate{}
		}
	}
}

// estimateFor returns the estimate for a request that starts now. For cost-aware services it is that of the request's
// class, once there is one.
func (s *serverState) estimateFor(now time.Time, r *request) timeSummary {
	est := s.serviceTimes.estimate(now)
	if s.cost == nil {
		return est
	}
	r.cost = s.expect(now, r.Class)
	if r.cost.Known() {
		est.Mean, est.P50, est.MinRemaining = r.cost.Mean, r.cost.Median, r.cost.High
	}
	return est
}

// expect estimates the cost of a request. While nothing has been observed, it falls back to the smoothed service time
// or the age of the oldest running request, so that requests do not queue up for a server that hangs from the start.
func (s *serverState) expect(now time.Time, class gw.CostClass) gwcost.Estimate {
	est := s.cost.Expect(now, class)
	if !est.Known() {
		est.Mean = max(s.serviceTime, s.oldest(now))
		est.High = est.Mean
	}
	return est
}

// goal returns when the answer should be complete.
func (r *request) goal() time.Time {
	if r.Objective.IsZero() {
		return r.Deadline
	}
	return r.Objective
}

// canBeOnTime reports whether a request of a cost-aware service is likely to meet its objective if it starts then.
func (r *request) canBeOnTime(start time.Time) bool {
	return !start.Add(r.cost.High).After(r.goal())
}

// projection is the expected course of the waiting requests.
type projection struct {
	// order are the waiting requests: first those that are expected to be on time, from index late on the others.
	order []*request
	late  int
	// free are the times at which the slots become free.
	free []time.Time
	// starts counts the starts that were assigned, for servers whose starts are spaced. scale is by how much longer a
	// request occupies its slot because a cold server uses only a fraction of its slots.
	starts int
	scale  float64
	// estimates are those of the classes of the waiting requests.
	estimates []classEstimate
}

type classEstimate struct {
	class gw.CostClass
	cost  gwcost.Estimate
}

// expectOnce estimates the cost of a waiting request once for each class of a projection.
func (s *serverState) expectOnce(now time.Time, class gw.CostClass) gwcost.Estimate {
	p := &s.projected
	for i := range p.estimates {
		if p.estimates[i].class == class {
			return p.estimates[i].cost
		}
	}
	est := s.expect(now, class)
	p.estimates = append(p.estimates, classEstimate{class, est})
	return est
}

// project assigns the waiting requests, and extra unless it is nil, to the slots in the order of service. It sets when
// each is expected to start and whether it can then be on time. A request that cannot be on time does not delay those
// that can.
func (s *serverState) project(now time.Time, extra *request) *projection {
	p := &s.projected
	p.order, p.starts = p.order[:0], 0
	s.projectSlots(now)
	for _, t := range s.queue.tenants {
		p.order = append(p.order, t.requests...)
	}
	p.estimates = p.estimates[:0]
	for _, r := range p.order {
		r.cost = s.expectOnce(now, r.Class)
	}
	if extra != nil {
		p.order = append(p.order, extra)
	}
	s.rankByTenant()
	slices.SortStableFunc(p.order, compareOrder)
	late := s.projectedLate[:0]
	p.late = 0
	for _, r := range p.order {
		if s.projectStart(now, r); !r.canBeOnTime(r.expectedStart) {
			late = append(late, r)
			continue
		}
		s.projectUse(r)
		p.order[p.late] = r
		p.late++
	}
	copy(p.order[p.late:], late)
	for _, r := range late {
		s.projectStart(now, r)
		s.projectUse(r)
	}
	s.projectedLate = late[:0]
	return p
}

// projectSlots sets when the slots become free.
func (s *serverState) projectSlots(now time.Time) {
	p := &s.projected
	p.free = p.free[:0]
	for _, r := range s.busy {
		at := r.Deadline
		if r.state != stateHeld {
			at = now.Add(s.cost.Residual(r.cost, now.Sub(r.started)))
		}
		p.free = append(p.free, at)
	}
	slices.SortFunc(p.free, time.Time.Compare)
	usable := s.slotLimiter.allowed(now, s.limits, s.server.Slots)
	slots := max(int(usable), 1)
	if float64(slots) < usable {
		slots++
	}
	if over := len(p.free) - slots; over > 0 {
		p.free = append(p.free[:0], p.free[over:]...)
	}
	for len(p.free) < slots {
		p.free = append(p.free, now)
	}
	p.scale = float64(slots) / max(usable, minUsable)
}

// minUsable bounds the expected wait at a server that may use no slot at the moment.
const minUsable = 0.05

// projectStart sets when the request is expected to start if it is the next one.
func (s *serverState) projectStart(now time.Time, r *request) {
	p := &s.projected
	earliest := slices.MinFunc(p.free, time.Time.Compare)
	r.expectedStart = latest(latest(earliest, s.pacedFrom(now)), s.slotLimiter.wakeAt(now))
}

// pacedFrom returns the earliest start after those of the projection that the server's pause and limits permit.
func (s *serverState) pacedFrom(now time.Time) time.Time {
	starts := s.projected.starts
	return now.Add(s.pauseLeft(now) + max(s.rateLimiter.minWait(now, starts), s.serverLimit.minWait(now, starts)))
}

// projectUse lets the request occupy the slot that becomes free first.
func (s *serverState) projectUse(r *request) {
	p := &s.projected
	first := 0
	for i := range p.free {
		if p.free[i].Before(p.free[first]) {
			first = i
		}
	}
	p.free[first] = r.expectedStart.Add(time.Duration(float64(r.cost.Mean) * p.scale))
	p.starts++
}

// rankByTenant sets how many requests of the same tenant and priority go before each request.
func (s *serverState) rankByTenant() {
	order := s.projected.order
	for i, r := range order {
		r.rank = 0
		for _, other := range order[:i] {
			if other.Tenant == r.Tenant && other.Priority == r.Priority {
				r.rank++
			}
		}
	}
}

// compareOrder orders requests by priority, then in turn between tenants, then by arrival.
func compareOrder(a, b *request) int {
	switch {
	case a.Priority != b.Priority:
		return a.Priority - b.Priority
	case a.rank != b.rank:
		return a.rank - b.rank
	default:
		return a.arrived.Compare(b.arrived)
	}
}

// isLate reports whether the projection expects the request to miss its objective.
func (p *projection) isLate(r *request) bool {
	return slices.Contains(p.order[p.late:], r)
}

// waitsInVain reports whether requests that can be on time leave a late one so little capacity that it should be
// refused. Below capacity, after a short burst, it is served late instead.
func (s *serverState) waitsInVain(now time.Time, r *request) bool {
	offered := s.returns.Offered(now) * s.projected.scale / float64(len(s.projected.free))
	if offered > overloadShare {
		return true
	}
	if offered < calmShare {
		return r.expectedStart.After(r.queueDeadline)
	}
	left := r.Deadline.Add(-r.cost.Median).Sub(now)
	return float64(r.expectedStart.Sub(now)) > maxLateWaitShare*float64(left) || r.expectedStart.After(r.queueDeadline)
}

// calmShare is the offered work, as a share of the capacity, below which a late request waits as long as it can be
// served before its deadline. The requests ahead of it will soon have been served.
const calmShare = 0.8

// overloadShare is the offered work, as a share of the capacity, from which on late requests are refused at once. The
// rate over one second varies by about a third at a server with 12 requests a second. In the replay with a fifth of the
// servers slow, 1.3 left 3% of the slots unused.
const overloadShare = 1.6

// shedByCost refuses the waiting requests that are expected to be late and would most likely wait in vain.
func (s *serverState) shedByCost(now time.Time) {
	if s.queue.length < 2 {
		return
	}
	p := s.project(now, nil)
	if p.late == 0 || p.late == len(p.order) {
		return
	}
	for _, r := range slices.Clone(p.order[p.late:]) {
		if s.waitsInVain(now, r) && s.queue.remove(r) {
			s.refuse(r, s.busyByCost(
				now, r, ruleObjective, "the objective cannot be met, and requests that can meet theirs are waiting"))
		}
	}
}

// enqueueByCost lets a request wait or refuses it, and refuses another one if that has to make room.
func (s *serverState) enqueueByCost(now time.Time, r *request, est timeSummary) {
	s.shedByCost(now)
	p := s.project(now, r)
	if ref := s.queueRefusalByCost(now, r, est, p); ref != nil {
		s.refuse(r, ref)
		return
	}
	if s.queue.length >= s.limits.QueueLength {
		displaced := s.displaceByCost(r, p)
		if displaced == nil {
			s.refuse(r, s.busyByCost(now, r, ruleQueueFull, "queue of the server is full"))
			return
		}
		s.refuse(displaced, s.busyByCost(
			now, displaced, ruleDisplaced, "queue of the server is full, and another request goes first"))
	}
	r.ready = make(chan struct{})
	s.queue.push(r)
}

// queueRefusalByCost sets the request's queueDeadline and returns why the request must not wait, nil when it may.
func (s *serverState) queueRefusalByCost(now time.Time, r *request, est timeSummary, p *projection) *gw.Refusal {
	r.queueDeadline = earliest(
		now.Add(time.Duration(s.limits.QueueMilliseconds)*time.Millisecond), r.Deadline.Add(-est.P50))
	wait := r.expectedStart.Sub(now)
	switch {
	case r.NoWait:
		r.rule = ruleNoWait
		return gw.Refuse(gw.ReasonOverloaded, "no slot is free").WithRetryAfter(max(wait, minRetryAfter).Milliseconds())
	case p.isLate(r) && p.late > 0 && s.waitsInVain(now, r):
		return s.busyByCost(now, r, ruleObjective, "the objective cannot be met")
	case r.expectedStart.After(r.queueDeadline) || r.expectedStart.Add(est.MinRemaining).After(r.Deadline):
		const detail = "the expected wait in the queue exceeds the time left"
		if ref := s.tooLateRefusal(r, wait+est.MinRemaining, detail); ref.Reason != gw.ReasonOverloaded {
			return ref
		}
		return s.busyByCost(now, r, ruleWait, detail)
	}
	return nil
}

// displaceByCost makes room for a request in a full queue: a late one makes room for one that can be on time, then a
// less urgent one for a more urgent one, then one of a tenant with many for one of a tenant with few. It returns nil
// when the request itself has to go.
func (s *serverState) displaceByCost(r *request, p *projection) *request {
	last := p.order[len(p.order)-1]
	switch {
	case !p.isLate(r) && last != r && (p.isLate(last) || last.Priority > r.Priority):
		s.queue.remove(last)
		return last
	case p.isLate(r) && p.late > 0:
		return nil
	default:
		return s.queue.displace(r.Tenant, r.Priority)
	}
}

// The rules by which requests of cost-aware services are refused, as the metrics name them.
const (
	ruleNoWait    = "no-wait"
	ruleObjective = "objective"
	ruleWait      = "wait"
	ruleQueueFull = "queue-full"
	ruleDisplaced = "displaced"
	rulePause     = "pause"
)

// busyByCost returns a refusal of a request that asks its caller to return when capacity is expected.
func (s *serverState) busyByCost(now time.Time, r *request, rule, detail string) *gw.Refusal {
	s.project(now, nil)
	r.rule = rule
	var delay time.Duration
	delay, r.returns = s.returns.Refuse(now, s.capacity(now, r.cost.Mean), r.cost.Mean, r.Deadline.Sub(now))
	return gw.Refuse(gw.ReasonOverloaded, detail).WithRetryAfter(delay.Milliseconds())
}

// capacity returns what the server can do after the projected requests, of which each further one has the given cost.
func (s *serverState) capacity(now time.Time, cost time.Duration) gwcost.Capacity {
	p := &s.projected
	spacing := func(wait func(time.Time, int) time.Duration) time.Duration {
		return wait(now, p.starts+1) - wait(now, p.starts)
	}
	out := gwcost.Capacity{Free: p.free, Share: 1 / p.scale}
	if least := max(spacing(s.rateLimiter.minWait), spacing(s.serverLimit.minWait)); least > 0 && cost > 0 {
		out.Share = min(out.Share, float64(cost)/float64(least)/float64(len(p.free)))
	}
	from := s.pacedFrom(now)
	for i := range p.free {
		p.free[i] = latest(p.free[i], from)
	}
	return out
}

// popByCost removes and returns the request that is served next: one that can be on time goes before one that cannot,
// then the priority decides, then the turn of the tenant, then the arrival. The queue must not be empty.
func (s *serverState) popByCost(now time.Time) *request {
	q := &s.queue
	s.turn = (s.turn + 1) % turnInterval
	var best *request
	tenant, index := 0, 0
	for i := range q.tenants {
		at := (q.next + i) % len(q.tenants)
		j := q.tenants[at].nextIndex(now, 0)
		r := q.tenants[at].requests[j]
		if best == nil || s.goesFirst(now, r, best) {
			best, tenant, index = r, at, j
		}
	}
	t := q.tenants[tenant]
	q.next = tenant
	q.removeAt(tenant, index)
	if q.next < len(q.tenants) && q.tenants[q.next] == t {
		q.next++
	}
	return best
}

// goesFirst reports whether a request goes before the one of a tenant whose turn is earlier.
func (s *serverState) goesFirst(now time.Time, r, other *request) bool {
	if a, b := r.canBeOnTime(now), other.canBeOnTime(now); a != b {
		return a
	}
	return s.turn != 0 && r.Priority < other.Priority
}

// observeCost learns from the end of a request.
func (s *serverState) observeCost(now time.Time, r *request, result gw.AttemptResult, took time.Duration, good bool) {
	if s.cost == nil {
		return
	}
	s.cost.Report(now, result.Load)
	if good || result.Outcome == gw.OutcomeUnknown {
		s.cost.Observe(now, r.Class, r.cost, took, good)
	}
}
