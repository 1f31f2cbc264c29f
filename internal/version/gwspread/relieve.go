package gwspread

import (
	"cmp"
	"math"
	"slices"

	gw "github.com/geraniumworks/geraniumworks"
)

// relieve moves load off servers of the own cell that are much more utilised than all servers together. Busy blocks are
// cut out, so that few keys move.
func (d *draft) relieve() {
	limit := max(d.level*d.p.s.overload, d.p.s.idleBelow)
	for _, k := range d.byUtilisation() {
		s := &d.servers[k]
		if !s.own || s.utilisation() <= limit || s.load-limit*s.Capacity < noise(s.load) {
			continue
		}
		target := max(d.level, d.p.s.idleBelow)
		// Receivers may end a little above the mean: the excess of one server is often less than a move for each of them.
		d.give(k, (s.load-target*s.Capacity)*d.p.s.giveShare, (target+limit)/2, d.up)
	}
	d.relieveOverloaded()
}

// fullUtilisation is the utilisation up to which servers take load that others would have to refuse.
const fullUtilisation = 0.9

// relieveOverloaded moves what servers of the own cell cannot serve to any server that can, also above the mean. A
// busy key may need more than what the others are below the mean. The own servers come first, because controllers of
// other cells that are in the same position would choose the same servers elsewhere.
func (d *draft) relieveOverloaded() {
	own := slices.DeleteFunc(slices.Clone(d.up), func(k int) bool { return !d.servers[k].own })
	target := max(d.level, d.p.s.idleBelow)
	for _, k := range d.byUtilisation() {
		s := &d.servers[k]
		if !s.own || s.utilisation() <= 1 || s.load-s.Capacity < noise(s.load) {
			continue
		}
		for _, to := range [][]int{own, d.up} {
			if s.utilisation() > 1 {
				d.give(k, s.load-target*s.Capacity, fullUtilisation, to)
			}
		}
	}
}

// noise returns the standard deviation of a load in requests a second that was counted over the window of loads. A
// smaller excess is mostly chance, and would move keys to and fro.
func noise(load float64) float64 {
	return math.Sqrt(max(load, 0) / windowSeconds)
}

// windowSeconds is the time over which arrivals are counted.
const windowSeconds = 2.0

// fill gives servers that are up and have almost nothing to do a part of what the own servers above the mean have.
func (d *draft) fill() {
	for _, k := range d.up {
		idle := &d.servers[k]
		if idle.utilisation() >= d.level*d.p.s.fillBelow || d.level < minLevel {
			continue
		}
		for _, from := range d.byUtilisation() {
			s := &d.servers[from]
			if room := d.level*idle.Capacity - idle.load; s.own && from != k && s.utilisation() > d.level && room > 0 {
				d.giveTo(from, k, min(s.load-d.level*s.Capacity, room)*d.p.s.giveShare)
				break
			}
		}
	}
}

// minLevel is the utilisation below which loads are too small to compare.
const minLevel = 0.03

// byUtilisation returns the servers that are up, the most utilised first.
func (d *draft) byUtilisation() []int {
	order := slices.Clone(d.up)
	slices.SortStableFunc(order, func(x, y int) int {
		return cmp.Compare(d.servers[y].utilisation(), d.servers[x].utilisation())
	})
	return order
}

// give moves load from an own server to the least utilised ones of some, none of which gets above a utilisation.
func (d *draft) give(from int, excess, most float64, some []int) {
	for excess > minMoveRate && len(d.plan.Moves) < d.p.s.movesPerView {
		to := d.leastOf(some, 0, d.servers[from].Name)
		if to < 0 {
			return
		}
		room := most*d.servers[to].Capacity - d.servers[to].load
		moved := d.giveTo(from, to, min(excess, room))
		if moved <= 0 {
			return
		}
		excess -= moved
	}
}

// minMoveRate is the load in requests a second below which a range is not worth a move: a tenth of what a server gets.
const minMoveRate = 1.5

