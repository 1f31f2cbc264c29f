package gwdispatch

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwcost"
)

const (
	ms          = time.Millisecond
	loadServers = 10
	loadSlots   = 2
)

// loadRoute is a part of a load; work is the median of its requests.
type loadRoute struct {
	class                     gw.CostClass
	share                     float64
	work, objective, deadline time.Duration
	priority                  int
}

// load is offered to servers with keys, so that a request cannot go to another server. Rate is a share of the capacity.
type load struct {
	routes        []loadRoute
	sigma, costly float64
	length        time.Duration
	rate          func(at time.Duration) float64
	// slow is how many times longer work takes, zero at a server that is lost.
	slow func(at time.Duration, server int) float64
}

// loadResult counts requests, and the share of the time in which slots were in use.
type loadResult struct {
	requests, onTime, late, refused, bound int
	// answers503 counts the refusals, refusedAgain those of callers that had returned.
	answers503, refusedAgain int
	inUse                    float64
}

type loadEvent struct {
	at     time.Duration
	req    *loadRequest
	ending *request
}

type loadRequest struct {
	loadRoute
	arrived time.Duration
	work    time.Duration
	server  int
	retried bool
}

// draw returns the requests of the load in order of arrival.
func (l load) draw(rng *rand.Rand) (out []*loadRequest) {
	mean := 0.0
	for _, r := range l.routes {
		mean += r.share * r.work.Seconds() * math.Exp(l.sigma*l.sigma/2) * (1 + 5*l.costly)
	}
	capacity := loadServers * loadSlots / mean
	for at := time.Duration(0); at < l.length; {
		at += time.Duration(rng.ExpFloat64() / (capacity * l.rate(at)) * float64(time.Second))
		pick, route := rng.Float64(), 0
		for pick -= l.routes[0].share; pick > 0 && route < len(l.routes)-1; pick -= l.routes[route].share {
			route++
		}
		r := &loadRequest{loadRoute: l.routes[route], arrived: at, server: rng.IntN(loadServers)}
		work := math.Exp(l.sigma * rng.NormFloat64())
		if rng.Float64() < l.costly {
			work *= 5 + 2*rng.Float64()
		}
		r.work = time.Duration(work * float64(r.loadRoute.work))
		out = append(out, r)
	}
	return out
}

// bound returns how many requests can be on time at most: in each second and in total, the cheapest ones that fit into
// the time of all slots.
func (l load) bound(requests []*loadRequest) int {
	slots := func(from, to time.Duration) (sum time.Duration) {
		for at := from; at < to; at += 100 * ms {
			for server := range loadServers {
				if slow := l.slow(at, server); slow > 0 {
					sum += time.Duration(loadSlots * float64(100*ms) / slow)
				}
			}
		}
		return sum
	}
	fit := func(requests []*loadRequest, available time.Duration) (n int) {
		works := make([]time.Duration, 0, len(requests))
		for _, r := range requests {
			works = append(works, r.work)
		}
		slices.Sort(works)
		for n < len(works) && works[n] <= available {
			available -= works[n]
			n++
		}
		return n
	}
	objective := time.Duration(0)
	for _, r := range l.routes {
		objective = max(objective, r.objective)
	}
	each := 0
	for from := time.Duration(0); from < l.length+time.Second; from += time.Second {
		within := slices.DeleteFunc(slices.Clone(requests), func(r *loadRequest) bool {
			return r.arrived < from || r.arrived >= from+time.Second
		})
		each += fit(within, slots(from, from+time.Second+objective))
	}
	return min(each, fit(requests, slots(0, l.length+objective)))
}

