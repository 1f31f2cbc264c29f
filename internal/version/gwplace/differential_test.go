package gwplace_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/version/gwplace"
)

const (
	testCoolingOff = 20 * time.Second
	testBudget     = 0.05
)

// driver simulates a key space with two cells whose policies act on the same assignment.
type driver struct {
	assignment gw.Assignment
	servers    []gw.ServerView
	// density is the load of all positions but the hot ones, in requests a second.
	density          float64
	hot              []gw.HotPosition
	granularity      uint64
	rebalancingMoves []rebalancingMove
	now              time.Time
}

type rebalancingMove struct {
	span     gw.Range
	from, to gw.ServerName
	at       time.Time
}

func spanWidth(r gw.Range) float64 { return (float64(r.Last-r.First) + 1) / (1 << 63) / 2 }

func (d *driver) load(span gw.Range) float64 {
	load := d.density * spanWidth(span)
	for _, h := range d.hot {
		if span.Contains(h.Position) {
			load += h.RequestsPerSecond
		}
	}
	return load
}

func (d *driver) server(name gw.ServerName) *gw.ServerView {
	i := slices.IndexFunc(d.servers, func(s gw.ServerView) bool { return s.Name == name })
	if i < 0 {
		return nil
	}
	return &d.servers[i]
}

func (d *driver) view(dc gw.DataCentreName) gw.PlacementView {
	v := gw.PlacementView{
		Now: d.now, Assignment: d.assignment, DataCentre: dc, Lead: dc == "d0", Granularity: d.granularity,
		RangeLoads: make(map[gw.Position]float64), Hot: d.hot, Servers: slices.Clone(d.servers),
	}
	for i := range v.Servers {
		v.Servers[i].Load = 0
	}
	for i, r := range d.assignment.Ranges {
		load := d.load(d.assignment.Span(i))
		v.RangeLoads[r.First] = load
		if k := slices.IndexFunc(v.Servers, func(s gw.ServerView) bool { return s.Name == r.Owner }); k >= 0 {
			v.Servers[k].Load += load
		}
	}
	return v
}

// urgentRanges returns the first positions of the ranges that a cell must give a new owner at once.
func urgentRanges(v gw.PlacementView, a gw.Assignment) []gw.Position {
	var firsts []gw.Position
	for _, r := range a.Ranges {
		k := slices.IndexFunc(v.Servers, func(s gw.ServerView) bool { return s.Name == r.Owner })
		lost := k >= 0 && v.Servers[k].DataCentre == v.DataCentre &&
			(v.Servers[k].State == gw.ServerExpired || v.Servers[k].State == gw.ServerLeaving)
		if lost || (r.Owner == "" && v.Lead) {
			firsts = append(firsts, r.First)
		}
	}
	return firsts
}

// commit applies a plan and checks that it stays within the churn budget and passes no range back.
func (d *driver) commit(t *rapid.T, v gw.PlacementView, plan gw.Plan) {
	d.assignment = applyPlan(t, v, plan)
	for _, m := range plan.Moves {
		if s := d.server(m.From); s == nil || s.State != gw.ServerUp {
			continue
		}
		span := d.assignment.Span(d.assignment.Index(m.First))
		for _, p := range d.rebalancingMoves {
			back := p.span.First <= span.Last && span.First <= p.span.Last && p.from == m.To && p.to == m.From
			require.False(t, back && d.now.Sub(p.at) < testCoolingOff, "range %s passed back", m.First)
		}
		d.rebalancingMoves = append(d.rebalancingMoves, rebalancingMove{span, m.From, m.To, d.now})
	}
	spent := 0.0
	for _, p := range d.rebalancingMoves {
		if d.now.Sub(p.at) < time.Minute {
			spent += spanWidth(p.span)
		}
	}
	require.LessOrEqual(t, spent, testBudget+1e-9, "churn budget exceeded at %s: %v",
		d.now.Format("05"), d.rebalancingMoves)
}

