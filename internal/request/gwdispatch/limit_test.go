package gwdispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// limitReplay sends a steady load to a server that names a limit for a while. The server's dispatcher changes in the
// middle of it.
type limitReplay struct {
	now    time.Time
	state  *serverState
	starts []time.Time
}

const (
	// The server names its limit, of limitRate requests a second, from limitFrom to limitUntil.
	limitRate                                  = 4.0
	limitFrom, limitHandover, limitUntil       = 2000, 8000, 14000
	limitEnd, limitStep, limitBetween          = 22000, 10, 80
	limitWork, limitDeadline, limitLease int64 = 100, 1200, 60_000
)

func (p *limitReplay) lease(limit float64, sequence uint64) {
	p.state = newServerState("s1", gw.ServiceLimits{QueueLength: 32, QueueMilliseconds: limitDeadline})
	p.state.lease(p.now, gw.DispatchServer{
		Name: "s1", Incarnation: "A", Slots: 4, LimitPerSecond: limit,
	}, p.now.Add(time.Duration(limitLease)*time.Millisecond), gw.ItemVersion{Epoch: 1, Sequence: sequence})
}

// finish ends the requests that have run long enough, and counts those that have started since.
func (p *limitReplay) finish(named bool, of *serverState) {
	for i := len(of.busy) - 1; i >= 0; i-- {
		r := of.busy[i]
		if p.now.Sub(r.started) < time.Duration(limitWork)*time.Millisecond {
			continue
		}
		p.starts = append(p.starts, r.started)
		result := gw.AttemptResult{
			Outcome: gw.OutcomeAnswered, Status: 200, Incarnation: "A", FirstByte: p.now, End: p.now,
		}
		if named {
			result.LimitPerSecond = limitRate
		}
		of.finish(p.now, r, result)
	}
}

// Load pattern: three times as many requests as a server in need says that it takes. Guards against a limit that is not
// kept, is filled anew by the next dispatcher of the server, or outlasts the need.
func TestLimitOfServerIsKept(t *testing.T) {
	p := &limitReplay{now: epochStart}
	p.lease(0, 1)
	var former *serverState
	for ms := int64(0); ms < limitEnd; ms += limitStep {
		p.now = at(ms)
		if ms == limitHandover {
			former = p.state
			status := former.status(p.now)
			former.unlist(p.now)
			p.lease(status.LimitPerSecond, 2)
		}
		named := ms >= limitFrom && ms < limitUntil
		if former != nil {
			p.finish(named, former)
		}
		p.finish(named, p.state)
		p.state.advance(p.now)
		if ms%limitBetween == 0 {
			p.state.submit(p.now, &request{SlotRequest: gw.SlotRequest{
				Deadline: p.now.Add(time.Duration(limitDeadline) * time.Millisecond),
			}})
		}
	}
	startsIn := func(fromMS, untilMS int64) int {
		n := 0
		for _, s := range p.starts {
			if !s.Before(at(fromMS)) && s.Before(at(untilMS)) {
				n++
			}
		}
		return n
	}
	for from := int64(limitFrom + 500); from+4000 <= limitUntil; from += 100 {
		require.LessOrEqual(t, startsIn(from, from+4000), int(1.5*4*limitRate)+5, "4 s from %d ms", from)
		require.GreaterOrEqual(t, startsIn(from, from+4000), int(0.75*4*limitRate), "4 s from %d ms", from)
	}
	require.GreaterOrEqual(t, startsIn(17_000, 21_000), 40, "the server no longer names a limit")
}

// Guards against a request that waits for a limited server although its turn comes after its deadline.
func TestRequestBeyondLimitIsRefusedAtOnce(t *testing.T) {
	p := &limitReplay{now: epochStart}
	p.lease(limitRate, 1)
	var last *request
	for range 8 {
		last = &request{SlotRequest: gw.SlotRequest{Deadline: at(limitDeadline)}}
		p.state.submit(p.now, last)
	}
	require.Equal(t, stateRefused, last.state)
	require.Equal(t, gw.ReasonDeadlineTooShort, last.refusal.Reason)
}
