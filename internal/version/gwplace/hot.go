package gwplace

import (
	"slices"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// maxMergesPerView bounds the merges proposed in one view.
const maxMergesPerView = 32

// hotHistory is the state of a position that was reported as hot.
type hotHistory struct {
	// rate is the mean of the recent reports, in requests a second.
	rate     float64
	views    int
	lastSeen time.Time
}

// minIsolateShare is the part of isolateShare from which a position of an overloaded server is isolated and moved. A
// position has almost no keys, so moving hot positions first keeps the churn low. mergeBelowShare is the part of
// isolateShare below which a range of one position counts as cool.
const (
	minIsolateShare = 0.25
	mergeBelowShare = 0.125
)

// hotInRange is a hot position in a range of the own cell.
type hotInRange struct {
	position   gw.Position
	rate       float64
	rangeIndex int
}

func (d *decision) readHot() {
	p := d.policy
	for _, h := range d.view.Hot {
		m := p.hot[h.Position]
		if m == nil {
			m = &hotHistory{rate: h.RequestsPerSecond}
			p.hot[h.Position] = m
		}
		m.rate += (h.RequestsPerSecond - m.rate) / 4
		m.views++
		m.lastSeen = d.now
	}
	p.hotOrder = p.hotOrder[:0]
	for pos, m := range p.hot {
		if !m.lastSeen.Equal(d.now) {
			m.views = 0
		}
		if d.now.Sub(m.lastSeen) > p.cfg.mergeAfter {
			delete(p.hot, pos)
			continue
		}
		p.hotOrder = append(p.hotOrder, pos)
	}
	slices.Sort(p.hotOrder)
	for _, pos := range p.hotOrder {
		m := p.hot[pos]
		i := d.view.Assignment.Index(pos)
		if m.views >= p.cfg.consecutiveViews && m.rate >= p.cfg.isolateShare*minIsolateShare*d.meanCapacity &&
			d.ownedByLiveServer(&d.ranges[i]) {
			d.hot = append(d.hot, hotInRange{pos, m.rate, i})
		}
	}
}

// isolateHot makes positions that several views report above isolateShare ranges of their own.
func (d *decision) isolateHot() {
	for _, h := range d.hot {
		if h.rate >= d.policy.cfg.isolateShare*d.meanCapacity &&
			d.elapsed-d.ranges[h.rangeIndex].changedAt >= d.policy.cfg.settlingTime {
			d.isolate(h)
		}
	}
}

// isolate makes a position a range of its own and returns that range.
func (d *decision) isolate(h hotInRange) (gw.Range, bool) {
	g := max(d.view.Granularity, 1)
	r := &d.ranges[h.rangeIndex]
	if r.inPlan || d.isPending(r) || hasMinWidth(r, g) || len(d.ranges)+len(d.plan.Splits)+2 > maxMeanRanges*len(d.up) {
		return gw.Range{}, false
	}
	first := uint64(h.position) / g * g
	splits := d.isolatingSplits(r, first, g)
	if len(splits) == 0 {
		return gw.Range{}, false
	}
	r.inPlan = true
	d.plan.Splits = append(d.plan.Splits, splits...)
	cut := gw.Range{First: r.first, Last: r.last}
	for _, at := range splits {
		if at <= h.position {
			cut.First = at
		} else {
			cut.Last = at - 1
		}
	}
	return cut, true
}

// isolatingSplits returns the bounds that make [first, first+g) a range of its own. It leaves out bounds that would
// make a part narrower than g.
func (d *decision) isolatingSplits(r *rangeState, first, g uint64) []gw.Position {
	var splits []gw.Position
	if first > uint64(r.first) && first-uint64(r.first) >= g && uint64(r.last)-first >= g-1 {
		splits = append(splits, gw.Position(first))
	}
	end := first + g
	if end > first && end <= uint64(r.last) && uint64(r.last)-end >= g-1 && end-uint64(r.first) >= g {
		splits = append(splits, gw.Position(end))
	}
	return splits
}

// hasMinWidth reports whether r has the minimum width, as the range of an isolated hot position has.
func hasMinWidth(r *rangeState, g uint64) bool {
	return uint64(r.last-r.first) == g-1
}

// mergeCooled merges ranges of positions that are no longer hot into a neighbour. When no neighbour has the same owner,
// the range first moves to the owner of the previous range.
func (d *decision) mergeCooled() {
	g := max(d.view.Granularity, 1)
	for i := range d.ranges {
		r := &d.ranges[i]
		if !hasMinWidth(r, g) {
			continue
		}
		if r.load >= d.policy.cfg.isolateShare*mergeBelowShare*d.meanCapacity || d.settling(r) {
			r.coolSince = 0
			continue
		}
		if r.coolSince == 0 {
			r.coolSince = d.elapsed
		}
		if d.elapsed-r.coolSince < d.policy.cfg.mergeAfter || r.inPlan || !d.ownedByLiveServer(r) {
			continue
		}
		d.mergeCooledRange(i)
	}
}

func (d *decision) mergeCooledRange(i int) {
	merged := i > 0 && d.mergeWithPrevious(i)
	// Isolating the position also made the bound after it, unless there are few ranges.
	if i+1 < len(d.ranges) && (!merged || len(d.ranges) > initialRangesPerServer*len(d.up)) {
		r := &d.ranges[i]
		touched := r.inPlan
		r.inPlan = false
		if !d.mergeWithPrevious(i + 1) {
			r.inPlan = touched
		} else {
			merged = true
		}
	}
	r := &d.ranges[i]
	if merged || i == 0 || !d.mayMove(r) {
		return
	}
	k := int(d.ranges[i-1].server)
	if k < 0 || k == int(r.server) || d.servers[k].State != gw.ServerUp || d.servers[k].load+r.load > d.servers[k].limit {
		return
	}
	if _, pending := d.policy.pending[r.first]; pending {
		return
	}
	d.policy.pending[r.first] = pendingMove{
		from: r.owner, to: d.servers[k].Name, last: r.last, since: d.now, rebalancing: true,
	}
	d.policy.churn.addProposed(r.first, d.now, r.share)
	d.addWholeMove(i, k)
}

// mergeWithPrevious merges range i into the one before it if both have the same owner in the own cell and neither
// changes.
func (d *decision) mergeWithPrevious(i int) bool {
	a, b := &d.ranges[i-1], &d.ranges[i]
	if a.owner != b.owner || a.inPlan || b.inPlan || !d.ownedByLiveServer(b) || d.isPending(a) || d.isPending(b) {
		return false
	}
	a.inPlan, b.inPlan = true, true
	d.plan.Merges = append(d.plan.Merges, b.first)
	return true
}

func (d *decision) isPending(r *rangeState) bool {
	_, ok := d.policy.pending[r.first]
	return ok
}

// mergeExcessRanges merges neighbours with the same owner when there are too many ranges, those with the least load
// first.
func (d *decision) mergeExcessRanges() {
	if len(d.ranges) <= maxMeanRanges*len(d.up) {
		return
	}
	var pairs []int
	for i := 1; i < len(d.ranges); i++ {
		if d.ranges[i].owner == d.ranges[i-1].owner && d.ownedByLiveServer(&d.ranges[i]) {
			pairs = append(pairs, i)
		}
	}
	load := func(i int) float64 { return d.ranges[i-1].load + d.ranges[i].load }
	slices.SortFunc(pairs, func(a, b int) int {
		if load(a) < load(b) {
			return -1
		}
		return 1
	})
	merges := 0
	for _, i := range pairs {
		if merges < maxMergesPerView && d.mergeWithPrevious(i) {
			merges++
		}
	}
}
