package gwdispatch

import (
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// The order of service matters when the load exceeds the capacity of the server. In order of arrival alone, every
// request would then be answered late. So requests that can still meet their objective are served first, by priority
// and then by arrival. Requests that cannot get the remaining capacity, and are refused as soon as the requests before
// them would take most of their time: the slots are as busy either way, and a caller that is refused early can retry
// later or elsewhere.

// meetsObjective reports whether a request that starts at start and takes the time needed is answered before its
// objective.
func (r *request) meetsObjective(start time.Time, needed time.Duration) bool {
	if r.cost.High > 0 {
		return r.canBeOnTime(start)
	}
	return r.Objective.IsZero() || !start.Add(needed).After(r.Objective)
}

// precedes reports whether a waiting request is served before another one of its tenant, whatever their arrival.
func (r *request) precedes(other *request, now time.Time, needed time.Duration) bool {
	a, b := r.meetsObjective(now, needed), other.meetsObjective(now, needed)
	switch {
	case a != b:
		return a
	case r.Priority != other.Priority:
		return r.Priority < other.Priority
	default:
		return false
	}
}

// nextIndex returns the index of the tenant's request that is served first.
func (t *tenantQueue) nextIndex(now time.Time, needed time.Duration) int {
	best := 0
	for i := 1; i < len(t.requests); i++ {
		if t.requests[i].precedes(t.requests[best], now, needed) {
			best = i
		}
	}
	return best
}

// maxLateWaitShare bounds the expected wait of a request that cannot meet its objective, as a share of the time left
// until it must start. Beyond it, so many requests go first that it would most likely wait in vain.
const maxLateWaitShare = 0.4

// notWorthQueueing reports whether a request that cannot meet its objective should be refused because of the number of
// requests ahead of it.
func (s *serverState) notWorthQueueing(now time.Time, r *request, ahead int, est timeSummary) bool {
	left := r.Deadline.Add(-est.P50).Sub(now)
	return ahead > 0 && float64(s.drainTime(now, ahead, s.expectedServiceTime(now, est))) > maxLateWaitShare*float64(left)
}

// shed refuses the waiting requests that cannot meet their objective and would most likely wait in vain.
func (s *serverState) shed(now time.Time, est timeSummary) {
	if s.cost != nil {
		s.shedByCost(now)
		return
	}
	if s.queue.length < 2 {
		return
	}
	onTime := 0
	for _, t := range s.queue.tenants {
		for _, r := range t.requests {
			if r.meetsObjective(now, est.P50) {
				onTime++
			}
		}
	}
	if onTime == 0 || onTime == s.queue.length {
		return
	}
	s.queue.filter(func(r *request) *gw.Refusal {
		if r.meetsObjective(now, est.P50) || !s.notWorthQueueing(now, r, onTime, est) {
			return nil
		}
		return s.busyRefusal(now, est, "the objective cannot be met, and requests that can meet theirs are waiting")
	}, s.refuse)
}

// busyRefusal returns a refusal that asks the caller to retry when the requests waiting now have been served.
func (s *serverState) busyRefusal(now time.Time, est timeSummary, detail string) *gw.Refusal {
	wait := max(s.drainTime(now, s.queue.length, s.expectedServiceTime(now, est)), minRetryAfter)
	return gw.Refuse(gw.ReasonOverloaded, detail).WithRetryAfter(wait.Milliseconds())
}

// minRetryAfter is the shortest delay asked of a refused caller. After a shorter one, the request would arrive before
// the slot that it was refused is free.
const minRetryAfter = 50 * time.Millisecond

// drainTime estimates how long a request with a number of requests ahead of it waits for a slot.
func (s *serverState) drainTime(now time.Time, ahead int, mean time.Duration) time.Duration {
	usable := s.slotLimiter.allowed(now, s.limits, s.server.Slots)
	if usable <= 0 {
		return s.pauseLeft(now)
	}
	return s.pauseLeft(now) + max(time.Duration(float64(mean)*float64(ahead+1)/usable),
		s.rateLimiter.minWait(now, ahead), s.serverLimit.minWait(now, ahead))
}

// expectedServiceTime returns the mean service time. While there are too few recent answers for an estimate, it falls
// back to the smoothed service time or the age of the oldest running request, whichever is longer.
func (s *serverState) expectedServiceTime(now time.Time, est timeSummary) time.Duration {
	if est.Mean > 0 {
		return est.Mean
	}
	return max(s.serviceTime, s.oldest(now))
}
