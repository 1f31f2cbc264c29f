package gwretry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwretry"
)

// Load pattern: the owners of many keys change at once, and dispatchers refuse what they no longer send. Guards against
// requests that are refused because the budget is used up by attempts that no server got, and against endless ones.
func TestUnsentAttemptsTakeNoBudget(t *testing.T) {
	s := gwretry.New(gwretry.WithBurst(1)).Service("lookups")
	limits := gw.ServiceLimits{RetryPercent: 10}
	now := time.Now()
	moved := gwretry.Failed{
		Refusal: gw.Refuse(gw.ReasonNoServer, "released").WithUnsent(), HasKey: true, Replayable: true,
		Now: now, Deadline: now.Add(time.Second), MaxAttempts: 2,
	}
	for range 20 {
		require.Equal(t, gwretry.VerdictRetry, s.Retry(limits, moved).Verdict)
	}
	sent := moved
	sent.Refusal = gw.Refuse(gw.ReasonNoServer, "another server has the address")
	require.Equal(t, gwretry.VerdictRetry, s.Retry(limits, sent).Verdict, "the burst")
	require.Equal(t, gwretry.VerdictBudget, s.Retry(limits, sent).Verdict)
	require.Equal(t, gwretry.VerdictRetry, s.Retry(limits, moved).Verdict)
	moved.Unsent = 6
	require.Equal(t, gwretry.VerdictAttempts, s.Retry(limits, moved).Verdict)
}
