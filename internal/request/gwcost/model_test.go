package gwcost_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwcost"
)

// Load pattern: two classes of different cost on servers whose speeds differ by a factor of 3, with 3% of requests of 6
// times the work. Guards against costs that are attributed to the wrong cause, against an estimate that follows single
// costly requests, and against a quantile that does not hold.
func TestClassesAndServers(t *testing.T) {
	model, now, rng := gwcost.NewModel(), time.Unix(1000, 0), rand.New(rand.NewPCG(1, 2))
	slowness := []float64{2, 1, 1, 2.0 / 3}
	work := map[gw.CostClass]float64{"cheap": 50, "costly": 250}
	var servers []*gwcost.Server
	for range slowness {
		servers = append(servers, gwcost.NewServer(model))
	}
	below, total := 0.0, 0.0
	for i := range 4000 {
		now = now.Add(5 * time.Millisecond)
		class := gw.CostClass("cheap")
		if rng.IntN(3) == 0 {
			class = "costly"
		}
		at := rng.IntN(len(servers))
		est := servers[at].Expect(now, class)
		took := work[class] * slowness[at] * math.Exp(0.4*rng.NormFloat64())
		if rng.IntN(33) == 0 {
			took *= 6
		}
		servers[at].Observe(now, class, est, time.Duration(took*float64(time.Millisecond)), true)
		if i > 500 {
			total++
			if took <= float64(est.High.Microseconds())/1000 {
				below++
			}
		}
	}
	require.InDelta(t, 0.85, below/total, 0.06)
	for class, w := range work {
		for i, slow := range slowness {
			median := servers[i].Expect(now, class).Median
			require.InEpsilon(t, w*slow, float64(median.Milliseconds()), 0.35, "%s at %d", class, i)
		}
	}
	require.InEpsilon(t, servers[1].Expect(now, "cheap").Mean, gwcost.NewServer(model).Expect(now, "cheap").Mean, 0.4)
}

// Load pattern: a machine is 3 times slower for 400 ms at a time and says so. Guards against a report that is taken for
// a property of the server, or that outlives the slow spell. A malformed report has no effect.
func TestReportedSlowness(t *testing.T) {
	server, now := gwcost.NewServer(gwcost.NewModel()), time.Unix(1000, 0)
	for i := range 200 {
		now = now.Add(50 * time.Millisecond)
		percent := 100.0
		if i%40 < 8 {
			percent = 300
		}
		est := server.Expect(now, "a")
		server.Report(now, &gw.ServerUtilization{WorkPercent: percent})
		server.Observe(now, "a", est, time.Duration(percent)*time.Millisecond, true)
	}
	require.InDelta(t, 1, server.Slowness(now), 0.2)
	server.Report(now, &gw.ServerUtilization{WorkPercent: 300})
	require.InDelta(t, 3, server.Slowness(now), 0.5)
	require.InDelta(t, 1, server.Slowness(now.Add(2*time.Second)), 0.2)
	server.Report(now.Add(2*time.Second), &gw.ServerUtilization{WorkPercent: -5})
	require.InDelta(t, 1, server.Slowness(now.Add(2*time.Second)), 0.2)
}

// Load pattern: callers use very many classes, and a class becomes 4 times as costly. Guards against unbounded memory,
// and against estimates that follow a change too slowly.
func TestManyClassesAndChange(t *testing.T) {
	model, now := gwcost.NewModel(), time.Unix(1000, 0)
	server := gwcost.NewServer(model)
	observe := func(class gw.CostClass, took time.Duration) {
		now = now.Add(10 * time.Millisecond)
		server.Observe(now, class, server.Expect(now, class), took, true)
	}
	for i := range 600 {
		observe(gw.CostClass(fmt.Sprint(i)), 20*time.Millisecond)
		observe("usual", 20*time.Millisecond)
	}
	_, known := model.Base("0")
	require.False(t, known)
	_, known = model.Base("usual")
	require.True(t, known)
	route, other := gwcost.ClassOf("a route", "GET", 1000), gwcost.ClassOf("a route", "GET", 100_000)
	require.NotEqual(t, route, other)
	require.Equal(t, gwcost.ClassOf("a route", "X1", 0), gwcost.ClassOf("a route", "X2", 0))
	observe(route, 20*time.Millisecond)
	observe("GET 0 gone", 20*time.Millisecond)
	model.Retain(func(name gw.RouteName) bool { return name == "a route" || name == "usual" })
	_, known = model.Base(route)
	require.True(t, known)
	_, known = model.Base("GET 0 gone")
	require.False(t, known, "its route no longer exists")
	for range 400 {
		observe("usual", 80*time.Millisecond)
	}
	require.InEpsilon(t, 80*time.Millisecond, server.Expect(now, "usual").Mean, 0.3)
}

// Load pattern: 40 callers are refused at the same moment by a server that is offered half of its capacity. Guards
// against callers that return all at once, before there is capacity, or in a time slot promised to others.
func TestReturnsAreSpread(t *testing.T) {
	var plan gwcost.Returns
	now, cost := time.Unix(1000, 0), 50*time.Millisecond
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		plan.Arrive(now, cost)
	}
	free := gwcost.Capacity{Free: []time.Time{now.Add(300 * time.Millisecond), now.Add(300 * time.Millisecond)}, Share: 1}
	perSlot := map[time.Duration]int{}
	different := map[time.Duration]bool{}
	for range 40 {
		delay, returns := plan.Refuse(now, free, cost, 9*time.Second)
		require.True(t, returns)
		require.GreaterOrEqual(t, delay, 300*time.Millisecond)
		perSlot[delay/(100*time.Millisecond)]++
		different[delay] = true
	}
	for slot, n := range perSlot {
		require.LessOrEqual(t, n, 3, "the server has time for 2 to 3 in %d", slot)
	}
	require.Len(t, different, 40)
	require.Equal(t, 40*cost, plan.Promised(now).Round(time.Millisecond))
	_, returns := plan.Refuse(now, free, cost, 900*time.Millisecond)
	require.False(t, returns, "the caller has too little time left")
	idle := gwcost.Capacity{Free: []time.Time{now}, Share: 1}
	delay, _ := new(gwcost.Returns).Refuse(now, idle, cost, time.Second)
	require.GreaterOrEqual(t, delay, 50*time.Millisecond)
	for range 400 {
		plan.Arrive(now, cost)
	}
	delay, returns = plan.Refuse(now, free, cost, 9*time.Second)
	require.False(t, returns)
	require.Equal(t, 4*time.Second, delay, "no time slot has capacity")
}
