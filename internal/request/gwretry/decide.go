package gwretry

import (
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// FailedAttempt describes the refusal of the last attempt of a request, and the state of the request.
type FailedAttempt struct {
	Refusal *gw.Refusal
	// HasKey is true when only the owner of a key may run the request.
	HasKey bool
	// Repeatable is true when the request may run more than once.
	Repeatable bool
	// Replayable is true when the body can be sent again from its first byte.
	Replayable bool
	// Attempts counts the attempts so far.
	Attempts int
	// MaxAttempts is the limit of the route, zero when only the limit of the policy applies.
	MaxAttempts int
	Now         time.Time
	Deadline    time.Time
	// Jitter is a random number from 0 to 1.
	Jitter float64
}

// Verdict says whether a refused attempt is retried, and if not, why.
type Verdict string

// Verdicts.
const (
	VerdictRetry             Verdict = "retry"
	VerdictFinal             Verdict = "final"
	VerdictNotRepeatable     Verdict = "not-repeatable"
	VerdictBodyNotReplayable Verdict = "body-gone"
	VerdictAttempts          Verdict = "attempts"
	VerdictDeadline          Verdict = "deadline"
	VerdictBudget            Verdict = "budget"
)

// Decision is the verdict on a refused attempt, with the conditions of the next one.
type Decision struct {
	Verdict Verdict
	// ExcludeServer is set when the next attempt must use another server, StaleToken when the fencing token of the
	// target must not be used again.
	ExcludeServer bool
	StaleToken    bool
	// NotBefore is the earliest start of the next attempt, zero when it may start at once.
	NotBefore time.Time
}

// minTimeLeft is the least time left for another attempt. With less it could not reach a server and return.
const minTimeLeft = 5 * time.Millisecond

// refreshDelay is how long the first retry waits for a newer routing table when the server is the right one but its
// dispatcher did not accept the request. It doubles with each attempt.
const refreshDelay = 20 * time.Millisecond

// shedDelay is how long a retry at the same server waits after the server has shed the request.
const shedDelay = 5 * time.Millisecond

// decide returns the decision after a refused attempt without regard to the budget.
func decide(f FailedAttempt, maxAttempts int) Decision {
	d := planRetry(f)
	if f.MaxAttempts > 0 {
		maxAttempts = f.MaxAttempts
	}
	switch {
	case d.Verdict != VerdictRetry:
	case f.Refusal.Reason.Outcome() != gw.OutcomeNotRun && !f.Repeatable:
		d.Verdict = VerdictNotRepeatable
	case !f.Replayable:
		d.Verdict = VerdictBodyNotReplayable
	case f.Attempts >= maxAttempts:
		d.Verdict = VerdictAttempts
	case f.Deadline.Sub(later(f.Now, d.NotBefore)) < minTimeLeft:
		d.Verdict = VerdictDeadline
	}
	return d
}

// planRetry returns how another attempt has to differ from the last one, or a final verdict when it would fail for the
// same reason.
func planRetry(f FailedAttempt) Decision {
	another := Decision{Verdict: VerdictRetry, ExcludeServer: true}
	switch f.Refusal.Reason {
	case gw.ReasonConnectionLost, gw.ReasonBadAnswer, gw.ReasonNoProgress:
		return another
	case gw.ReasonOverloaded:
		if f.HasKey {
			// Only the owner of the key may run the request, and another attempt would add to its load.
			return Decision{Verdict: VerdictFinal}
		}
		return another
	case gw.ReasonShed:
		if f.HasKey && f.Refusal.RetryAfterMilliseconds > 0 {
			// The server wants no requests for so long.
			return Decision{Verdict: VerdictFinal}
		}
		if f.HasKey {
			// A server that sheds a part of its requests although it has capacity may accept the next one.
			return Decision{Verdict: VerdictRetry, NotBefore: f.Now.Add(shedDelay)}
		}
		return another
	case gw.ReasonNoOwner:
		if f.HasKey {
			return Decision{Verdict: VerdictRetry, StaleToken: true}
		}
		return another
	case gw.ReasonNoServer, gw.ReasonStopping, gw.ReasonNotReady:
		if f.HasKey {
			// The owner is unchanged, but its dispatcher may be another host by now.
			wait := refreshDelay << min(max(f.Attempts-1, 0), 5)
			wait += time.Duration(f.Jitter * float64(wait))
			return Decision{Verdict: VerdictRetry, NotBefore: f.Now.Add(wait)}
		}
		return another
	default:
		return Decision{Verdict: VerdictFinal}
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
