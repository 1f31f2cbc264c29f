package gwdispatch

import (
	"slices"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// The order of service answers a load above what the server bears. First in, first out then answers every request late.
// Here requests that can still meet their objective go first, by priority and then by arrival. Those that cannot are
// served in what is left, and are refused as soon as others that can are waiting: the slots are as busy either way, and
// a caller that is told at once can come back or go elsewhere.

// onTime reports whether a request that starts at a time can meet its objective when it needs as long as usual.
func (r *request) onTime(start time.Time, needed time.Duration) bool {
	return r.Objective.IsZero() || !start.Add(needed).After(r.Objective)
}

// before reports whether a waiting request is served before another one.
func (r *request) before(other *request, now time.Time, needed time.Duration) bool {
	a, b := r.onTime(now, needed), other.onTime(now, needed)
	switch {
	case a != b:
		return a
	case r.Priority != other.Priority:
		return r.Priority < other.Priority
	default:
		return false
	}
}

// next returns the index of the request of the tenant that is served first.
func (t *tenantQueue) next(now time.Time, needed time.Duration) int {
	best := 0
	for i := 1; i < len(t.requests); i++ {
		if t.requests[i].before(t.requests[best], now, needed) {
			best = i
		}
	}
	return best
}

// shed refuses the waiting requests that cannot meet their objective while others that can are waiting.
func (s *serverState) shed(now time.Time, est quantiles) {
	if s.queue.length < 2 {
		return
	}
	waitsOnTime := func(r *request) bool { return r.onTime(now, est.P50) }
	if !slices.ContainsFunc(s.queue.tenants, func(t *tenantQueue) bool {
		return slices.ContainsFunc(t.requests, waitsOnTime)
	}) {
		return
	}
	s.queue.filter(func(r *request) *gw.Refusal {
		if waitsOnTime(r) {
			return nil
		}
		return s.busyRefusal(now, est, "the objective cannot be met and others that can meet theirs are waiting")
	}, s.refuse)
}

// busyRefusal returns a refusal that asks the caller to come back when what waits now has been served.
func (s *serverState) busyRefusal(now time.Time, est quantiles, detail string) *gw.Refusal {
	wait := max(s.drainTime(now, s.queue.length, est), minRetryAfter)
	return gw.Refuse(gw.ReasonOverloaded, detail).WithRetryAfter(wait.Milliseconds())
}

// minRetryAfter is the shortest time after which a caller is asked to come back: below it, the request would arrive
// before the slot that it was refused is free.
const minRetryAfter = 50 * time.Millisecond

// drainTime estimates how long it takes until a request behind a number of others gets a slot.
func (s *serverState) drainTime(now time.Time, ahead int, est quantiles) time.Duration {
	usable := s.level.usable(now, s.limits, s.server.Slots)
	if usable <= 0 {
		return 0
	}
	return max(time.Duration(float64(est.Mean)*float64(ahead+1)/usable), s.pace.wait(now, ahead))
}
