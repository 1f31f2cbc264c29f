package gwdispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	gw "github.com/geraniumworks/geraniumworks"
)

// serverModel models one server with a fixed number of slots and a controller that lends them to two dispatchers. A
// slot is lent again only after the status of the dispatcher that had it shows that it is free.
type serverModel struct {
	now   time.Time
	slots int
	hosts []*modelHost
}

type modelHost struct {
	state *serverState
	// version, end, slots and granted are those of the last lease; released lists the blocked ranges with the
	// version above which a lease may list them again.
	version  uint64
	end      time.Time
	slots    int
	granted  []gw.GrantedRange
	released map[gw.Range]uint64
	requests []*request
	waits    []*pendingRelease
	// before holds the state of each request before the step.
	before []requestState
}

func (f *serverModel) freeSlots() int {
	free := f.slots
	for _, h := range f.hosts {
		lent := 0
		if f.now.Before(h.end) {
			lent = h.slots
		}
		free -= max(lent, h.state.status(f.now).InFlight)
	}
	return free
}

func (h *modelHost) mayStart(now time.Time, r *request) error {
	if !now.Before(h.end) || !now.Before(r.Deadline) {
		return fmt.Errorf("started at %v, lease ends %v, deadline %v", now, h.end, r.Deadline)
	}
	for _, g := range h.granted {
		if g.Contains(r.Position) && g.Token == r.Token {
			if at, blocked := h.released[g.Range]; blocked && at >= h.version {
				return fmt.Errorf("started in released range %v", g)
			}
			return nil
		}
	}
	return fmt.Errorf("started without a granted range: %v", r.Position)
}

// idle reports whether the server can run no request of the range.
func (h *modelHost) idle(rng gw.Range) bool {
	return !slices.ContainsFunc(h.requests, func(r *request) bool {
		return (r.state == stateRunning || r.state == stateHeld) && rng.Contains(r.Position)
	})
}

// check compares every request with its state before the step.
func (f *serverModel) check(t *rapid.T) {
	total := 0
	for _, h := range f.hosts {
		busy := 0
		for i, r := range h.requests {
			was := stateWaiting
			if i < len(h.before) {
				was = h.before[i]
			}
			if r.state == stateRunning || r.state == stateHeld {
				busy++
			}
			if was == stateWaiting && r.state == stateRunning {
				require.NoError(t, h.mayStart(f.now, r))
			}
			if was == stateEnded || was == stateRefused {
				require.Equal(t, was, r.state, "a request that had ended changed again")
			}
			if was == stateHeld && r.state == stateEnded && r.incarnation == h.state.incarnation {
				require.False(t, f.now.Before(r.Deadline), "a held slot was freed before the deadline")
			}
		}
		require.Len(t, h.state.busy, busy, "slots are leaked or freed twice")
		require.LessOrEqual(t, h.state.queue.length, h.state.limits.QueueLength)
		total += busy
		h.before = h.before[:0]
		for _, r := range h.requests {
			h.before = append(h.before, r.state)
		}
		h.waits = slices.DeleteFunc(h.waits, func(w *pendingRelease) bool {
			select {
			case <-w.done:
				require.True(t, w.superseded || h.idle(w.ranges[0]), "released with requests in flight")
				return true
			default:
				return false
			}
		})
	}
	require.LessOrEqual(t, total, f.slots, "more requests at the server than it has slots")
}

var modelRanges = []gw.Range{{First: 0, Last: 9}, {First: 10, Last: 19}, {First: 20, Last: 29}}

