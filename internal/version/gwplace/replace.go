package gwplace

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	gw "github.com/geraniumworks/geraniumworks"
)

// keyWeightShare is the part of the total load that distribute attributes to keys by number, so that ranges without
// load are distributed too.
const keyWeightShare = 0.25

// assignInitial assigns a key space without any owner: rangesPerServer ranges for each server that is up, with widths
// proportional to the capacities.
func (d *decision) assignInitial() {
	p := d.policy
	if p.unownedSince.IsZero() {
		p.unownedSince = d.now
	}
	waiting := slices.ContainsFunc(d.servers, func(s server) bool { return s.State == gw.ServerNew })
	if waiting && d.now.Sub(p.unownedSince) < p.cfg.startWait {
		return
	}
	up := slices.Clone(d.up)
	slices.SortFunc(up, func(a, b int) int { return cmp.Compare(d.servers[a].Name, d.servers[b].Name) })
	rng := rand.New(rand.NewPCG(p.cfg.seed, uint64(len(up))))
	total := d.meanCapacity * float64(len(up)) * initialRangesPerServer
	step := max(d.view.Granularity, 1)
	var bounds []gw.Position
	var owners []gw.ServerName
	sum := 0.0
	for range initialRangesPerServer {
		rng.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
		for _, k := range up {
			at := gw.Position(uint64(sum/total*keySpaceWidth) / step * step)
			if sum == 0 || (sum < total && at > bounds[len(bounds)-1]) {
				bounds = append(bounds, at)
				owners = append(owners, d.servers[k].Name)
			}
			sum += d.servers[k].Capacity
		}
	}
	next := d.view.Assignment
	for i, r := range next.Ranges {
		span := next.Span(i)
		k, found := slices.BinarySearch(bounds, span.First)
		if found {
			k++
		}
		d.plan.Moves = append(d.plan.Moves, gw.Move{First: r.First, To: owners[k-1]})
		for at := span.First; k < len(bounds) && bounds[k] <= span.Last; k++ {
			if uint64(bounds[k]-at) < step || uint64(span.Last-bounds[k]) < step-1 {
				continue
			}
			at = bounds[k]
			d.plan.Splits = append(d.plan.Splits, at)
			d.plan.Moves = append(d.plan.Moves, gw.Move{First: at, To: owners[k]})
		}
	}
}

// reassignUrgent gives new owners to ranges that must leave theirs at once: ranges without owner if the cell leads,
// and the ranges of servers that are expired, leaving or suspect for too long.
func (d *decision) reassignUrgent() {
	var urgent []int
	for i := range d.ranges {
		r := &d.ranges[i]
		if (r.owner == "" && d.view.Lead) || (r.server >= 0 && d.mustLeave(&d.servers[r.server])) {
			urgent = append(urgent, i)
		}
	}
	if len(urgent) == 0 {
		return
	}
	remaining := urgent[:0]
	for _, i := range urgent {
		r := &d.ranges[i]
		m, ok := d.policy.pending[r.first]
		k, inView := d.index[m.to]
		if ok && inView && m.from == r.owner && r.changedAt <= m.since.Sub(d.policy.origin) && d.stillFits(r, &d.servers[k]) {
			d.addUrgentMove(i, k)
			continue
		}
		remaining = append(remaining, i)
	}
	d.distribute(remaining)
}

// stillFits reports whether a server is still a good target for r: its limit permits the range, or no limit does.
func (d *decision) stillFits(r *rangeState, s *server) bool {
	fits := func(k int) bool { return d.servers[k].load+r.load <= d.servers[k].limit }
	return s.State == gw.ServerUp && (s.load+r.load <= s.limit || !slices.ContainsFunc(d.up, fits))
}

// mustLeave reports whether all ranges of a server of the own cell are to be moved.
func (d *decision) mustLeave(s *server) bool {
	switch s.State {
	case gw.ServerExpired, gw.ServerLeaving:
		return s.ownCell
	case gw.ServerSuspect:
		return s.ownCell && d.now.Sub(s.history.suspectSince) >= d.policy.cfg.suspectAfter
	default:
		return false
	}
}

// distribute distributes ranges in proportion to the free capacity of the servers that are up.
func (d *decision) distribute(ranges []int) {
	need, free := 0.0, 0.0
	for _, i := range ranges {
		need += d.weight(&d.ranges[i])
	}
	for _, k := range d.up {
		free += max(d.servers[k].limit-d.servers[k].load, 0)
	}
	for _, k := range d.up {
		s := &d.servers[k]
		s.assigned, s.quota = 0, 0
		if free > 0 {
			s.quota = need * max(s.limit-s.load, 0) / free
		}
	}
	slices.SortFunc(ranges, func(a, b int) int {
		x, y := &d.ranges[a], &d.ranges[b]
		return cmp.Or(cmp.Compare(y.load, x.load), cmp.Compare(y.share, x.share), cmp.Compare(x.first, y.first))
	})
	for _, i := range ranges {
		k := d.bestTarget(&d.ranges[i])
		d.servers[k].assigned += d.weight(&d.ranges[i])
		d.addUrgentMove(i, k)
	}
}

// bestTarget returns the server with the most of its quota left whose limit permits the range. If there is none, it
// returns the server that would be least utilised.
func (d *decision) bestTarget(r *rangeState) int {
	best, bestRemaining := -1, 0.0
	for _, k := range d.up {
		s := &d.servers[k]
		if remaining := s.quota - s.assigned; (best < 0 || remaining > bestRemaining) && s.load+r.load <= s.limit {
			best, bestRemaining = k, remaining
		}
	}
	if best >= 0 {
		return best
	}
	least, lowest := d.up[0], math.Inf(1)
	for _, k := range d.up {
		s := &d.servers[k]
		utilisation := (s.load + r.load + keyWeightShare*s.share*max(d.totalLoad, 1)) / max(s.limit, 1e-9)
		if utilisation < lowest {
			least, lowest = k, utilisation
		}
	}
	return least
}

func (d *decision) weight(r *rangeState) float64 {
	return r.load + keyWeightShare*r.share*max(d.totalLoad, 1)
}

func (d *decision) addUrgentMove(i, k int) {
	r := &d.ranges[i]
	m, ok := d.policy.pending[r.first]
	if !ok || m.to != d.servers[k].Name || m.from != r.owner || m.rebalancing {
		if ok && m.rebalancing {
			d.policy.churn.removeProposed(r.first)
		}
		m = pendingMove{from: r.owner, to: d.servers[k].Name, since: d.now}
		d.policy.pending[r.first] = m
	}
	d.addWholeMove(i, k)
}

// addWholeMove adds the move of a whole range to the plan.
func (d *decision) addWholeMove(i, k int) {
	r := &d.ranges[i]
	r.inPlan = true
	d.addMove(r.first, int(r.server), k, r.load, r.share)
}

// addMove adds a move to the plan. from is -1 when the range has no known owner.
func (d *decision) addMove(first gw.Position, from, to int, load, share float64) {
	m := gw.Move{First: first, To: d.servers[to].Name}
	if from >= 0 {
		m.From = d.servers[from].Name
		d.servers[from].load -= load
		d.servers[from].share -= share
	}
	d.plan.Moves = append(d.plan.Moves, m)
	d.servers[to].load += load
	d.servers[to].share += share
}
