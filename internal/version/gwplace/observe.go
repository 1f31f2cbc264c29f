package gwplace

import (
	"slices"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// maxSamples is the number of load reports of a range that the median is taken of. Two wrong reports in a row do not
// change the median of five.
const maxSamples = 5

// loadRetention is how long the load of a range is kept after its last report. Reports stop when the range moves to a
// cell whose loads the controller does not get.
const loadRetention = time.Hour

// keySpaceWidth is the number of positions of a key space.
const keySpaceWidth = float64(1<<63) * 2

// rangeState is a range of the last view with the state that is kept between views. Times are durations since
// Policy.origin to save memory, since there may be 40,000 ranges. Zero is before any event.
type rangeState struct {
	first, last gw.Position
	owner       gw.ServerName
	// share is the share of all positions in the range. Since keys are hashed it is also its share of the keys.
	share float64
	// load is the estimate in requests a second.
	load float64
	// hasLoad is set when the load need not be estimated from those of other ranges.
	hasLoad      bool
	samples      [maxSamples]float32
	samplesTaken int32
	// loadUpdatedAt is when the load was last reported, or carried over from a range with other bounds.
	loadUpdatedAt time.Duration
	// movedAt is when a change of owner was first seen, changedAt when one of the bounds was.
	movedAt, changedAt time.Duration
	coolSince          time.Duration
	// server is the index of the owner in decision.servers, -1 when the view does not have it.
	server int32
	// inPlan is set when the plan already changes the range.
	inPlan bool
}

// server is a server of the view with the effects of the plan so far.
type server struct {
	gw.ServerView
	history *serverHistory
	ownCell bool
	// stateBefore is the state in the last view, in which moves seen now were decided.
	stateBefore gw.ServerState
	// limit is the highest load that the server can take now: its capacity reduced by its warmup.
	limit float64
	// load is the sum of the loads of the ranges, share the owned share of the keys. Both include the plan so far.
	load, share float64
	// fair is the load that the server would have if all were at the same utilisation.
	fair float64
	// largestIndivisible is the highest load of an owned range that has the minimum width.
	largestIndivisible float64
	ranges             []int
	// reportedLoad and reportedShare sum over the ranges with a load report.
	reportedLoad, reportedShare float64
	settling                    bool
	inconsistent                bool
	// quota and assigned are the wanted and the actual weight of ranges while distribute runs.
	quota, assigned float64
}

// decision is the working state of one call of Policy.Place.
type decision struct {
	policy *Policy
	view   *gw.PlacementView
	now    time.Time
	// elapsed is the time since Policy.origin, which is an hour before the first view.
	elapsed time.Duration
	ranges  []rangeState
	servers []server
	index   map[gw.ServerName]int
	// up holds the indices of the servers that may get ranges.
	up           []int
	totalLoad    float64
	meanCapacity float64
	ownCellShare float64
	// hot are the positions of the own cell that may become ranges of their own, in order.
	hot  []hotInRange
	plan gw.Plan
}

// observe updates the state of ranges and servers from a view and returns a decision with an empty plan.
func (p *Policy) observe(v *gw.PlacementView) *decision {
	if p.origin.IsZero() {
		p.origin = v.Now.Add(-time.Hour)
	}
	d := &decision{
		policy: p, view: v, now: v.Now, elapsed: v.Now.Sub(p.origin),
		index: make(map[gw.ServerName]int, len(v.Servers)),
	}
	d.readServers()
	d.readRanges()
	d.readLoads()
	d.readHot()
	return d
}

func (d *decision) readServers() {
	d.servers = make([]server, len(d.view.Servers))
	for i, sv := range d.view.Servers {
		s := &d.servers[i]
		s.ServerView = sv
		s.ownCell = sv.DataCentre == d.view.DataCentre
		s.Capacity = max(s.Capacity, 1e-9)
		s.limit = s.Capacity * float64(min(max(sv.WarmPercent, 0), 100)) / 100
		m := d.policy.history[sv.Name]
		if m == nil {
			m = &serverHistory{}
			d.policy.history[sv.Name] = m
		}
		s.history, m.lastSeen = m, d.now
		s.stateBefore, m.state = m.state, sv.State
		if sv.State != gw.ServerSuspect {
			m.suspectSince = time.Time{}
		} else if m.suspectSince.IsZero() {
			m.suspectSince = d.now
		}
		if sv.State == gw.ServerUp {
			d.up = append(d.up, i)
			d.meanCapacity += s.Capacity
		}
		d.index[sv.Name] = i
	}
	if len(d.up) > 0 {
		d.meanCapacity /= float64(len(d.up))
	}
	if len(d.policy.history) > 2*len(d.servers)+16 {
		for name, m := range d.policy.history {
			if !m.lastSeen.Equal(d.now) {
				delete(d.policy.history, name)
			}
		}
	}
}

// readRanges carries the state of ranges over to the assignment of the view.
func (d *decision) readRanges() {
	p := d.policy
	next := p.ranges
	if !d.sameBounds() {
		next = d.rangesWithNewBounds()
	}
	for i, r := range d.view.Assignment.Ranges {
		st := &next[i]
		if st.owner != r.Owner {
			d.observeMove(st, r.Owner)
		}
		st.inPlan = false
		if st.server >= 0 && int(st.server) < len(d.servers) && d.servers[st.server].Name == r.Owner {
			continue
		}
		st.server = -1
		if k, ok := d.index[r.Owner]; ok {
			st.server = int32(k)
		}
	}
	p.ranges, d.ranges = next, next
	for i := range next {
		if k := next[i].server; k >= 0 {
			s := &d.servers[k]
			s.share += next[i].share
			if s.ownCell {
				s.ranges = append(s.ranges, i)
				d.ownCellShare += next[i].share
			}
		}
	}
}

func (d *decision) sameBounds() bool {
	return slices.EqualFunc(d.policy.ranges, d.view.Assignment.Ranges, func(st rangeState, r gw.OwnedRange) bool {
		return st.first == r.First
	})
}

// rangesWithNewBounds carries the state of ranges over to an assignment with other bounds.
func (d *decision) rangesWithNewBounds() []rangeState {
	old, j := d.policy.ranges, 0
	next := make([]rangeState, 0, len(d.view.Assignment.Ranges))
	for i, r := range d.view.Assignment.Ranges {
		span := d.view.Assignment.Span(i)
		for j+1 < len(old) && old[j+1].first <= span.First {
			j++
		}
		var st rangeState
		switch {
		case len(old) == 0:
			st = rangeState{first: span.First, last: span.Last, owner: r.Owner, movedAt: d.elapsed, changedAt: d.elapsed}
		case old[j].first == span.First && old[j].last == span.Last:
			st = old[j]
		default:
			st = d.policy.estimateRange(old, j, span)
			st.changedAt = d.elapsed
		}
		st.share = width(st.first, st.last) / keySpaceWidth
		next = append(next, st)
	}
	return next
}

// observeMove records that a range has another owner than in the last view.
func (d *decision) observeMove(st *rangeState, to gw.ServerName) {
	if k, ok := d.index[st.owner]; ok {
		d.policy.churn.recordMove(st.first, d.now, st.share, d.servers[k].ownCell, d.servers[k].stateBefore == gw.ServerUp)
	}
	if m, ok := d.policy.pending[st.first]; ok {
		if m.to == to {
			d.policy.failedRounds = 0
		}
		delete(d.policy.pending, st.first)
	}
	st.owner = to
	st.movedAt = d.elapsed
	st.samplesTaken = 0
}

// estimateRange estimates the state of a range with new bounds from the ranges that covered it. It counts the rates of
// hot positions in full and divides the remaining load by width.
func (p *Policy) estimateRange(old []rangeState, j int, span gw.Range) rangeState {
	st := rangeState{
		first: span.First, last: span.Last, owner: old[j].owner,
		movedAt: old[j].movedAt, loadUpdatedAt: old[j].loadUpdatedAt,
	}
	for ; j < len(old) && old[j].first <= span.Last; j++ {
		rest, inside := old[j].load, 0.0
		from, _ := slices.BinarySearch(p.hotOrder, old[j].first)
		for ; from < len(p.hotOrder) && p.hotOrder[from] <= old[j].last; from++ {
			rate := p.hot[p.hotOrder[from]].rate
			rest -= rate
			if span.Contains(p.hotOrder[from]) {
				inside += rate
			}
		}
		part := width(max(span.First, old[j].first), min(span.Last, old[j].last))
		st.load += inside + max(rest, 0)*part/width(old[j].first, old[j].last)
		st.movedAt = max(st.movedAt, old[j].movedAt)
	}
	return st
}

// readLoads reads the load reports of ranges that are not settling, and estimates missing loads.
func (d *decision) readLoads() {
	for i := range d.ranges {
		r := &d.ranges[i]
		report, ok := d.view.RangeLoads[r.first]
		settling := r.samplesTaken == 0 && r.load > 0 && d.settling(r)
		remembered := d.elapsed-r.loadUpdatedAt < loadRetention
		if r.server >= 0 {
			s := &d.servers[r.server]
			s.settling = s.settling || d.settling(r)
			if ok {
				s.reportedLoad += report
				s.reportedShare += r.share
			}
			ok = ok || (s.ownCell && s.Load > 0)
		}
		r.hasLoad = ok || settling || remembered
		if settling || !ok {
			continue
		}
		r.loadUpdatedAt = d.elapsed
		r.samples[r.samplesTaken%maxSamples] = float32(max(report, 0))
		r.samplesTaken++
		r.load = median(r.samples, min(int(r.samplesTaken), maxSamples))
	}
	d.estimateMissing()
	for i := range d.ranges {
		r := &d.ranges[i]
		d.totalLoad += r.load
		if r.server >= 0 {
			s := &d.servers[r.server]
			s.load += r.load
			if hasMinWidth(r, max(d.view.Granularity, 1)) {
				s.largestIndivisible = max(s.largestIndivisible, r.load)
			}
		}
	}
	for i := range d.servers {
		s := &d.servers[i]
		if !s.ownCell && !s.settling && s.reportedShare == 0 {
			s.load = max(s.load, s.Load) // The retained loads of its ranges may be out of date.
		}
		higher := max(s.reportedLoad, s.Load)
		s.inconsistent = !s.settling && s.reportedLoad > 0 && s.reportedShare > s.share*0.99 &&
			higher-min(s.reportedLoad, s.Load) > higher/2
	}
}

// estimateMissing estimates the load of ranges without report from their width: as a part of the server's load, or from
// the mean load when the server's load is missing too. Controllers of other cells may not get the loads of a cell.
func (d *decision) estimateMissing() {
	var load, share float64
	for i := range d.ranges {
		if d.ranges[i].hasLoad {
			load += d.ranges[i].load
			share += d.ranges[i].share
		}
	}
	mean := 0.0
	if share > 0 {
		mean = load / share
	}
	for i := range d.ranges {
		r := &d.ranges[i]
		if r.hasLoad {
			continue
		}
		r.load = mean * r.share
		if r.server >= 0 {
			s := &d.servers[r.server]
			if missing := s.share - s.reportedShare; s.Load > s.reportedLoad && missing > 0 {
				r.load = (s.Load - s.reportedLoad) * r.share / missing
			}
		}
	}
}

// settling reports whether the loads reported for r may still include those from before a change.
func (d *decision) settling(r *rangeState) bool {
	return d.elapsed-max(r.movedAt, r.changedAt) < d.policy.cfg.settlingTime
}

func (d *decision) allUnowned() bool {
	return !slices.ContainsFunc(d.ranges, func(r rangeState) bool { return r.owner != "" })
}

func width(first, last gw.Position) float64 {
	return float64(last-first) + 1
}

func median(samples [maxSamples]float32, n int) float64 {
	s := samples[:n]
	for i := 1; i < n; i++ {
		for j := i; j > 0 && s[j] < s[j-1]; j-- {
			s[j], s[j-1] = s[j-1], s[j]
		}
	}
	return float64(s[n/2])
}
