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
	own    bool
	load   float64
	ranges []int
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
	// touched is set when the plan moves the range or joins it to another, cut when it has split blocks off. What is left
	// of a range that was cut can be cut again or moved, but not joined.
	touched bool
	cut     bool
}

// draft is a plan in progress.
type draft struct {
	p       *Policy
	view    *gw.PlacementView
	ranges  []keyRange
	servers []server
	index   map[gw.ServerName]int
	// up holds the indices of the servers that may get ranges, ordered by name.
	up      []int
	unowned bool
	// level is the utilisation of all servers that are up together.
	level float64
	plan  gw.Plan
}

func (p *Policy) read(v *gw.PlacementView) *draft {
	d := &draft{p: p, view: v, index: make(map[gw.ServerName]int, len(v.Servers)), unowned: true}
	for _, sv := range v.Servers {
		d.index[sv.Name] = len(d.servers)
		s := server{ServerView: sv, own: sv.DataCentre == v.DataCentre}
		if !s.own {
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
	d.readShifts()
	load, capacity := 0.0, 0.0
	for i := range d.servers {
		load += max(d.servers[i].load, 0)
	}
	for _, k := range d.up {
		capacity += d.servers[k].Capacity
	}
	d.level = load / max(capacity, minCapacity)
	return d
}

func (d *draft) readRanges() {
	a := d.view.Assignment
	for i, r := range a.Ranges {
		span := a.Span(i)
		d.ranges = append(d.ranges, keyRange{Range: span, owner: r.Owner, load: d.loadOf(span)})
		d.unowned = d.unowned && r.Owner == ""
		if k, ok := d.index[r.Owner]; ok {
			s := &d.servers[k]
			s.ranges = append(s.ranges, i)
			if s.own {
				// The requests of the window count where their keys are now: reported per server, the load of a key would
				// stay with its former owner for as long as the window.
				s.load += d.ranges[i].load
			}
		}
	}
}

// keyWidth returns how many positions a single key has.
func (d *draft) keyWidth() gw.Position {
	return gw.Position(max(d.view.Granularity, 1))
}

// samples returns the arrivals in a span.
func (d *draft) samples(span gw.Range) []gw.Arrival {
	all := d.view.Arrivals.Samples
	from := sort.Search(len(all), func(i int) bool { return all[i].Position >= span.First })
	to := sort.Search(len(all), func(i int) bool { return all[i].Position > span.Last })
	return all[from:to]
}

func (d *draft) loadOf(span gw.Range) float64 {
	load := 0.0
	for _, s := range d.samples(span) {
		load += s.Weight
	}
	return load
}

// readShifts corrects the loads by the moves that they do not show yet: those that are not committed, and at servers of
// other cells, which report the requests of a window, those of the length of the window.
func (d *draft) readShifts() {
	now := d.view.Now
	d.p.shifts = slices.DeleteFunc(d.p.shifts, func(s shift) bool {
		if !s.movedAt.IsZero() {
			return now.Sub(s.movedAt) >= d.p.s.settle
		}
		return now.Sub(s.proposedAt) >= d.p.s.moveTimeout
	})
	for i := range d.p.shifts {
		s := &d.p.shifts[i]
		if s.movedAt.IsZero() && d.view.Assignment.At(s.first).Owner == s.to {
			s.movedAt = now
		}
		if s.movedAt.IsZero() {
			d.addLoad(s.from, -s.load)
			d.addLoad(s.to, s.load)
		} else if k, ok := d.index[s.to]; ok && !d.servers[k].own {
			d.servers[k].load += s.load * (1 - now.Sub(s.movedAt).Seconds()/d.p.s.settle.Seconds())
		}
	}
}

func (d *draft) addLoad(name gw.ServerName, load float64) {
	if k, ok := d.index[name]; ok {
		d.servers[k].load += load
	}
}

// move adds the move of a span, which is a range or was cut out of one, to the plan.
func (d *draft) move(first gw.Position, from gw.ServerName, to int, load float64) {
	name := d.servers[to].Name
	d.plan.Moves = append(d.plan.Moves, gw.Move{First: first, From: from, To: name})
	d.addLoad(from, -load)
	d.addLoad(name, load)
	if !d.pending(first) {
		d.p.shifts = append(d.p.shifts, shift{
			first: first, from: from, to: name, load: load, proposedAt: d.view.Now,
		})
	}
}

// pending reports whether a move of the range that starts at first is proposed and not seen yet.
func (d *draft) pending(first gw.Position) bool {
	return slices.ContainsFunc(d.p.shifts, func(s shift) bool { return s.first == first && s.movedAt.IsZero() })
}

// settling reports whether a move that starts in the span is not fully visible in the loads.
func (d *draft) settling(span gw.Range) bool {
	return slices.ContainsFunc(d.p.shifts, func(s shift) bool { return span.Contains(s.first) })
}

// least returns the server that is up and would be least utilised with more load, other than except, or -1.
func (d *draft) least(load float64, except gw.ServerName) int {
	return d.leastOf(d.up, load, except)
}

// leastOf is least among some servers.
func (d *draft) leastOf(some []int, load float64, except gw.ServerName) int {
	best, lowest := -1, 0.0
	for _, k := range some {
		s := &d.servers[k]
		if s.Name == except {
			continue
		}
		if level := (s.load + load) / max(s.Capacity, minCapacity); best < 0 || level < lowest {
			best, lowest = k, level
		}
	}
	return best
}

// start assigns a key space without any owner: each server that is up gets ranges in proportion to its capacity, dealt
// out in turn so that neighbours have different owners.
func (d *draft) start() {
	if !d.complete() {
		return
	}
	up := slices.Clone(d.up)
	slices.SortFunc(up, func(x, y int) int { return cmp.Compare(d.servers[x].Name, d.servers[y].Name) })
	g := uint64(d.keyWidth())
	total := uint64(len(up) * d.p.s.rangesPerServer)
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

// complete reports whether the servers of a key space that is assigned for the first time are all known: none of them
// is new, and no further one came up for a while. Hosts and servers start at about the same time, and a server that is
// missing at the start gets keys only when there is load to move.
func (d *draft) complete() bool {
	p, now := d.p, d.view.Now
	if p.unowned.IsZero() {
		p.unowned = now
	}
	if p.upServers != len(d.up) {
		p.upServers, p.upSince = len(d.up), now
	}
	if now.Sub(p.unowned) >= p.s.startWait {
		return true
	}
	waiting := slices.ContainsFunc(d.servers, func(s server) bool { return s.State == gw.ServerNew })
	return !waiting && now.Sub(p.upSince) >= p.s.startQuiet
}

// replace gives new owners to ranges that must leave theirs at once: ranges without owner if the cell leads, and
// those of expired and leaving servers of the cell.
func (d *draft) replace() {
	var urgent []int
	for i := range d.ranges {
		r := &d.ranges[i]
		k, known := d.index[r.owner]
		if r.owner == "" && d.view.Lead || known && d.mustLeave(&d.servers[k]) {
			urgent = append(urgent, i)
		}
	}
	slices.SortStableFunc(urgent, func(x, y int) int { return cmp.Compare(d.ranges[y].load, d.ranges[x].load) })
	for _, i := range urgent {
		r := &d.ranges[i]
		// Ranges without load are spread too, as if each had a little.
		load := max(r.load, minCapacity)
		if to := d.least(load, r.owner); to >= 0 {
			r.touched = true
			d.move(r.First, r.owner, to, load)
		}
	}
}

func (d *draft) mustLeave(s *server) bool {
	return s.own && (s.State == gw.ServerExpired || s.State == gw.ServerLeaving)
}
