package gwdispatch

import (
	"math"
	"net/http"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// serviceTimeSmoothing is the number of answers over which the service time is smoothed. For exponential times the
// error is then about 9%.
const serviceTimeSmoothing = 64

// observe updates counts, service times and the slot limit from the end of a request.
func (s *serverState) observe(now time.Time, r *request, result gw.AttemptResult) {
	if answering := result.Incarnation; answering != "" && answering != s.incarnation && answering != r.incarnation {
		s.handleRestart(now, answering)
	}
	s.noteAnswer(now, r, result)
	took := now.Sub(r.started)
	if result.FirstByte.After(r.started) {
		// The rest of the answer may be slow because of the caller.
		took = result.FirstByte.Sub(r.started)
	}
	good := result.Outcome == gw.OutcomeAnswered && result.Status < http.StatusInternalServerError
	sameIncarnation := r.incarnation == s.incarnation
	switch {
	case s.rejectedWithFreeSlots(result):
		// Fewer requests would be rejected as often.
		s.rejections.add(now, false, rejectionMemory)
	case result.Overloaded:
		s.slotLimiter.lower(now, s.limits, s.server.Slots, s.busy, s.serviceTime)
	case good && sameIncarnation && !r.started.Before(s.slotLimiter.loweredAt):
		// A request that started before the limit was lowered says nothing about the server under the present limit.
		s.slotLimiter.raise(now, s.limits, s.server.Slots)
	}
	if good {
		s.answers++
		s.rejections.add(now, true, rejectionMemory)
		if s.serviceTime == 0 {
			s.serviceTime = took
		}
		s.serviceTime += (took - s.serviceTime) / serviceTimeSmoothing
	} else if !result.Overloaded {
		s.failures++
	}
	if !sameIncarnation {
		return
	}
	// A refusal by the server itself, for example of a stale token, says nothing about its health.
	if refused := result.Outcome == gw.OutcomeNotRun && result.Status != 0; !refused && !result.Overloaded {
		s.recent.add(now, good, rateWindow)
	}
	s.observeCost(now, r, result, took, good)
	// A request with an unknown outcome took at least this long, which says nothing if it is below the median.
	if good || result.Outcome == gw.OutcomeUnknown && took > s.serviceTimes.estimate(now).P50 {
		s.serviceTimes.record(now, took)
	}
}

// handleRestart handles another incarnation of the server: it is cold, and no request of the former one runs any more.
func (s *serverState) handleRestart(now time.Time, incarnation gw.Incarnation) {
	s.incarnation = incarnation
	s.pausedUntil = time.Time{}
	s.serverLimit = serverLimit{}
	s.serviceTimes = newServiceTimes()
	s.recent = recentResults{}
	if s.cost != nil {
		s.cost.Restart()
	}
	for i := len(s.busy) - 1; i >= 0; i-- {
		if s.busy[i].state == stateHeld {
			s.free(now, s.busy[i])
		}
	}
	s.slotLimiter.lower(now, s.limits, s.server.Slots, s.busy, s.serviceTime)
	s.slotLimiter.coldSince = now
}

// status reports the load since the last status and resets the counts.
func (s *serverState) status(now time.Time) gw.DispatchedServer {
	s.advance(now)
	out := gw.DispatchedServer{
		Name: s.server.Name, Incarnation: s.incarnation, Revision: s.server.Revision, InFlight: len(s.busy),
		Answers: s.answers, Failures: s.failures,
		Leaving: s.saysLeaving(), PauseMilliseconds: s.pauseLeft(now).Milliseconds(),
		LimitPerSecond: s.serverLimit.perSecond,
	}
	s.rates.report(now, &out)
	s.answers, s.failures = 0, 0
	out.Arrivals, out.Positions = s.arrivals.take()
	out.MeanMilliseconds = float64(s.serviceTimes.estimate(now).Mean.Microseconds()) / 1000
	return out
}

// oldest returns the age of the oldest request that is still running.
func (s *serverState) oldest(now time.Time) time.Duration {
	var age time.Duration
	for _, r := range s.busy {
		age = max(age, now.Sub(r.started))
	}
	return age
}

// recentResults counts successes and failures with exponential decay.
type recentResults struct {
	good, bad float64
	at        time.Time
}

// remaining returns the share of the counts that is left now, with the given time constant.
func (r *recentResults) remaining(now time.Time, memory time.Duration) float64 {
	return math.Exp(-now.Sub(r.at).Seconds() / memory.Seconds())
}

func (r *recentResults) add(now time.Time, good bool, memory time.Duration) {
	factor := r.remaining(now, memory)
	r.good *= factor
	r.bad *= factor
	r.at = now
	if good {
		r.good++
	} else {
		r.bad++
	}
}
