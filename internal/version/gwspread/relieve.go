package gwspread

import (
	"cmp"
	"math"
	"slices"

	gw "github.com/geraniumworks/geraniumworks"
)

// reduceOverload moves load off servers of the own cell that are much more utilised than the mean. It splits
// off busy blocks of keys, so that few keys move.
func (d *decision) reduceOverload() {
	limit := max(d.meanUtilisation*d.policy.cfg.overloadFactor, d.policy.cfg.minOverloadUtilisation)
	for _, k := range d.byUtilisation() {
		s := &d.servers[k]
		if !s.ownCell || s.utilisation() <= limit || s.load-limit*s.Capacity < loadStdDev(s.load) {
			continue
		}
		target := max(d.meanUtilisation, d.policy.cfg.minOverloadUtilisation)
		// Receivers may end a little above the mean: the excess of one server is often less than a move for each of them.
		d.offload(k, (s.load-target*s.Capacity)*d.policy.cfg.moveFraction, (target+limit)/2)
	}
}

// loadStdDev returns the standard deviation of a load in requests a second that was counted over the window of loads. A
// smaller excess is mostly chance, and would move keys to and fro.
func loadStdDev(load float64) float64 {
	return math.Sqrt(max(load, 0) / loadWindowSeconds)
}

// loadWindowSeconds is the time over which arrivals are counted.
const loadWindowSeconds = 2.0

// fillIdle gives servers that are up and have almost nothing to do a part of what the own servers above the mean have.
func (d *decision) fillIdle() {
	for _, k := range d.up {
		idle := &d.servers[k]
		if idle.utilisation() >= d.meanUtilisation*d.policy.cfg.idleFactor || d.meanUtilisation < minUtilisation {
			continue
		}
		for _, from := range d.byUtilisation() {
			s := &d.servers[from]
			if room := d.meanUtilisation*idle.Capacity - idle.load; s.ownCell && from != k &&
				s.utilisation() > d.meanUtilisation && room > 0 {
				d.moveLoad(from, k, min(s.load-d.meanUtilisation*s.Capacity, room)*d.policy.cfg.moveFraction)
				break
			}
		}
	}
}

// minUtilisation is the utilisation below which loads are too small to compare.
const minUtilisation = 0.03

// byUtilisation returns the servers that are up, the most utilised first.
func (d *decision) byUtilisation() []int {
	order := slices.Clone(d.up)
	slices.SortStableFunc(order, func(x, y int) int {
		return cmp.Compare(d.servers[y].utilisation(), d.servers[x].utilisation())
	})
	return order
}

// offload moves load from an own server to the least utilised ones, none of which gets above a utilisation.
func (d *decision) offload(from int, excess, maxUtilisation float64) {
	for excess > minMoveRate && len(d.plan.Moves) < d.policy.cfg.maxMovesPerView {
		to := d.leastUtilised(0, d.servers[from].Name)
		if to < 0 {
			return
		}
		room := maxUtilisation*d.servers[to].Capacity - d.servers[to].load
		moved := d.moveLoad(from, to, min(excess, room))
		if moved <= 0 {
			return
		}
		excess -= moved
	}
}

// minMoveRate is the load in requests a second below which a range is not worth a move: a tenth of what a server gets.
const minMoveRate = 1.5

// moveLoad moves a range, or a block cut out of one, with at most the wanted load, and returns the load that it moves.
func (d *decision) moveLoad(from, to int, maxLoad float64) float64 {
	if maxLoad < minMoveRate {
		return 0
	}
	s := &d.servers[from]
	order := slices.Clone(s.ranges)
	slices.SortStableFunc(order, func(x, y int) int {
		return cmp.Compare(d.density(&d.ranges[y]), d.density(&d.ranges[x]))
	})
	for _, i := range order {
		r := &d.ranges[i]
		if r.inPlan || r.load < minMoveRate || d.settling(r.Range) {
			continue
		}
		if r.load <= maxLoad {
			r.inPlan = true
			d.move(r.First, s.Name, to, r.load)
			return r.load
		}
		if load := d.splitOff(r, to, maxLoad); load > 0 {
			return load
		}
	}
	return 0
}

func (d *decision) density(r *keyRange) float64 {
	return r.load / (float64(r.Last-r.First) + 1)
}

// splitOff moves a block of at most maxLoad from the start or the end of the range, whichever has fewer keys.
func (d *decision) splitOff(r *keyRange, to int, maxLoad float64) float64 {
	g := d.keyWidth()
	samples := d.samples(r.Range)
	head, headLoad := headBlock(samples, r.Range, g, maxLoad)
	tail, tailLoad := tailBlock(samples, r.Range, g, maxLoad)
	switch {
	case headLoad < minMoveRate && tailLoad < minMoveRate:
		return 0
	case tailLoad < minMoveRate || headLoad >= minMoveRate && head-r.First <= r.Last-tail:
		d.plan.Splits = append(d.plan.Splits, head)
		d.move(r.First, r.owner, to, headLoad)
		r.First, r.load, r.shrunk = head, r.load-headLoad, true
		return headLoad
	default:
		d.plan.Splits = append(d.plan.Splits, tail)
		d.move(tail, r.owner, to, tailLoad)
		r.Last, r.load, r.shrunk = tail-1, r.load-tailLoad, true
		return tailLoad
	}
}

// headBlock returns the position before which the first keys of the range have up to the wanted load, and that load.
func headBlock(samples []gw.Arrival, r gw.Range, g gw.Position, maxLoad float64) (end gw.Position, load float64) {
	for i := 0; i < len(samples); {
		key := samples[i].Position / g
		weight := 0.0
		for i < len(samples) && samples[i].Position/g == key {
			weight += samples[i].Weight
			i++
		}
		next := (key + 1) * g
		if load+weight > maxLoad || next > r.Last || next <= r.First {
			break
		}
		load += weight
		end = next
	}
	return end, load
}

// tailBlock returns the position from which the last keys of the range have up to the wanted load, and that load.
func tailBlock(samples []gw.Arrival, r gw.Range, g gw.Position, maxLoad float64) (first gw.Position, load float64) {
	for i := len(samples) - 1; i >= 0; {
		key := samples[i].Position / g
		weight := 0.0
		for i >= 0 && samples[i].Position/g == key {
			weight += samples[i].Weight
			i--
		}
		if load+weight > maxLoad || key*g <= r.First {
			break
		}
		load += weight
		first = key * g
	}
	return first, load
}

// mergeExcessRanges merges neighbours with the same owner in the own cell and little load while there are too many
// ranges.
func (d *decision) mergeExcessRanges() {
	excess := len(d.ranges) + len(d.plan.Splits) - d.policy.cfg.maxMeanRanges*len(d.up)
	for i := 1; i < len(d.ranges) && excess > 0; i++ {
		a, b := &d.ranges[i-1], &d.ranges[i]
		k, inView := d.index[a.owner]
		if a.owner != b.owner || !inView || !d.servers[k].ownCell || d.servers[k].State != gw.ServerUp {
			continue
		}
		if a.isChanging(d) || b.isChanging(d) || a.load+b.load > 2*minMoveRate {
			continue
		}
		a.inPlan, b.inPlan = true, true
		d.plan.Merges = append(d.plan.Merges, b.First)
		excess--
	}
}

// isChanging reports whether the plan, or a move that is not seen yet, changes the range.
func (r *keyRange) isChanging(d *decision) bool {
	return r.inPlan || r.shrunk || d.pending(r.First)
}