// Guards against any interleaving of requests, leases, releases and time in which a slot is used twice, leaked
// or freed twice, or a request is started after the end of the lease, a release or its deadline.
func TestNoInterleavingBreaksSlotsOrFencing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &serverModel{now: at(0), slots: rapid.IntRange(1, 5).Draw(t, "slots")}
		limits := gw.ServiceLimits{
			QueueLength: rapid.IntRange(1, 6).Draw(t, "queue"), QueueMilliseconds: 200,
			SlotsPerServer:       rapid.SampledFrom([]int{0, f.slots}).Draw(t, "warm slots"),
			ColdPercent:          rapid.SampledFrom([]int{30, 100}).Draw(t, "cold"),
			ColdStepMilliseconds: 50,
		}
		for range 2 {
			f.hosts = append(f.hosts, &modelHost{state: newServerState("s1", limits), released: map[gw.Range]uint64{}})
		}
		for _, h := range f.hosts {
			f.lease(t, h)
		}
		// Requests outnumber the rest, so that slots and queues are full when something else happens.
		steps := []string{"submit", "submit", "submit", "finish", "finish", "time", "lease", "release", "cancel", "unlist"}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			f.step(t, rapid.SampledFrom(steps).Draw(t, "step"), rapid.SampledFrom(f.hosts).Draw(t, "host"))
			f.check(t)
		}
	})
}

func (f *serverModel) step(t *rapid.T, step string, h *modelHost) {
	switch step {
	case "time":
		f.now = f.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
		for _, h := range f.hosts {
			h.state.advance(f.now)
		}
	case "lease":
		f.lease(t, h)
	case "release":
		rng := rapid.SampledFrom(modelRanges).Draw(t, "range")
		h.released[rng] = h.version
		h.waits = append(h.waits, h.state.release(f.now, []gw.Range{rng}, gw.ItemVersion{Sequence: h.version}))
	case "unlist":
		h.end = f.now
		h.state.unlist(f.now)
	case "submit":
		f.submit(t, h)
	case "finish":
		f.finish(t, h)
	case "cancel":
		if len(h.requests) > 0 {
			h.state.cancel(rapid.SampledFrom(h.requests).Draw(t, "request"))
		}
	}
}

// mostlyOne draws a token that matches another drawn the same way in most cases.
var mostlyOne = rapid.SampledFrom([]gw.Revision{1, 1, 1, 1, 1, 2})

func (f *serverModel) lease(t *rapid.T, h *modelHost) {
	h.version++
	h.slots = min(f.slots, rapid.IntRange(0, max(0, f.freeSlots())+h.slots).Draw(t, "lent"))
	if !f.now.Before(h.end) {
		// The controller may have lent the slots of an ended lease to the other host in the meantime.
		h.slots = min(h.slots, f.freeSlots()+len(h.state.busy))
	}
	h.end = f.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "lease ms")) * time.Millisecond)
	h.granted = nil
	for _, rng := range modelRanges {
		if rapid.IntRange(0, 3).Draw(t, "granted") > 0 {
			h.granted = append(h.granted, gw.GrantedRange{Range: rng, Token: mostlyOne.Draw(t, "token")})
		}
	}
	h.state.lease(f.now, gw.DispatchServer{
		Name: "s1", Slots: h.slots, Ranges: slices.Clone(h.granted),
		Incarnation: rapid.SampledFrom([]gw.Incarnation{"A", "A", "A", "A", "A", "B"}).Draw(t, "incarnation"),
	}, h.end, gw.ItemVersion{Sequence: h.version})
}

func (f *serverModel) submit(t *rapid.T, h *modelHost) {
	r := &request{SlotRequest: gw.SlotRequest{
		Tenant: rapid.SampledFrom([]gw.TenantName{"t1", "t2", "t3"}).Draw(t, "tenant"), HasKey: true,
		Position: gw.Position(rapid.IntRange(0, 32).Draw(t, "position")),
		Token:    mostlyOne.Draw(t, "token"),
		Deadline: f.now.Add(time.Duration(rapid.IntRange(-5, 900).Draw(t, "deadline")) * time.Millisecond),
	}}
	h.requests = append(h.requests, r)
	h.state.submit(f.now, r)
}

