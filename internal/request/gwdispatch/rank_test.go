package gwdispatch

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// replay runs requests that arrive at a rate through a server with two slots, in virtual time, and counts the answers
// within the objective, the later ones, the refusals, and the requests that were held until their deadline in vain.
type replay struct {
	state *serverState
	now   time.Time
	ends  endings
	rng   *rand.Rand

	inTime, late, refused, held int
	refusedAfter                time.Duration
}

type ending struct {
	at time.Time
	r  *request
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

const (
	replayWork      = 60 * time.Millisecond
	replayObjective = 300 * time.Millisecond
	replayDeadline  = 1200 * time.Millisecond
)

func newReplay() *replay {
	p := &replay{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 2))}
	p.state = newServerState("s1", gw.ServiceLimits{
		QueueLength: 32, QueueMilliseconds: replayDeadline.Milliseconds(), ColdPercent: 100,
	})
	p.state.lease(p.now, gw.DispatchServer{Name: "s1", Slots: 2}, p.now.Add(time.Hour), gw.ItemVersion{Epoch: 1})
	return p
}

// started schedules the end of a request that has a slot, and counts those that were refused.
func (p *replay) started(r *request) {
	switch r.state {
	case stateRunning:
		work := time.Duration((0.5 + p.rng.Float64()) * float64(replayWork))
		heap.Push(&p.ends, ending{at: p.now.Add(work), r: r})
	case stateRefused:
		p.refused++
		p.refusedAfter += p.now.Sub(r.arrived)
		if p.now.Sub(r.arrived) > replayDeadline*3/4 {
			p.held++
		}
	default:
	}
}

func (p *replay) decided() {
	for _, r := range p.state.decided {
		p.started(r)
	}
	p.state.decided = p.state.decided[:0]
}

// until ends requests up to a time.
func (p *replay) until(t time.Time) {
	for len(p.ends) > 0 && !p.ends[0].at.After(t) {
		e := heap.Pop(&p.ends).(ending)
		p.now = e.at
		started := e.r.arrived
		switch took := p.now.Sub(started); {
		case took <= replayObjective:
			p.inTime++
		case took <= replayDeadline:
			p.late++
		}
		p.state.finish(p.now, e.r, gw.AttemptResult{Outcome: gw.OutcomeAnswered, Status: 200, End: p.now})
		p.decided()
	}
	p.now = t
	p.state.advance(p.now)
	p.decided()
}

// run sends requests at a rate, spread at random, for a time, and then waits for the rest.
func (p *replay) run(perSecond float64, length time.Duration, objective bool) {
	for end := p.now.Add(length); p.now.Before(end); {
		p.until(p.now.Add(time.Duration(p.rng.ExpFloat64() / perSecond * float64(time.Second))))
		r := &request{SlotRequest: gw.SlotRequest{Server: "s1", Deadline: p.now.Add(replayDeadline)}}
		if objective {
			r.Objective = p.now.Add(replayObjective)
		}
		p.state.submit(p.now, r)
		if r.state != stateWaiting {
			p.started(r)
		}
	}
	p.until(p.now.Add(2 * replayDeadline))
}

// Load pattern: twice what the server bears, for ten seconds. Guards against a queue in which every request waits
// so long that all answers are late, and against requests that are held to their end in vain.
func TestTwiceTheCapacity(t *testing.T) {
	bears := 2 * time.Second.Seconds() / replayWork.Seconds()
	ranked, naive := newReplay(), newReplay()
	ranked.run(2*bears, 10*time.Second, true)
	naive.run(2*bears, 10*time.Second, false)
	answered := float64(ranked.inTime + ranked.late)
	require.InEpsilon(t, 10*bears, answered, 0.1, "the slots stay in use")
	require.Greater(t, float64(ranked.inTime), 0.7*answered, "most answers are in time")
	require.Greater(t, ranked.inTime, 3*naive.inTime, "first in, first out answers late")
	require.Less(t, ranked.held, ranked.refused/20, "who cannot be served is told early")
	require.Less(t, ranked.refusedAfter/time.Duration(ranked.refused), replayObjective)
}

// Load pattern: a burst of three times the capacity for half a second, then half of it. Guards against refusals of
// requests that could have been answered late, when the queue drains.
func TestShortBurst(t *testing.T) {
	bears := 2 * time.Second.Seconds() / replayWork.Seconds()
	p := newReplay()
	p.run(bears/2, 2*time.Second, true)
	p.run(3*bears, 500*time.Millisecond, true)
	p.run(bears/2, 2*time.Second, true)
	total := p.inTime + p.late + p.refused
	require.Less(t, p.refused, total/4)
	require.Positive(t, p.late)
}

// Guards against a request that is served before a more urgent one, and against one that asks for a free slot and
// waits.
func TestOrderAndNoWait(t *testing.T) {
	p := newReplay()
	submit := func(r gw.SlotRequest) *request {
		r.Server = "s1"
		if r.Deadline.IsZero() {
			r.Deadline = p.now.Add(replayDeadline)
		}
		req := &request{SlotRequest: r}
		p.state.submit(p.now, req)
		return req
	}
	first, second := submit(gw.SlotRequest{}), submit(gw.SlotRequest{})
	require.Equal(t, stateRunning, second.state)
	low := submit(gw.SlotRequest{Priority: 2, Objective: p.now.Add(time.Second)})
	high := submit(gw.SlotRequest{Priority: 1, Objective: p.now.Add(time.Second)})
	probe := submit(gw.SlotRequest{NoWait: true})
	require.Equal(t, gw.ReasonOverloaded, probe.refusal.Reason)
	require.Positive(t, probe.refusal.RetryAfterMilliseconds)
	p.state.finish(p.now, first, gw.AttemptResult{Outcome: gw.OutcomeAnswered, Status: 200, End: p.now})
	require.Equal(t, stateRunning, high.state)
	require.Equal(t, stateWaiting, low.state)
}

// Load pattern: requests queue for a server that comes back cold. Guards against more requests in a second than a cold
// server bears, whatever its slots would permit.
func TestColdServerIsPaced(t *testing.T) {
	strict := newReplay()
	strict.state.pace.set(strict.now, gw.DispatchServer{ColdUntil: 60_000, ColdRequestsPerSecond: 5})
	strict.run(30, 10*time.Second, true)
	require.LessOrEqual(t, strict.inTime+strict.late, 5*12)
	require.Positive(t, strict.inTime)
}
