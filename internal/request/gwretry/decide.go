package gwretry

import (
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// Failed describes a request whose last attempt was refused.
type Failed struct {
	Refusal *gw.Refusal
	// HasKey is true when only the owner of a key may run the request.
	HasKey bool
	// Repeatable is true when the request may run more than once.
	Repeatable bool
	// Replayable is true when the body can be sent from its first byte.
	Replayable bool
	// Attempts counts the attempts so far.
	Attempts int
	// MaxAttempts is the route's bound, zero when the policy's bound is all there is.
	MaxAttempts int
	Now         time.Time
	Deadline    time.Time
	// Jitter is a random number from 0 to 1.
	Jitter float64
}

// Verdict is what to do after a refused attempt.
type Verdict string

// Verdicts.
const (
	VerdictRetry         Verdict = "retry"
	VerdictFinal         Verdict = "final"
	VerdictNotRepeatable Verdict = "not-repeatable"
	VerdictBodyGone      Verdict = "body-gone"
	VerdictAttempts      Verdict = "attempts"
	VerdictDeadline      Verdict = "deadline"
	VerdictBudget        Verdict = "budget"
)

// Decision is what to do after a refused attempt.
type Decision struct {
	Verdict Verdict
	// Exclude is set when the next attempt must use another server, and Stale when the token of the target
	// must not be used again.
	Exclude bool
	Stale   bool
	// NotBefore is when the next attempt may start, zero for at once.
	NotBefore time.Time
}

// minLeft is the time below which another attempt is pointless: it cannot reach a server and return.
const minLeft = 5 * time.Millisecond

// refreshWait is how long the first retry waits for a newer table when the server itself is right but its
// dispatcher did not take the request. It doubles with each attempt.
const refreshWait = 20 * time.Millisecond

// shedWait is how long a retry at a server that rejected a request waits.
const shedWait = 5 * time.Millisecond

// decide returns what may be done after a refused attempt, the budget aside.
func decide(f Failed, maxAttempts int) Decision {
	d := plan(f)
	if f.MaxAttempts > 0 {
		maxAttempts = f.MaxAttempts
	}
	switch {
	case d.Verdict != VerdictRetry:
	case f.Refusal.Reason.Outcome() != gw.OutcomeNotRun && !f.Repeatable:
		d.Verdict = VerdictNotRepeatable
	case !f.Replayable:
		d.Verdict = VerdictBodyGone
	case f.Attempts >= maxAttempts:
		d.Verdict = VerdictAttempts
	case f.Deadline.Sub(later(f.Now, d.NotBefore)) < minLeft:
		d.Verdict = VerdictDeadline
	}
	return d
}

// plan returns how another attempt would differ from the last one, or a final verdict when it would fail for
// the same reason.
func plan(f Failed) Decision {
	another := Decision{Verdict: VerdictRetry, Exclude: true}
	switch f.Refusal.Reason {
	case gw.ReasonConnectionLost, gw.ReasonBadAnswer, gw.ReasonNoProgress:
		return another
	case gw.ReasonOverloaded:
		if f.HasKey {
			// Only the owner may run it, and another attempt adds to the owner's load.
			return Decision{Verdict: VerdictFinal}
		}
		return another
	case gw.ReasonShed:
		if f.HasKey {
			// A server that rejects a part of its requests although it has room may take the next one.
			return Decision{Verdict: VerdictRetry, NotBefore: f.Now.Add(shedWait)}
		}
		return another
	case gw.ReasonNoOwner:
		if f.HasKey {
			return Decision{Verdict: VerdictRetry, Stale: true}
		}
		return another
	case gw.ReasonNoServer, gw.ReasonStopping, gw.ReasonNotReady:
		if f.HasKey {
			// The owner stays the owner; its dispatcher may be another host by now.
			wait := refreshWait << min(max(f.Attempts-1, 0), 5)
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
