package gwdispatch

import (
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// A server that has too much to do may ask this host for no requests for a while, or name how many it takes a second.
// One that is about to end says in its answers that it leaves. All of this comes with the answers of requests, sooner
// than through the host list.

// noteAnswer applies what the answer to a request says about further requests.
func (s *serverState) noteAnswer(now time.Time, r *request, result gw.AttemptResult) {
	if r.incarnation != s.incarnation {
		// The answer of an earlier run says nothing about the present one.
		return
	}
	if result.Leaving {
		s.leavingIncarnation = r.incarnation
	}
	s.pausedUntil = latest(s.pausedUntil, result.PausedUntil)
	s.serverLimit.note(now, r.started, result)
	s.sendEnd = s.endOfRight()
}

// leaving reports whether the server leaves, according to its controller or to the server itself.
func (s *serverState) leaving() bool {
	return s.server.Leaving || s.saysLeaving()
}

// saysLeaving reports whether the present run of the server has said in an answer that it leaves.
func (s *serverState) saysLeaving() bool {
	return s.leavingIncarnation != "" && s.leavingIncarnation == s.incarnation
}

// pauseLeft returns for how much longer the server wants no requests.
func (s *serverState) pauseLeft(now time.Time) time.Duration {
	return max(s.pausedUntil.Sub(now), 0)
}

// pausedBeyond reports whether the server wants no requests for so long that this one cannot be answered after it.
func (s *serverState) pausedBeyond(now time.Time, r *request, est timeSummary) bool {
	return now.Before(s.pausedUntil) && s.pausedUntil.Add(est.P50).After(r.Deadline)
}

// refusePaused refuses the waiting requests that cannot be answered after the pause that the server has asked for.
func (s *serverState) refusePaused(now time.Time, est timeSummary) {
	if !now.Before(s.pausedUntil) {
		return
	}
	s.queue.filter(func(r *request) *gw.Refusal {
		if !s.pausedBeyond(now, r, est) {
			return nil
		}
		return s.pauseRefusal(now, r, est)
	}, s.refuse)
}

func (s *serverState) pauseRefusal(now time.Time, r *request, est timeSummary) *gw.Refusal {
	const detail = "the server has asked for a pause"
	if s.cost != nil {
		return s.busyByCost(now, r, rulePause, detail)
	}
	return s.busyRefusal(now, est, detail)
}
