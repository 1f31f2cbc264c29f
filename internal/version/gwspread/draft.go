package gwspread

import (
	"cmp"
	"slices"
	"sort"

	gw "github.com/geraniumworks/geraniumworks"
)

// server is a server of the view with the effects of the plan so far.
type server struct {
	gw.ServerView
	ownCell bool
	load    float64
	ranges  []int
}

func (s *server) utilisation() float64 {
	return s.load / max(s.Capacity, minCapacity)
}

// minCapacity keeps a server without known capacity from looking infinitely loaded.
const minCapacity = 0.1

// keyRange is a range of the assignment.
type keyRange struct {
	gw.Range
	owner gw.ServerName
	load  float64
	// inPlan is set when the plan moves the range or joins it to another, cut when it has split blocks off. What is left
	// of a range that was cut can be cut again or moved, but not joined.
	inPlan bool
	shrunk bool
}

// decision is a plan in progress.
type decision struct {
	policy  *Policy
	view    *gw.PlacementView
	ranges  []keyRange
	servers []server
	index   map[gw.ServerName]int
	// up holds the indices of the servers that may get ranges, ordered by name.
	up         []int
	allUnowned bool
	// meanUtilisation is the utilisation of all servers that are up together.
	meanUtilisation float64
	plan            gw.Plan
}

func (p *Policy) newDecision(v *gw.PlacementView) *decision {
	d := &decision{policy: p, view: v, index: make(map[gw.ServerName]int, len(v.Servers)), allUnowned: true}
	for _, sv := range v.Servers {
		d.index[sv.Name] = len(d.servers)
		s := server{ServerView: sv, ownCell: sv.DataCentre == v.DataCentre}
		if !s.ownCell {
			s.load = sv.Load
		}
		d.servers = append(d.servers, s)
	}
	for i, s := range d.servers {
		if s.State == gw.ServerUp {
			d.up = append(d.up, i)
		}
	}
	d.readRanges()
	d.adjustForUnsettledMoves()
	load, capacity := 0.0, 0.0
	for i := range d.servers {
		load += max(d.servers[i].load, 0)
	}
	for _, k := range d.up {
		capacity += d.servers[k].Capacity
	}
	d.meanUtilisation = load / max(capacity, minCapacity)
	return d
}

func (d *decision) readRanges() {
	a := d.view.Assignment
	for i, r := range a.Ranges {
		span := a.Span(i)
		d.ranges = append(d.ranges, keyRange{Range: span, owner: r.Owner, load: d.loadOf(span)})
		d.allUnowned = d.allUnowned && r.Owner == ""
		if k, ok := d.index[r.Owner]; ok {
			s := &d.servers[k]
			s.ranges = append(s.ranges, i)
			if s.ownCell {
				// The requests of the window count where their keys are now: reported per server, the load of a key would
				// stay with its former owner for as long as the window.
				s.load += d.ranges[i].load
			}
		}
	}
}

// keyWidth returns how many positions a single key has.
func (d *decision) keyWidth() gw.Position {
	return gw.Position(max(d.view.Granularity, 1))
}

// samples returns the arrivals in a span.
func (d *decision) samples(span gw.Range) []gw.Arrival {
	all := d.view.Arrivals.Samples
	from := sort.Search(len(all), func(i int) bool { return all[i].Position >= span.First })
	to := sort.Search(len(all), func(i int) bool { return all[i].Position > span.Last })
	return all[from:to]
}

func (d *decision) loadOf(span gw.Range) float64 {
	load := 0.0
	for _, s := range d.samples(span) {
		load += s.Weight
	}
	return load
}

// adjustForUnsettledMoves corrects the loads by the moves that they do not show yet. These are the moves
// that are not committed and, at servers of other cells, those within the window over which loads are reported.
func (d *decision) adjustForUnsettledMoves() {
	now := d.view.Now
	d.policy.unsettledMoves = slices.DeleteFunc(d.policy.unsettledMoves, func(s unsettledMove) bool {
		if !s.movedAt.IsZero() {
			return now.Sub(s.movedAt) >= d.policy.cfg.settlingTime
		}
		return now.Sub(s.proposedAt) >= d.policy.cfg.moveTimeout
	})
	for i := range d.policy.unsettledMoves {
		s := &d.policy.unsettledMoves[i]
		if s.movedAt.IsZero() && d.view.Assignment.At(s.first).Owner == s.to {
			s.movedAt = now
		}
		if s.movedAt.IsZero() {
			d.addLoad(s.from, -s.load)
			d.addLoad(s.to, s.load)
		} else if k, ok := d.index[s.to]; ok && !d.servers[k].ownCell {
			d.servers[k].load += s.load * (1 - now.Sub(s.movedAt).Seconds()/d.policy.cfg.settlingTime.Seconds())
		}
	}
}