// giveTo moves a range, or a block cut out of one, with at most the wanted load, and returns the load that it moves.
func (d *draft) giveTo(from, to int, wanted float64) float64 {
	if wanted < minMoveRate {
		return 0
	}
	s := &d.servers[from]
	order := slices.Clone(s.ranges)
	slices.SortStableFunc(order, func(x, y int) int {
		return cmp.Compare(d.density(&d.ranges[y]), d.density(&d.ranges[x]))
	})
	for _, i := range order {
		r := &d.ranges[i]
		if r.touched || r.load < minMoveRate || d.settling(r.Range) {
			continue
		}
		if r.load <= wanted {
			r.touched = true
			d.move(r.First, s.Name, to, r.load)
			return r.load
		}
		if load := d.cut(r, to, wanted); load > 0 {
			return load
		}
	}
	return 0
}

func (d *draft) density(r *keyRange) float64 {
	return r.load / (float64(r.Last-r.First) + 1)
}

// cut moves a block of about the wanted load that begins or ends with the range, the one of the two with fewer keys.
func (d *draft) cut(r *keyRange, to int, wanted float64) float64 {
	g := d.keyWidth()
	samples := d.samples(r.Range)
	head, headLoad := headBlock(samples, r.Range, g, wanted)
	tail, tailLoad := tailBlock(samples, r.Range, g, wanted)
	switch {
	case headLoad < minMoveRate && tailLoad < minMoveRate:
		return 0
	case tailLoad < minMoveRate || headLoad >= minMoveRate && head-r.First <= r.Last-tail:
		d.plan.Splits = append(d.plan.Splits, head)
		d.move(r.First, r.owner, to, headLoad)
		r.First, r.load, r.cut = head, r.load-headLoad, true
		return headLoad
	default:
		d.plan.Splits = append(d.plan.Splits, tail)
		d.move(tail, r.owner, to, tailLoad)
		r.Last, r.load, r.cut = tail-1, r.load-tailLoad, true
		return tailLoad
	}
}

// headBlock returns the position before which the first keys of the range have up to the wanted load, and that load.
func headBlock(samples []gw.Arrival, r gw.Range, g gw.Position, wanted float64) (end gw.Position, load float64) {
	for i := 0; i < len(samples); {
		key := samples[i].Position / g
		weight := 0.0
		for i < len(samples) && samples[i].Position/g == key {
			weight += samples[i].Weight
			i++
		}
		next := (key + 1) * g
		if load+weight > wanted || next > r.Last || next <= r.First {
			break
		}
		load += weight
		end = next
	}
	return end, load
}

// tailBlock returns the position from which the last keys of the range have up to the wanted load, and that load.
func tailBlock(samples []gw.Arrival, r gw.Range, g gw.Position, wanted float64) (first gw.Position, load float64) {
	for i := len(samples) - 1; i >= 0; {
		key := samples[i].Position / g
		weight := 0.0
		for i >= 0 && samples[i].Position/g == key {
			weight += samples[i].Weight
			i--
		}
		if load+weight > wanted || key*g <= r.First {
			break
		}
		load += weight
		first = key * g
	}
	return first, load
}

// merge joins neighbours with one owner in the own cell and hardly any load, while there are more ranges than wanted.
func (d *draft) merge() {
	excess := len(d.ranges) + len(d.plan.Splits) - d.p.s.mostRanges*len(d.up)
	for i := 1; i < len(d.ranges) && excess > 0; i++ {
		a, b := &d.ranges[i-1], &d.ranges[i]
		k, known := d.index[a.owner]
		if a.owner != b.owner || !known || !d.servers[k].own || d.servers[k].State != gw.ServerUp {
			continue
		}
		if a.busy(d) || b.busy(d) || a.load+b.load > 2*minMoveRate {
			continue
		}
		a.touched, b.touched = true, true
		d.plan.Merges = append(d.plan.Merges, b.First)
		excess--
	}
}

// busy reports whether the plan, or a move that is not seen yet, changes the range.
func (r *keyRange) busy(d *draft) bool {
	return r.touched || r.cut || d.pending(r.First)
}
