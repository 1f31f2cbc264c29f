package gwdispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwcost"
)

// rejectingServer offers 33 requests a second, of which the server rejects every second one after three seconds, and
// returns how many were answered.
func rejectingServer(t *testing.T, costAware bool, load gw.ServerUtilization) (answered int) {
	t.Helper()
	const service, between = 100 * time.Millisecond, 30 * time.Millisecond
	p := newReplay()
	if costAware {
		p.state.setCosts(gwcost.NewModel())
	}
	running := map[*request]time.Time{}
	for i := range 400 {
		p.now = p.now.Add(between)
		for r, end := range running {
			if p.now.Before(end) {
				continue
			}
			delete(running, r)
			answered++
			p.state.finish(p.now, r, gw.AttemptResult{Outcome: gw.OutcomeAnswered, Status: 200, End: p.now})
		}
		r := &request{SlotRequest: gw.SlotRequest{
			Server: "s1", Position: gw.Position(i), NoWait: true, Deadline: p.now.Add(time.Second),
		}}
		if p.state.submit(p.now, r); r.state != stateRunning {
			continue
		}
		if i >= 100 && i%2 == 1 {
			p.state.finish(p.now, r, gw.AttemptResult{
				Outcome: gw.OutcomeNotRun, Status: 503, Overloaded: true, Load: &load, End: p.now,
			})
			continue
		}
		running[r] = p.now.Add(service)
	}
	return answered
}

// Load pattern: a server rejects half of its requests for some seconds although it has free slots. Guards against
// starts that are spaced because of these rejections, so that a server with free slots answers a part of what it could;
// a server that is full is spared as before.
func TestRejectionsWithFreeSlotsDoNotLowerTheSlots(t *testing.T) {
	free := gw.ServerUtilization{Running: 1, Slots: 2, WorkPercent: 100}
	full := gw.ServerUtilization{Running: 2, Waiting: 3, Slots: 2, WorkPercent: 100}
	spaced := rejectingServer(t, false, free)
	require.Greater(t, rejectingServer(t, true, free), spaced*5/4)
	require.Equal(t, spaced, rejectingServer(t, false, full), "without cost-aware nothing changes")
	require.Less(t, rejectingServer(t, true, full), rejectingServer(t, true, free))
}

// Load pattern: some servers of a service reject half of their requests while others have free slots. Guards against
// probes that get a slot of a rejecting server, and against a server that is never tried again after it has recovered.
func TestProbesAvoidRejectingServers(t *testing.T) {
	p := newReplay()
	p.state.setCosts(gwcost.NewModel())
	load := gw.ServerUtilization{Slots: 2, WorkPercent: 100}
	send := func(noWait bool, result gw.AttemptResult) *request {
		p.now = p.now.Add(100 * time.Millisecond)
		r := &request{SlotRequest: gw.SlotRequest{Server: "s1", NoWait: noWait, Deadline: p.now.Add(time.Second)}}
		if p.state.submit(p.now, r); r.state == stateRunning {
			p.now = p.now.Add(50 * time.Millisecond)
			result.End = p.now
			p.state.finish(p.now, r, result)
		}
		return r
	}
	answered := gw.AttemptResult{Outcome: gw.OutcomeAnswered, Status: 200}
	rejected := gw.AttemptResult{Outcome: gw.OutcomeNotRun, Status: 503, Overloaded: true, Load: &load}
	for range 8 {
		require.Nil(t, send(true, answered).refusal)
	}
	for range 4 {
		send(false, answered)
		send(false, rejected)
	}
	probe := send(true, answered)
	require.Equal(t, gw.ReasonOverloaded, probe.refusal.Reason)
	require.Positive(t, probe.refusal.RetryAfterMilliseconds)
	require.Nil(t, send(false, answered).refusal, "a request that finds no other server is sent")
	p.now = p.now.Add(3 * rejectionMemory)
	require.Nil(t, send(true, answered).refusal, "the server is tried again")
}
