package gwretry

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	gw "github.com/geraniumworks/geraniumworks"
)

func init() {
	// The seed is fixed so that every run gives the same result; -rapid.seed overrides it.
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

var reasons = []gw.Reason{
	gw.ReasonBadRequest, gw.ReasonUnknownTenant, gw.ReasonNoRoute, gw.ReasonBodyTooLarge, gw.ReasonWrongRegion,
	gw.ReasonTenantLimit, gw.ReasonOverloaded, gw.ReasonNoOwner, gw.ReasonNoServer, gw.ReasonDeadlineTooShort,
	gw.ReasonStopping, gw.ReasonNotReady, gw.ReasonConnectionLost, gw.ReasonBadAnswer,
	gw.ReasonDeadlineExceeded, gw.ReasonNoProgress, "unheard-of",
}

// Guards against a retry that may run a request twice, sends an incomplete body, repeats the failed attempt unchanged,
// or starts after the deadline.
func TestRetryIsPermitted(t *testing.T) {
	now := time.Unix(1000, 0)
	rapid.Check(t, func(t *rapid.T) {
		f := FailedAttempt{
			Refusal:    gw.Refuse(rapid.SampledFrom(reasons).Draw(t, "reason"), ""),
			HasKey:     rapid.Bool().Draw(t, "key"),
			Repeatable: rapid.Bool().Draw(t, "repeatable"),
			Replayable: rapid.Bool().Draw(t, "replayable"),
			Attempts:   rapid.IntRange(1, 4).Draw(t, "attempts"),
			Now:        now,
			Deadline:   now.Add(time.Duration(rapid.IntRange(-10, 200).Draw(t, "left")) * time.Millisecond),
			Jitter:     rapid.Float64Range(0, 1).Draw(t, "jitter"),
		}
		d := decide(f, 3)
		if d.Verdict != VerdictRetry {
			return
		}
		require.True(t, f.Repeatable || f.Refusal.Reason.Outcome() == gw.OutcomeNotRun)
		require.True(t, f.Replayable)
		require.Less(t, f.Attempts, 3)
		require.True(t, f.Deadline.After(now))
		require.True(t, d.NotBefore.Before(f.Deadline))
		require.True(t, d.ExcludeServer || d.StaleToken || !d.NotBefore.IsZero(), "the next attempt is the same as the last")
		require.False(t, d.ExcludeServer && f.HasKey && f.Refusal.Reason.Outcome() == gw.OutcomeNotRun)
	})
}

// Guards against a second request to a server that has asked for a pause, and against one that is not sent elsewhere.
func TestPauseEndsRetriesAtTheOwner(t *testing.T) {
	now := time.Unix(1000, 0)
	f := FailedAttempt{
		Refusal: gw.Refuse(gw.ReasonShed, "").WithRetryAfter(1500), HasKey: true, Repeatable: true, Replayable: true,
		Attempts: 1, Now: now, Deadline: now.Add(5 * time.Second),
	}
	require.Equal(t, VerdictFinal, decide(f, 3).Verdict)
	f.HasKey = false
	d := decide(f, 3)
	require.Equal(t, VerdictRetry, d.Verdict)
	require.True(t, d.ExcludeServer)
}

// Guards against retries beyond a limit that counts over all hosts: with the burst of a dozen hosts, 295 hosts
// together could send twice as many retries at once as a service permits.
func TestBurstIsSharedByAllHosts(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, hosts := range []int{1, 12, 295} {
		sent := 0
		for range hosts {
			policy := New(WithSharedBurst(func() int { return max(630/hosts, 1) })).Service("s")
			limits := gw.ServiceLimits{RetryPercent: 15}
			for range 100 {
				d := policy.Retry(limits, FailedAttempt{
					Refusal: gw.Refuse(gw.ReasonShed, ""), Repeatable: true, Replayable: true, Attempts: 1, Now: now,
					Deadline: now.Add(time.Second),
				})
				if d.Verdict == VerdictRetry {
					sent++
				}
			}
		}
		require.LessOrEqual(t, sent, 630, "%d hosts", hosts)
	}
}

// Guards against extra attempts beyond their share of requests, for any order of requests and extra attempts.
func TestBudgetIsAShareOfRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.IntRange(0, 100).Draw(t, "percent")
		b := newBudget(DefaultBurst)
		requests, extra := 0, 0
		for _, isRequest := range rapid.SliceOfN(rapid.Bool(), 0, 500).Draw(t, "events") {
			if isRequest {
				requests++
				b.deposit(percent, DefaultBurst)
			} else if b.take(percent, DefaultBurst) {
				extra++
			}
		}
		require.LessOrEqual(t, float64(extra), float64(requests*percent)/100+DefaultBurst+1e-6)
		if percent == 0 {
			require.Zero(t, extra)
		}
	})
}

// Guards against hedges based on too few samples, and against a quantile of outdated latencies.
func TestQuantileFollowsRecentLatencies(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newLatencyTracker(now)
	for range minSamples - 1 {
		l.observe(now, time.Second)
	}
	require.Zero(t, l.quantile(now, 95))
	now = now.Add(quantileTTL)
	l.observe(now, time.Second)
	require.InEpsilon(t, time.Second, l.quantile(now, 95), 0.02)
	now = now.Add(time.Hour)
	for i := range 1000 {
		l.observe(now, time.Duration(i)*time.Microsecond)
	}
	require.InEpsilon(t, 950*time.Microsecond, l.quantile(now, 95), 0.02)
}

// Guards against hedges for a service that permits none, and against hedges beyond the budget.
func TestHedgeNeedsPermissionAndSamples(t *testing.T) {
	s := New(WithBurst(1)).Service("claims")
	now := time.Now()
	for range minSamples {
		s.Observe(now, 5*time.Millisecond)
	}
	_, ok := s.HedgeAfter(gw.ServiceLimits{}, now)
	require.False(t, ok)
	limits := gw.ServiceLimits{HedgePercent: 10}
	at, ok := s.HedgeAfter(limits, now)
	require.True(t, ok)
	require.InEpsilon(t, 5*time.Millisecond, at.Sub(now), 0.02)
	require.True(t, s.TakeHedge(limits))
	require.False(t, s.TakeHedge(limits))
	for range 10 {
		s.AddRequest(limits)
	}
	require.True(t, s.TakeHedge(limits))
}