// checkLimits fails when the plan brings a server above its limit with ranges of lost or leaving servers, although the
// free capacity suffices with a margin of one range for each server.
func (d *driver) checkLimits(t *rapid.T, v gw.PlacementView, plan gw.Plan, firsts []gw.Position) {
	need, largest, free := 0.0, 0.0, 0.0
	for _, first := range firsts {
		load := d.load(v.Assignment.Span(v.Assignment.Index(first)))
		need, largest = need+load, max(largest, load)
	}
	gained := make(map[gw.ServerName]float64)
	for _, m := range plan.Moves {
		if slices.Contains(firsts, m.First) {
			gained[m.To] += d.load(v.Assignment.Span(v.Assignment.Index(m.First)))
		}
	}
	up := 0.0
	for _, s := range v.Servers {
		if s.State == gw.ServerUp {
			free += max(s.Capacity*float64(s.WarmPercent)/100-s.Load, 0)
			up++
		}
	}
	if free < need+up*largest {
		return
	}
	for _, s := range v.Servers {
		if gained[s.Name] > 0 {
			require.LessOrEqual(t, s.Load+gained[s.Name], s.Capacity*float64(s.WarmPercent)/100*1.0001+1e-6,
				"server %s beyond its limit", s.Name)
		}
	}
}

func newDriver(t *rapid.T) *driver {
	d := &driver{
		assignment: gw.NewAssignment(gw.KeySpace{Service: "lookups", Region: "holland"}),
		density:    rapid.Float64Range(0, 400).Draw(t, "density"), now: epoch,
		granularity: rapid.SampledFrom([]uint64{1, 1 << 44}).Draw(t, "granularity"),
	}
	for i := range rapid.IntRange(2, 6).Draw(t, "servers") {
		d.servers = append(d.servers, gw.ServerView{
			Name: gw.ServerName(fmt.Sprintf("s%d", i)), DataCentre: gw.DataCentreName(fmt.Sprintf("d%d", i%2)),
			State: gw.ServerUp, Capacity: rapid.Float64Range(50, 200).Draw(t, "capacity"), WarmPercent: 100,
		})
	}
	for range rapid.IntRange(0, 6).Draw(t, "hot") {
		d.hot = append(d.hot, gw.HotPosition{
			Position:          gw.Position(rapid.Uint64().Draw(t, "position")),
			RequestsPerSecond: rapid.Float64Range(1, 60).Draw(t, "rate"),
		})
	}
	return d
}

func (d *driver) changeServer(t *rapid.T) {
	if rapid.IntRange(0, 7).Draw(t, "change") != 0 {
		return
	}
	s := &d.servers[rapid.IntRange(0, len(d.servers)-1).Draw(t, "server")]
	s.State = rapid.SampledFrom([]gw.ServerState{
		gw.ServerUp, gw.ServerUp, gw.ServerUp, gw.ServerSuspect, gw.ServerExpired, gw.ServerLeaving, gw.ServerNew,
	}).Draw(t, "state")
	s.WarmPercent = rapid.SampledFrom([]int{10, 50, 100}).Draw(t, "warm")
}

// Guards against plans that leave a range on a lost server, overload a server although there is room, move more keys
// than the budget, pass ranges back and forth between two cells, or differ for the same views.
func TestPolicyAgreesWithReference(t *testing.T) {
	t.Parallel()
	newPolicy := func() *gwplace.Policy {
		return gwplace.New(gwplace.WithStartWait(0), gwplace.WithChurnBudget(testBudget),
			gwplace.WithImbalanceDuration(2*time.Second, 2),
			gwplace.WithMoveCooldown(testCoolingOff), gwplace.WithSettlingTime(2*time.Second),
			gwplace.WithHotPositions(0.05, 5*time.Second))
	}
	rapid.Check(t, func(t *rapid.T) {
		d := newDriver(t)
		policies := map[gw.DataCentreName][2]*gwplace.Policy{
			"d0": {newPolicy(), newPolicy()}, "d1": {newPolicy(), newPolicy()},
		}
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			d.now = d.now.Add(time.Second)
			d.changeServer(t)
			for _, dc := range []gw.DataCentreName{"d0", "d1"} {
				v := d.view(dc)
				plan := policies[dc][0].Place(v)
				require.Equal(t, plan, policies[dc][1].Place(v), "same views, other plan")
				firsts := urgentRanges(v, v.Assignment)
				reference := gwplace.Reference{}.Place(v)
				require.Subset(t, urgentRanges(v, v.Assignment), urgentRanges(v, applyPlan(t, v, reference)))
				after := applyPlan(t, v, plan)
				if slices.ContainsFunc(v.Servers, func(s gw.ServerView) bool { return s.State == gw.ServerUp }) {
					require.Empty(t, urgentRanges(v, applyPlan(t, v, reference)), "reference leaves ranges without owner")
					require.Empty(t, urgentRanges(v, after), "policy leaves ranges without owner")
				}
				if len(v.Assignment.Ranges) > 1 {
					d.checkLimits(t, v, plan, firsts)
				}
				if rapid.IntRange(0, 4).Draw(t, "commit") != 0 {
					d.commit(t, v, plan)
				}
			}
		}
	})
}