func (d *decision) addLoad(name gw.ServerName, load float64) {
	if k, ok := d.index[name]; ok {
		d.servers[k].load += load
	}
}

// move adds the move of a span, which is a range or was cut out of one, to the plan.
func (d *decision) move(first gw.Position, from gw.ServerName, to int, load float64) {
	name := d.servers[to].Name
	d.plan.Moves = append(d.plan.Moves, gw.Move{First: first, From: from, To: name})
	d.addLoad(from, -load)
	d.addLoad(name, load)
	if !d.pending(first) {
		d.policy.unsettledMoves = append(d.policy.unsettledMoves, unsettledMove{
			first: first, from: from, to: name, load: load, proposedAt: d.view.Now,
		})
	}
}

// pending reports whether a move of the range that starts at first is proposed and not seen yet.
func (d *decision) pending(first gw.Position) bool {
	return slices.ContainsFunc(d.policy.unsettledMoves, func(s unsettledMove) bool {
		return s.first == first && s.movedAt.IsZero()
	})
}

// settling reports whether a move that starts in the span is not fully visible in the loads.
func (d *decision) settling(span gw.Range) bool {
	return slices.ContainsFunc(d.policy.unsettledMoves, func(s unsettledMove) bool { return span.Contains(s.first) })
}

// leastUtilised returns the server that is up and would be least utilised with more load, other than except, or -1.
func (d *decision) leastUtilised(load float64, except gw.ServerName) int {
	best, lowest := -1, 0.0
	for _, k := range d.up {
		s := &d.servers[k]
		if s.Name == except {
			continue
		}
		if utilisation := (s.load + load) / max(s.Capacity, minCapacity); best < 0 || utilisation < lowest {
			best, lowest = k, utilisation
		}
	}
	return best
}

// assignInitial assigns a key space without any owner: each server that is up gets the same number of ranges,
// assigned in turn so that neighbours have different owners.
func (d *decision) assignInitial() {
	if !d.readyToStart() {
		return
	}
	up := slices.Clone(d.up)
	slices.SortFunc(up, func(x, y int) int { return cmp.Compare(d.servers[x].Name, d.servers[y].Name) })
	g := uint64(d.keyWidth())
	total := uint64(len(up) * d.policy.cfg.initialRangesPerServer)
	step := max(^uint64(0)/total/g, 1) * g
	for i := range total {
		first := gw.Position(i * step)
		if i > 0 && uint64(first)/step != i {
			break
		}
		if i > 0 {
			d.plan.Splits = append(d.plan.Splits, first)
		}
		// Each round begins one server later, so that the same two servers are neighbours only once.
		round := int(i) / len(up)
		k := up[(int(i)+round)%len(up)]
		d.plan.Moves = append(d.plan.Moves, gw.Move{First: first, To: d.servers[k].Name})
	}
}

// readyToStart reports whether the first assignment can be made: no server is new, and none came up for a while.
// After startWait it no longer waits. Hosts and servers start at about the same time, and a server that is
// missing at the start gets keys only when there is load to move.
func (d *decision) readyToStart() bool {
	p, now := d.policy, d.view.Now
	if p.unownedSince.IsZero() {
		p.unownedSince = now
	}
	if p.upServers != len(d.up) {
		p.upServers, p.upSince = len(d.up), now
	}
	if now.Sub(p.unownedSince) >= p.cfg.startWait {
		return true
	}
	waiting := slices.ContainsFunc(d.servers, func(s server) bool { return s.State == gw.ServerNew })
	return !waiting && now.Sub(p.upSince) >= p.cfg.startQuiet
}

// reassignUrgent gives new owners to ranges that must leave theirs at once: ranges without owner if the cell leads, and
// those of expired and leaving servers of the cell.
func (d *decision) reassignUrgent() {
	var urgent []int
	for i := range d.ranges {
		r := &d.ranges[i]
		k, inView := d.index[r.owner]
		if r.owner == "" && d.view.Lead || inView && d.mustLeave(&d.servers[k]) {
			urgent = append(urgent, i)
		}
	}
	slices.SortStableFunc(urgent, func(x, y int) int { return cmp.Compare(d.ranges[y].load, d.ranges[x].load) })
	for _, i := range urgent {
		r := &d.ranges[i]
		// Ranges without load are spread too, as if each had a little.
		load := max(r.load, minCapacity)
		if to := d.leastUtilised(load, r.owner); to >= 0 {
			r.inPlan = true
			d.move(r.First, r.owner, to, load)
		}
	}
}

func (d *decision) mustLeave(s *server) bool {
	return s.ownCell && (s.State == gw.ServerExpired || s.State == gw.ServerLeaving)
}
