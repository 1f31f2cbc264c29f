package gwdispatch

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// replay simulates a server with two slots in virtual time, with requests that arrive at a given rate. It counts the
// answers within the objective, the later ones, the refusals, and the refusals after most of the deadline had passed.
type replay struct {
	state *serverState
	now   time.Time
	ends  endings
	rng   *rand.Rand

	onTime, late, refused, refusedLate int
	refusedAfter                       time.Duration
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

// started schedules the end of a request that has a slot, and counts a refused one.
func (p *replay) started(r *request) {
	switch r.state {
	case stateRunning:
		work := time.Duration((0.5 + p.rng.Float64()) * float64(replayWork))
		heap.Push(&p.ends, ending{at: p.now.Add(work), r: r})
	case stateRefused:
		p.refused++
		p.refusedAfter += p.now.Sub(r.arrived)
		if p.now.Sub(r.arrived) > replayDeadline*3/4 {
			p.refusedLate++
		}
	default:
	}
}

func (p *replay) handleDecided() {
	for _, r := range p.state.decided {
		p.started(r)
	}
	p.state.decided = p.state.decided[:0]
}

// until advances the virtual time and ends the requests that are due.
func (p *replay) until(t time.Time) {
	for len(p.ends) > 0 && !p.ends[0].at.After(t) {
		e := heap.Pop(&p.ends).(ending)
		p.now = e.at
		started := e.r.arrived
		switch took := p.now.Sub(started); {
		case took <= replayObjective:
			p.onTime++
		case took <= replayDeadline:
			p.late++
		}
		p.state.finish(p.now, e.r, gw.AttemptResult{Outcome: gw.OutcomeAnswered, Status: 200, End: p.now})
		p.handleDecided()
	}
	p.now = t
	p.state.advance(p.now)
	p.handleDecided()
}

// run sends requests at random times with the given rate and length, and then waits until all have ended.
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

// Load pattern: twice the capacity of the server for ten seconds. Guards against a queue in which every request waits
// so long that all answers are late, and against requests that wait until their deadline in vain.
func TestTwiceTheCapacity(t *testing.T) {
	capacity := 2 * time.Second.Seconds() / replayWork.Seconds()
	ranked, fifo := newReplay(), newReplay()
	ranked.run(2*capacity, 10*time.Second, true)
	fifo.run(2*capacity, 10*time.Second, false)
	answered := float64(ranked.onTime + ranked.late)
	require.InEpsilon(t, 10*capacity, answered, 0.1, "the slots stay in use")
	require.Greater(t, float64(ranked.onTime), 0.7*answered, "most answers are in time")
	require.Greater(t, ranked.onTime, 3*fifo.onTime, "first in, first out answers late")
	require.Less(t, ranked.refusedLate, ranked.refused/20, "requests that cannot be served are refused early")
	require.Less(t, ranked.refusedAfter/time.Duration(ranked.refused), replayObjective)
}

// Load pattern: a burst of three times the capacity for half a second, then half of it. Guards against refusals of
// requests that could have been answered late, after the burst.
func TestShortBurst(t *testing.T) {
	capacity := 2 * time.Second.Seconds() / replayWork.Seconds()
	p := newReplay()
	p.run(capacity/2, 2*time.Second, true)
	p.run(3*capacity, 500*time.Millisecond, true)
	p.run(capacity/2, 2*time.Second, true)
	total := p.onTime + p.late + p.refused
	require.Less(t, p.refused, total/4)
	require.Positive(t, p.late)
}

// Guards against a request that is served before a more urgent one, and against a NoWait request that waits.
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
	noWait := submit(gw.SlotRequest{NoWait: true})
	require.Equal(t, gw.ReasonOverloaded, noWait.refusal.Reason)
	require.Positive(t, noWait.refusal.RetryAfterMilliseconds)
	p.state.finish(p.now, first, gw.AttemptResult{Outcome: gw.OutcomeAnswered, Status: 200, End: p.now})
	require.Equal(t, stateRunning, high.state)
	require.Equal(t, stateWaiting, low.state)
}

// Load pattern: requests queue for a server that comes back cold. Guards against more requests per second than the cold
// rate of the server, whatever its slots would permit.
func TestColdServerIsPaced(t *testing.T) {
	cold := newReplay()
	cold.state.rateLimiter.set(cold.now, gw.DispatchServer{ColdUntil: 60_000, ColdRequestsPerSecond: 5})
	cold.run(30, 10*time.Second, true)
	require.LessOrEqual(t, cold.onTime+cold.late, 5*12)
	require.Positive(t, cold.onTime)
}
