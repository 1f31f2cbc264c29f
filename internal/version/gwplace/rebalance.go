package gwplace

import (
	gw "github.com/geraniumworks/geraniumworks"
)

const (
	// maxMovesPerView bounds the rebalancing moves proposed in one view.
	maxMovesPerView = 8
	// minMoveShare is the part of the mean load of a server below which a range is not worth a move.
	minMoveShare = 0.005
)

// rebalance moves ranges off overloaded servers of the own cell, those with the most load per key first.
func (d *decision) rebalance() {
	budget := d.repeatPending()
	if !d.policy.rebalancing {
		return
	}
	skip := make(map[int]bool)
	for moves := 0; moves < maxMovesPerView; {
		from := d.mostLoaded(skip)
		if from < 0 {
			return
		}
		to := d.leastLoaded(from)
		switch {
		case to >= 0 && d.moveHot(from, to):
		case to >= 0 && d.moveRange(from, to, &budget):
		default:
			d.splitLargest(from, budget)
			skip[from] = true
			continue
		}
		moves++
	}
}

// moveHot isolates and moves the hottest position of a server that fits on the target.
func (d *decision) moveHot(from, to int) bool {
	src, dst := &d.servers[from], &d.servers[to]
	maxLoad := d.maxMoveLoad(src, dst, false)
	best := -1
	for j, h := range d.hot {
		r := &d.ranges[h.rangeIndex]
		if int(r.server) == from && !r.inPlan && !hasMinWidth(r, max(d.view.Granularity, 1)) && h.rate <= maxLoad &&
			h.rate >= d.minMoveLoad() && d.mayMove(r) && (best < 0 || h.rate > d.hot[best].rate) {
			best = j
		}
	}
	if best < 0 {
		return false
	}
	span, ok := d.isolate(d.hot[best])
	if !ok {
		return false
	}
	d.policy.pending[span.First] = pendingMove{
		from: src.Name, to: dst.Name, last: span.Last, since: d.now, rebalancing: true, isolates: true,
	}
	d.addMove(span.First, from, to, d.hot[best].rate, 0)
	return true
}

// moveRange moves the range of a server with the most load per key that fits on the target.
func (d *decision) moveRange(from, to int, budget *float64) bool {
	i := d.pickRange(from, to, *budget)
	if i < 0 {
		return false
	}
	r := &d.ranges[i]
	d.policy.pending[r.first] = pendingMove{
		from: r.owner, to: d.servers[to].Name, last: r.last, since: d.now, rebalancing: true,
	}
	d.policy.churn.addProposed(r.first, d.now, r.share)
	*budget -= r.share
	d.addWholeMove(i, to)
	return true
}

// repeatPending proposes pending moves again, so that the plan of each view is complete, and returns the share of keys
// that may still be moved. The budget is divided among the cells by the keys that they own.
func (d *decision) repeatPending() float64 {
	for i := range d.ranges {
		r := &d.ranges[i]
		if len(d.policy.pending) == 0 {
			break
		}
		m, ok := d.policy.pending[r.first]
		if !ok || !m.rebalancing || r.inPlan || (m.isolates && r.last != m.last) {
			continue
		}
		k, inView := d.index[m.to]
		if r.last != m.last || m.from != r.owner || !inView || d.servers[k].State != gw.ServerUp || !d.ownedByLiveServer(r) {
			delete(d.policy.pending, r.first)
			d.policy.churn.removeProposed(r.first)
			continue
		}
		d.addWholeMove(i, k)
	}
	d.repeatIsolations()
	own, all := d.policy.churn.recentShares(d.now, d.policy.pending)
	return min(d.policy.cfg.churnPerMin*d.ownCellShare-own, d.policy.cfg.churnPerMin-all)
}

// repeatIsolations proposes pending isolations of hot positions again, with their moves.
func (d *decision) repeatIsolations() {
	g := gw.Position(max(d.view.Granularity, 1))
	for _, h := range d.hot {
		r := &d.ranges[h.rangeIndex]
		first := max(h.position-h.position%g, r.first)
		m, ok := d.policy.pending[first]
		k, inView := d.index[m.to]
		if !ok || !m.isolates || m.last == r.last || m.from != r.owner || !inView || d.servers[k].State != gw.ServerUp {
			continue
		}
		delete(d.policy.pending, first) // isolate refuses ranges with a pending move.
		if span, ok := d.isolate(h); ok {
			d.policy.pending[span.First] = m
			d.addMove(span.First, int(r.server), k, h.rate, 0)
		}
	}
}