// replayLoad offers the load to ten servers in virtual time. A refused caller retries once, if the delay asked of it
// is at most a third of the time that it has left.
func replayLoad(l load, costAware bool) loadResult {
	requests := l.draw(rand.New(rand.NewPCG(3, 4)))
	out := loadResult{requests: len(requests), bound: l.bound(requests)}
	origin, model := time.Unix(1000, 0), gwcost.NewModel()
	var events []loadEvent
	for _, r := range requests {
		events = append(events, loadEvent{at: r.arrived, req: r})
	}
	push := func(e loadEvent) {
		i, _ := slices.BinarySearchFunc(events, e, func(a, b loadEvent) int { return cmp.Compare(a.at, b.at) })
		events = slices.Insert(events, i, e)
	}
	states := make([]*serverState, loadServers)
	for i := range states {
		states[i] = newServerState("s", gw.ServiceLimits{QueueLength: 32, QueueMilliseconds: 5000, ColdPercent: 100})
		if costAware {
			states[i].setCosts(model)
		}
		states[i].lease(origin, gw.DispatchServer{Slots: loadSlots}, origin.Add(time.Hour), gw.ItemVersion{Epoch: 1})
	}
	sources := map[*request]*loadRequest{}
	var busy time.Duration
	refused := func(at time.Duration, r *loadRequest, ref *gw.Refusal) {
		out.answers503++
		if r.retried {
			out.refusedAgain++
		}
		delay := time.Duration(ref.RetryAfterMilliseconds) * ms
		if delay == 0 {
			delay = time.Duration(ref.RetryAfterSeconds) * time.Second
		}
		if r.retried || delay == 0 || delay > (r.arrived+r.deadline-at)/3 {
			out.refused++
			return
		}
		r.retried = true
		push(loadEvent{at: at + delay, req: r})
	}
	decide := func(at time.Duration, r *request) {
		source := sources[r]
		switch r.state {
		case stateRunning:
			took := time.Duration(float64(source.work) * max(l.slow(at, source.server), 1))
			busy += max(min(at+took, l.length)-at, 0)
			push(loadEvent{at: at + took, req: source, ending: r})
		case stateRefused:
			delete(sources, r)
			refused(at, source, r.refusal)
		default:
		}
	}
	for len(events) > 0 {
		e := events[0]
		events = events[1:]
		if e.ending == nil && l.slow(e.at, e.req.server) == 0 {
			// Another server has taken over the keys of the lost one.
			e.req.server = (e.req.server + 1) % loadServers
		}
		now, state := origin.Add(e.at), states[e.req.server]
		state.advance(now)
		switch {
		case e.ending != nil:
			switch took := e.at - e.req.arrived; {
			case took <= e.req.objective:
				out.onTime++
			case took <= e.req.deadline:
				out.late++
			}
			percent := 100 * l.slow(e.at, e.req.server)
			state.finish(now, e.ending, gw.AttemptResult{
				Outcome: gw.OutcomeAnswered, Status: 200, End: now, Load: &gw.ServerUtilization{WorkPercent: percent},
			})
		default:
			r := &request{SlotRequest: gw.SlotRequest{
				Class: e.req.class, Priority: e.req.priority, Deadline: origin.Add(e.req.arrived + e.req.deadline),
				Objective: origin.Add(e.req.arrived + e.req.objective),
			}}
			sources[r] = e.req
			if state.submit(now, r); r.state != stateWaiting {
				decide(e.at, r)
			}
		}
		for _, r := range state.decided {
			decide(e.at, r)
		}
		state.decided = state.decided[:0]
	}
	out.inUse = busy.Seconds() / (loadServers * loadSlots * l.length.Seconds())
	return out
}

func steady(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share }
}

func usual(time.Duration, int) float64 { return 1 }

// Load patterns of docs/hard-load.md, part 4. Guards against late answers under overload, against slots that are idle
// because the estimates are too cautious, and against refusals below the capacity.
func TestCostAwareLoads(t *testing.T) {
	lookups := loadRoute{class: "lookups", share: 1, work: 160 * ms, objective: time.Second, deadline: 4 * time.Second}
	two := []loadRoute{
		{class: "cheap", share: 0.75, work: 100 * ms, objective: 600 * ms, deadline: 2 * time.Second, priority: 2},
		{class: "costly", share: 0.25, work: 410 * ms, objective: 1500 * ms, deadline: 4 * time.Second, priority: 1},
	}
	slowFifths := func(at time.Duration, server int) float64 {
		if (int(at/(400*ms))+server)%5 == 0 {
			return 3
		}
		return 1
	}
	halfLost := func(at time.Duration, server int) float64 {
		if at > 4*time.Second && at < 16*time.Second && server%2 == 0 {
			return 0
		}
		return 1
	}
	wave := func(at time.Duration) float64 { return 0.8 * (1 + 0.55*math.Sin(math.Pi*at.Seconds()/13)) }
	one := []loadRoute{lookups}
	for name, c := range map[string]struct {
		load
		// gain is the least ratio of the answers on time to those of the current order, late the same for late answers at
		// most.
		gain, late float64
	}{
		"twice, sigma 0.3": {load{routes: one, sigma: 0.3, costly: 0.01, rate: steady(2), slow: usual}, 1.12, 0.15},
		"twice, sigma 0.8": {load{routes: one, sigma: 0.8, costly: 0.03, rate: steady(2), slow: usual}, 1.2, 0.3},
		"half, sigma 0.8":  {load{routes: one, sigma: 0.8, costly: 0.03, rate: steady(0.5), slow: usual}, 0.99, 1.3},
		"wave":             {load{routes: one, sigma: 0.5, costly: 0.02, rate: wave, slow: usual}, 1.01, 0.6},
		"two routes":       {load{routes: two, sigma: 0.5, costly: 0.02, rate: steady(1.5), slow: usual}, 1.1, 0.6},
		"slow fifths":      {load{routes: one, sigma: 0.5, costly: 0.02, rate: steady(1), slow: slowFifths}, 1.04, 0.75},
		"half lost":        {load{routes: one, sigma: 0.5, costly: 0.02, rate: steady(0.9), slow: halfLost}, 1.03, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			c.length = 26 * time.Second
			current, aware := replayLoad(c.load, false), replayLoad(c.load, true)
			t.Logf("current    %+v", current)
			t.Logf("cost-aware %+v", aware)
			require.GreaterOrEqual(t, float64(aware.onTime), c.gain*float64(current.onTime), "answers on time")
			require.LessOrEqual(t, float64(aware.late), c.late*float64(current.late), "late answers")
			require.GreaterOrEqual(t, aware.inUse, 0.97*current.inUse, "slots stay in use")
			require.LessOrEqual(t, aware.onTime, aware.bound)
			require.LessOrEqual(t, float64(aware.answers503), 1.2*float64(current.answers503), "refusals")
		})
	}
}

