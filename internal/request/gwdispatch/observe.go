package gwdispatch

import (
	"math"
	"net/http"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// usualOver is over how many answers the usual service time is smoothed. For exponential times its error is then
// about 9%.
const usualOver = 64

// observe updates counts, times and level from the end of a request.
func (s *serverState) observe(now time.Time, r *request, result gw.AttemptResult) {
	if seen := result.Incarnation; seen != "" && seen != s.incarnation && seen != r.incarnation {
		s.restarted(now, seen)
	}
	took := now.Sub(r.started)
	if result.FirstByte.After(r.started) {
		// The rest of the answer may be slow because of the caller.
		took = result.FirstByte.Sub(r.started)
	}
	good := result.Outcome == gw.OutcomeAnswered && result.Status < http.StatusInternalServerError
	current := r.incarnation == s.incarnation
	switch {
	case result.Overloaded:
		s.level.cut(now, s.limits, s.server.Slots, s.busy, s.usual)
	case good && current && !r.started.Before(s.level.cutAt):
		// What started before the level was cut does not show that the server bears the level it has now.
		s.level.rise(now, s.limits, s.server.Slots)
	}
	if good {
		s.answers++
		if s.usual == 0 {
			s.usual = took
		}
		s.usual += (took - s.usual) / usualOver
	} else if !result.Overloaded {
		s.failures++
	}
	if !current {
		return
	}
	// A refusal by the server itself, for example of a stale token, says nothing about its health.
	if refused := result.Outcome == gw.OutcomeNotRun && result.Status != 0; !refused && !result.Overloaded {
		s.recent.add(now, good)
	}
	// A request that was given up has taken at least this long; it says nothing if that is less than usual.
	if good || result.Outcome == gw.OutcomeUnknown && took > s.times.estimate(now).P50 {
		s.times.record(now, took)
	}
}

// restarted handles another incarnation of the server: it is cold, and what the former one ran is gone.
func (s *serverState) restarted(now time.Time, seen gw.Incarnation) {
	s.incarnation = seen
	s.times = newTimes()
	s.recent = recentResults{}
	for i := len(s.busy) - 1; i >= 0; i-- {
		if s.busy[i].state == stateHeld {
			s.free(now, s.busy[i])
		}
	}
	s.level.cut(now, s.limits, s.server.Slots, s.busy, s.usual)
	s.level.startedAt = now
}

// status reports what was seen since the last status.
func (s *serverState) status(now time.Time) gw.DispatchedServer {
	s.advance(now)
	out := gw.DispatchedServer{
		Name: s.server.Name, Incarnation: s.incarnation, Revision: s.server.Revision, InFlight: len(s.busy),
		Answers: s.answers, Failures: s.failures,
	}
	s.rates.report(now, &out)
	s.answers, s.failures = 0, 0
	out.Arrivals, out.Positions = s.arrivals.take()
	out.MeanMilliseconds = float64(s.times.estimate(now).Mean.Microseconds()) / 1000
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

// recentResults is the smoothed share of failures among the last requests, with a time constant of rateWindow.
type recentResults struct {
	good, bad float64
	at        time.Time
}

func (r *recentResults) add(now time.Time, good bool) {
	factor := math.Exp(-now.Sub(r.at).Seconds() / rateWindow.Seconds())
	r.good *= factor
	r.bad *= factor
	r.at = now
	if good {
		r.good++
	} else {
		r.bad++
	}
}