// ownedByLiveServer reports whether the owner of r is in the own cell and up.
func (d *decision) ownedByLiveServer(r *rangeState) bool {
	return r.server >= 0 && d.servers[r.server].ownCell && d.servers[r.server].State == gw.ServerUp
}

// mostLoaded returns the server of the own cell that is furthest above its fair load, or -1. Only servers that were
// above it in enough consecutive views count.
func (d *decision) mostLoaded(skip map[int]bool) int {
	best, bestRatio := -1, 1.0
	for _, k := range d.up {
		s := &d.servers[k]
		if !s.ownCell || s.inconsistent || skip[k] || s.history.viewsOver < d.policy.cfg.consecutiveViews {
			continue
		}
		if ratio := s.load / max(s.fair, 1e-9); ratio > bestRatio {
			best, bestRatio = k, ratio
		}
	}
	return best
}

// pickRange chooses a range of a server: of those that fit on the target, the one with the most load per key, or -1.
func (d *decision) pickRange(from, to int, budget float64) int {
	src, dst := &d.servers[from], &d.servers[to]
	best, bestDensity := -1, 0.0
	for _, i := range src.ranges {
		r := &d.ranges[i]
		minWidth := hasMinWidth(r, max(d.view.Granularity, 1))
		if r.inPlan || r.share > budget || r.load > d.maxMoveLoad(src, dst, !minWidth) ||
			r.load < d.minMoveLoad() || !d.mayMove(r) {
			continue
		}
		if density := r.load / r.share; density > bestDensity {
			best, bestDensity = i, density
		}
	}
	return best
}

// maxMoveLoad returns the largest load that may move between two servers. A range with many keys must not bring the
// source below or the target above its fair load, so that its keys need not move again. A single position must only
// leave the target less overloaded than the source.
func (d *decision) maxMoveLoad(src, dst *server, manyKeys bool) float64 {
	excess, gap := src.load-src.fair, dst.fair-dst.load
	if manyKeys {
		return min(excess, gap)
	}
	return min((excess+gap)/2, dst.limit-dst.load)
}

// minMoveLoad returns the load below which a range is not worth a move.
func (d *decision) minMoveLoad() float64 {
	return minMoveShare * d.totalLoad / float64(len(d.up))
}

// mayMove reports whether the load of r is settled and its cooling-off time is over.
func (d *decision) mayMove(r *rangeState) bool {
	return !d.settling(r) && d.elapsed-r.movedAt >= d.policy.cfg.moveCooldown
}

// leastLoaded returns the server that is furthest below its fair load, or -1. Only servers that were below it in
// enough consecutive views count.
func (d *decision) leastLoaded(except int) int {
	best, bestRatio := -1, 1.0
	for _, k := range d.up {
		s := &d.servers[k]
		if k == except || s.inconsistent || s.fair <= 0 || s.history.viewsUnder < d.policy.cfg.consecutiveViews {
			continue
		}
		if ratio := s.load / s.fair; ratio < bestRatio {
			best, bestRatio = k, ratio
		}
	}
	return best
}

// splitLargest halves the range with the most load of a server from which nothing could be moved, when the range is too
// large for the budget or for the target.
func (d *decision) splitLargest(from int, budget float64) {
	src := &d.servers[from]
	excess := src.load - src.fair
	if len(src.ranges) >= maxMeanRanges || excess < d.minMoveLoad() {
		return
	}
	best, bestLoad := -1, 0.0
	for _, i := range src.ranges {
		r := &d.ranges[i]
		tooLarge := r.share > d.policy.cfg.churnPerMin*d.ownCellShare || r.load > excess
		if !r.inPlan && tooLarge && r.load > bestLoad && d.mayMove(r) && d.midpoint(r) != 0 {
			best, bestLoad = i, r.load
		}
	}
	if best >= 0 && budget > 0 {
		r := &d.ranges[best]
		r.inPlan = true
		d.plan.Splits = append(d.plan.Splits, d.midpoint(r))
	}
}

// midpoint returns the bound that halves r, or zero when the halves would be below the granularity.
func (d *decision) midpoint(r *rangeState) gw.Position {
	g := max(d.view.Granularity, 1)
	half := uint64(r.last-r.first)/2 + 1
	at := (uint64(r.first) + half) / g * g
	if at > uint64(r.last) || at < uint64(r.first) || at-uint64(r.first) < g || uint64(r.last)-at < g-1 {
		return 0
	}
	return gw.Position(at)
}