// Failure: a server hangs, once from its first request on and once after a time. Guards against requests that wait
// until their deadline because the running ones seem to be about to end.
func TestHangingServerRefusesEarly(t *testing.T) {
	for _, answers := range []int{0, 20} {
		p := newReplay()
		p.state.setCosts(gwcost.NewModel())
		for range answers {
			p.run(20, 50*ms, true)
		}
		p.ends, p.refused, p.refusedAfter = nil, 0, 0
		for range 60 {
			p.now = p.now.Add(50 * ms)
			r := &request{SlotRequest: gw.SlotRequest{
				Deadline: p.now.Add(replayDeadline), Objective: p.now.Add(replayObjective),
			}}
			if p.state.submit(p.now, r); r.state == stateRefused {
				p.started(r)
			}
			p.state.advance(p.now)
			p.handleDecided()
			p.ends = nil
		}
		require.Less(t, p.refusedAfter/time.Duration(p.refused), replayObjective)
	}
}

// Failure: a server was 50 times slower for a while. Guards against estimates that stay too high and keep an idle
// server from getting work, and against a request that waits although it can only be refused.
func TestServerRecoversFromSlowSpell(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newServerState("s", gw.ServiceLimits{ColdPercent: 100})
	s.setCosts(gwcost.NewModel())
	s.lease(now, gw.DispatchServer{Name: "s", Slots: 2}, now.Add(time.Hour), gw.ItemVersion{Epoch: 1})
	serve := func(took time.Duration) {
		r := &request{SlotRequest: gw.SlotRequest{Deadline: now.Add(200 * ms)}}
		s.submit(now, r)
		require.Equal(t, stateRunning, r.state)
		now = now.Add(took)
		s.finish(now, r, gw.AttemptResult{Outcome: gw.OutcomeAnswered, Status: 200, End: now})
	}
	for range 20 {
		serve(20 * ms)
	}
	for range 20 {
		serve(time.Second)
	}
	first := &request{SlotRequest: gw.SlotRequest{Deadline: now.Add(200 * ms)}}
	s.submit(now, first)
	second := &request{SlotRequest: gw.SlotRequest{Deadline: now.Add(200 * ms)}}
	s.submit(now, second)
	require.Equal(t, stateRefused, second.state, "less time is left than the server takes")
	s.finish(now.Add(20*ms), first, gw.AttemptResult{Outcome: gw.OutcomeAnswered, Status: 200, End: now.Add(20 * ms)})
	for range 30 {
		serve(20 * ms)
	}
	require.Less(t, s.cost.Expect(now, "").High, 100*ms)
}

// Guards against late work that delays work which can be on time, also of another tenant, against a tenant that starves
// behind a more urgent one, and against a full queue that keeps a late request rather than one that can be on time.
func TestCostAwareOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newServerState("s", gw.ServiceLimits{ColdPercent: 100, QueueLength: 4, QueueMilliseconds: 60_000})
	s.setCosts(gwcost.NewModel())
	s.lease(now, gw.DispatchServer{Name: "s", Slots: 1}, now.Add(time.Hour), gw.ItemVersion{Epoch: 1})
	submit := func(tenant gw.TenantName, priority int, objective time.Duration) *request {
		r := &request{SlotRequest: gw.SlotRequest{
			Tenant: tenant, Priority: priority, Deadline: now.Add(time.Minute), Objective: now.Add(objective),
		}}
		s.submit(now, r)
		return r
	}
	var running *request
	finish := func() {
		now = now.Add(100 * ms)
		s.finish(now, running, gw.AttemptResult{Outcome: gw.OutcomeAnswered, Status: 200, End: now})
		if len(s.busy) > 0 {
			running = s.busy[0]
		}
	}
	for range 20 {
		running = submit("a", 0, time.Second)
		finish()
	}
	running = submit("a", 0, time.Second)
	late := submit("a", 0, 10*ms)
	minor, urgent := submit("b", 2, 2*time.Second), submit("c", 1, 2*time.Second)
	another := submit("a", 1, 3*time.Second)
	require.Equal(t, stateWaiting, late.state, "the server soon has time for it")
	replacing := submit("d", 2, 3*time.Second)
	require.Equal(t, stateRefused, late.state)
	require.Equal(t, gw.ReasonOverloaded, late.refusal.Reason)
	require.Equal(t, stateWaiting, replacing.state)
	finish()
	require.Contains(t, []*request{urgent, another}, running)
	finish()
	require.Contains(t, []*request{urgent, another}, running)
	require.Equal(t, stateWaiting, minor.state)
	for range 2 * turnInterval {
		submit("a", 0, 10*time.Second)
		finish()
	}
	require.Equal(t, stateEnded, minor.state, "served in turn although more urgent requests wait")
}