func (f *serverModel) finish(t *rapid.T, h *modelHost) {
	if len(h.requests) == 0 {
		return
	}
	// Requests that have ended are drawn too: a second end must have no effect.
	r := h.requests[rapid.IntRange(max(0, len(h.requests)-12), len(h.requests)-1).Draw(t, "request")]
	names := []string{"answered", "answered", "error", "not-run", "unknown", "overloaded"}
	name := rapid.SampledFrom(names).Draw(t, "result")
	result := results[name]
	result.Incarnation = rapid.SampledFrom([]gw.Incarnation{"", "", "", "A", "B"}).Draw(t, "seen")
	running := r.state == stateRunning
	h.state.finish(f.now, r, result)
	if running && name == "unknown" && f.now.Before(r.Deadline) && r.incarnation == h.state.incarnation {
		require.Equal(t, stateHeld, r.state, "the server may still run the request")
	}
}

// Guards against a request that waits longer than one round per request of its tenant ahead of it.
func TestWaitingIsBoundedByRounds(t *testing.T) {
	type waiting struct{ own, popped int }
	rapid.Check(t, func(t *rapid.T) {
		tenants := rapid.IntRange(1, 5).Draw(t, "tenants")
		q, popped, own := &fairQueue{}, 0, map[gw.TenantName]int{}
		pushed := map[*request]waiting{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			if q.length == 0 || rapid.Bool().Draw(t, "push") {
				tenant := gw.TenantName(fmt.Sprint(rapid.IntRange(1, tenants).Draw(t, "tenant")))
				r := &request{SlotRequest: gw.SlotRequest{Tenant: tenant}}
				pushed[r] = waiting{own[tenant], popped}
				q.push(r)
				own[tenant]++
				continue
			}
			r := q.pop(time.Time{}, 0)
			w := pushed[r]
			require.Less(t, popped-w.popped, (w.own+1)*tenants, "request %d of its tenant waited too long", w.own)
			own[r.Tenant]--
			popped++
		}
	})
}

// Guards against undocumented differences from the reference dispatcher. Documented ones are fairness between tenants
// and the limit for cold servers, so the traces have one tenant and one incarnation.
func TestAgreesWithNaiveDispatcher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := withDefaults(gw.ServiceLimits{
			SlotsPerServer: 1, QueueLength: rapid.IntRange(1, 5).Draw(t, "queue"), QueueMilliseconds: 100,
		})
		f := &serverModel{now: at(0), slots: rapid.IntRange(1, 4).Draw(t, "slots")}
		h := &modelHost{state: newServerState("s1", limits)}
		ref := &reference{limits: limits, estimate: h.state.serviceTimes.estimate}
		var expected []*referenceRequest
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			steps := []string{"time", "lease", "submit", "submit", "finish", "finish", "cancel"}
			switch rapid.SampledFrom(steps).Draw(t, "step") {
			case "time":
				f.now = f.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
				h.state.advance(f.now)
				ref.advance(f.now)
			case "lease":
				h.version++
				end := f.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "lease ms")) * time.Millisecond)
				h.state.lease(f.now, gw.DispatchServer{Slots: f.slots, Incarnation: "A"}, end, gw.ItemVersion{Sequence: h.version})
				ref.lease(f.now, f.slots, end)
			case "submit":
				r := &request{SlotRequest: gw.SlotRequest{
					Deadline: f.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "deadline")) * time.Millisecond),
				}}
				h.requests = append(h.requests, r)
				expected = append(expected, ref.submit(f.now, r.Deadline))
				h.state.submit(f.now, r)
			case "finish", "cancel":
				if len(expected) == 0 {
					continue
				}
				i := rapid.IntRange(max(0, len(expected)-8), len(expected)-1).Draw(t, "request")
				if rapid.Bool().Draw(t, "cancel") {
					ref.cancel(expected[i])
					h.state.cancel(h.requests[i])
					continue
				}
				result := results[rapid.SampledFrom([]string{"answered", "error", "not-run", "unknown"}).Draw(t, "result")]
				h.state.finish(f.now, h.requests[i], result)
				ref.finish(f.now, expected[i], result.Outcome == gw.OutcomeUnknown)
			}
			for i, r := range h.requests {
				require.Equal(t, expected[i].state, r.state, "request %d", i)
			}
		}
	})
}
