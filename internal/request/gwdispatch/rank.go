package gwdispatch

import (
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// The order of service answers a load above what the server bears. First in, first out then answers every request late.
// Here requests that can still meet their objective go first, by priority and then by arrival. Those that cannot are
// served in what is left, and are refused as soon as those before them would take most of their time: the slots are as
// busy either way, and a caller that is told early can come back or go elsewhere.

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

// lateShare is the part of the time left for which a request that cannot meet its objective may expect to wait. Beyond
// it, the requests that go before it are so many that it would most likely be held in vain.
const lateShare = 0.4

// hopelessLate reports whether a request that cannot meet its objective is not worth keeping when a number of others go
// before it.
func (s *serverState) hopelessLate(now time.Time, r *request, ahead int, est quantiles) bool {
	left := r.Deadline.Add(-est.P50).Sub(now)
	return ahead > 0 && float64(s.drainTime(now, ahead, s.likelyMean(now, est))) > lateShare*float64(left)
}

// shed refuses the waiting requests that cannot meet their objective and would be held in vain.
func (s *serverState) shed(now time.Time, est quantiles) {
	if s.queue.length < 2 {
		return
	}
	onTime := 0
	for _, t := range s.queue.tenants {
		for _, r := range t.requests {
			if r.onTime(now, est.P50) {
				onTime++
			}
		}
	}
	if onTime == 0 || onTime == s.queue.length {
		return
	}
	s.queue.filter(func(r *request) *gw.Refusal {
		if r.onTime(now, est.P50) || !s.hopelessLate(now, r, onTime, est) {
			return nil
		}
		return s.busyRefusal(now, est, "the objective cannot be met and others that can meet theirs are waiting")
	}, s.refuse)
}

// busyRefusal returns a refusal that asks the caller to come back when what waits now has been served.
func (s *serverState) busyRefusal(now time.Time, est quantiles, detail string) *gw.Refusal {
	wait := max(s.drainTime(now, s.queue.length, s.likelyMean(now, est)), minRetryAfter)
	return gw.Refuse(gw.ReasonOverloaded, detail).WithRetryAfter(wait.Milliseconds())
}

// minRetryAfter is the shortest time after which a caller is asked to come back: below it, the request would arrive
// before the slot that it was refused is free.
const minRetryAfter = 50 * time.Millisecond

// drainTime estimates how long it takes until a request behind a number of others gets a slot.
func (s *serverState) drainTime(now time.Time, ahead int, mean time.Duration) time.Duration {
	usable := s.level.usable(now, s.limits, s.server.Slots)
	if usable <= 0 {
		return 0
	}
	return max(time.Duration(float64(mean)*float64(ahead+1)/usable), s.pace.wait(now, ahead))
}

// likelyMean returns the mean time of a request. Before there are enough answers for an estimate, all that is
// known is how long earlier and running requests took.
func (s *serverState) likelyMean(now time.Time, est quantiles) time.Duration {
	if est.Mean > 0 {
		return est.Mean
	}
	return max(s.usual, s.oldest(now))
}
