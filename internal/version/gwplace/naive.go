package gwplace

import (
	"math"

	gw "github.com/geraniumworks/geraniumworks"
)

// Reference is a simple placer that Policy is compared with: greedy, stateless, without hysteresis or budget. It does
// not isolate hot positions.
type Reference struct{}

var _ gw.Placer = Reference{}

// Place gives each range that needs an owner to the least utilised server, and moves one range from the most to the
// least utilised server when that lowers the higher of their loads.
func (Reference) Place(v gw.PlacementView) gw.Plan {
	var plan gw.Plan
	servers := make(map[gw.ServerName]gw.ServerView)
	loads := make(map[gw.ServerName]float64)
	for _, s := range v.Servers {
		servers[s.Name] = s
	}
	a := v.Assignment
	plan.Splits = firstSplits(v)
	for _, p := range plan.Splits {
		a = a.WithSplit(p)
	}
	weight := func(i int) float64 {
		return v.RangeLoads[a.Ranges[i].First] + 1e-6*width(a.Span(i).First, a.Span(i).Last)/keySpaceWidth
	}
	for i, r := range a.Ranges {
		loads[r.Owner] += weight(i)
	}
	move := func(i int, to gw.ServerName) {
		plan.Moves = append(plan.Moves, gw.Move{First: a.Ranges[i].First, From: a.Ranges[i].Owner, To: to})
		loads[a.Ranges[i].Owner] -= weight(i)
		loads[to] += weight(i)
	}
	utilisation := func(s gw.ServerView) float64 {
		return loads[s.Name] / max(s.Capacity*float64(s.WarmPercent), 1e-9)
	}
	least := func() gw.ServerName {
		best, lowest := gw.ServerName(""), math.Inf(1)
		for _, s := range v.Servers {
			if u := utilisation(s); s.State == gw.ServerUp && u < lowest {
				best, lowest = s.Name, u
			}
		}
		return best
	}
	for i, r := range a.Ranges {
		s := servers[r.Owner]
		lost := s.DataCentre == v.DataCentre && (s.State == gw.ServerExpired || s.State == gw.ServerLeaving)
		if to := least(); to != "" && (lost || (r.Owner == "" && v.Lead)) {
			move(i, to)
		}
	}
	if len(plan.Moves) > 0 {
		return plan
	}
	from, highest := gw.ServerName(""), 0.0
	for _, s := range v.Servers {
		if u := utilisation(s); s.State == gw.ServerUp && s.DataCentre == v.DataCentre && u > highest {
			from, highest = s.Name, u
		}
	}
	to := least()
	best := -1
	for i, r := range a.Ranges {
		if r.Owner == from && loads[to]+weight(i) < loads[from] && (best < 0 || weight(i) > weight(best)) {
			best = i
		}
	}
	if best >= 0 && highest > 0 && to != from {
		move(best, to)
	}
	return plan
}

// firstSplits returns the bounds of ranges of equal width for a key space that has only one range, without owner.
func firstSplits(v gw.PlacementView) []gw.Position {
	n, g := uint64(0), max(v.Granularity, 1)
	for _, s := range v.Servers {
		if s.State == gw.ServerUp {
			n += initialRangesPerServer
		}
	}
	if n == 0 || !v.Lead || len(v.Assignment.Ranges) > 1 || v.Assignment.Ranges[0].Owner != "" {
		return nil
	}
	var splits []gw.Position
	step := max((math.MaxUint64/n+1)/g, 1) * g
	for i := uint64(1); i < n && i <= (math.MaxUint64-step+1)/step; i++ {
		splits = append(splits, gw.Position(i*step))
	}
	return splits
}
