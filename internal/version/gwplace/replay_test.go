package gwplace_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

const (
	utilisation = 0.4
	// leadIn is the time in seconds before the event of a scenario; figures count from then on.
	leadIn = 600
	// lostSeconds and movedSeconds are how long a key is unavailable when its server is lost or it is moved.
	lostSeconds, movedSeconds = 3.3, 0.005
	zipfExponent              = 0.99
)

type simServer struct {
	name gw.ServerName
	dc   gw.DataCentreName
	// state and upAt say what the host list and the controller know; warm rises from upAt on.
	state gw.ServerState
	upAt  int
	load  float64
}

func (s simServer) warm(now int) int {
	if s.upAt == 0 {
		return 100
	}
	return min(100, 10<<min((now-s.upAt)/15, 4))
}

// region is one key space with its servers.
type region struct {
	keys     []gw.Position
	rates    []float64
	rateSums []float64
	hot      []gw.HotPosition
	servers  []simServer
	capacity float64
	rng      *rand.Rand
}

// figures are summed over the measured seconds of a replay.
type figures struct {
	seconds, maxToMean, worstMaxToMean, deviation, maxToMeanBound float64
	keysMoved, loadMoved, peakMinute                              float64
	unavailable, overload, load, failedMoves, splits              float64
	movedBySecond                                                 []float64
}

// owner is a strategy's state for one region.
type strategyRun interface {
	// step moves on one second and returns the load per server. It counts moves in f.
	step(now int, r *region, storeDown bool, f *figures) []float64
	// countLost counts the keys of a lost server as unavailable for the seconds.
	countLost(r *region, server int, seconds float64, f *figures)
}

type scenario struct {
	name       string
	seconds    int
	applyEvent func(now int, r *region)
	// storeDown reports whether no commit is possible.
	storeDown   func(now int) bool
	measureFrom int
}

func never(int) bool { return false }

// loseServer takes the first server of the region away at leadIn: suspect at first, then expired.
func loseServer(now int, r *region) {
	switch now {
	case leadIn:
		r.servers[0].state = gw.ServerSuspect
	case leadIn + 2:
		r.servers[0].state = gw.ServerExpired
	}
}

// restart lets a server leave, and start anew 40 s later.
func restart(now, at int, s *simServer) {
	switch now {
	case at:
		s.state = gw.ServerLeaving
	case at + 10:
		s.state = gw.ServerExpired
	case at + 40:
		s.state = gw.ServerNew
	case at + 42:
		s.state, s.upAt = gw.ServerUp, now
	}
}

var scenarios = []scenario{
	{name: "steady", seconds: 3600, applyEvent: func(int, *region) {}, storeDown: never},
	{
		name: "hot keys change", seconds: leadIn + 3600, measureFrom: leadIn, storeDown: never,
		applyEvent: func(now int, r *region) {
			if now >= leadIn && now%300 == 0 {
				r.changeHottest(73)
			}
		},
	},
	{name: "server lost", seconds: leadIn + 1800, measureFrom: leadIn, applyEvent: loseServer, storeDown: never},
	{
		name: "restarts", seconds: leadIn + 1800, measureFrom: leadIn, storeDown: never,
		applyEvent: func(now int, r *region) {
			for i := range (len(r.servers) + 9) / 10 {
				restart(now, leadIn+300*i, &r.servers[i])
			}
		},
	},
	{
		name: "data centre out", seconds: leadIn + 3600, measureFrom: leadIn, storeDown: never,
		applyEvent: func(now int, r *region) {
			for i := range r.servers {
				if s := &r.servers[i]; s.dc == "d0" && now == leadIn {
					s.state = gw.ServerLeaving
				} else if s.dc == "d0" && now == leadIn+600 {
					s.state, s.upAt = gw.ServerUp, now
				}
			}
		},
	},
	{
		name: "store outage", seconds: leadIn + 1800, measureFrom: leadIn,
		applyEvent: func(now int, r *region) { loseServer(now-60, r) },
		storeDown:  func(now int) bool { return now >= leadIn && now < leadIn+600 },
	},
}

// newRegions returns two regions of two data centres with a Zipf load over all keys.
func newRegions(servers, keys int, seed uint64) []*region {
	rng := rand.New(rand.NewPCG(seed, 7))
	regions := []*region{{}, {}}
	for i := range servers {
		r := regions[i%2]
		n := len(r.servers)
		r.servers = append(r.servers, simServer{
			name: gw.ServerName(fmt.Sprintf("r%ds%02d", i%2, n)),
			dc:   gw.DataCentreName(fmt.Sprintf("d%d", n%2)), state: gw.ServerUp,
		})
	}
	total := 0.0
	rates := make(map[gw.Position]float64, keys)
	for rank := range keys {
		p := gw.Position(rng.Uint64())
		rates[p] = 1000 / math.Pow(float64(rank+1), zipfExponent)
		total += rates[p]
		regions[rank%2].keys = append(regions[rank%2].keys, p)
	}
	for i, r := range regions {
		slices.Sort(r.keys)
		r.rng = rand.New(rand.NewPCG(seed, uint64(i)))
		r.capacity = total / utilisation / float64(servers)
		for _, p := range r.keys {
			r.rates = append(r.rates, rates[p])
		}
		r.index()
	}
	return regions
}

// index computes the sums of rates up to each key and the list of hot positions.
func (r *region) index() {
	r.rateSums = append(r.rateSums[:0], 0)
	r.hot = nil
	for i, rate := range r.rates {
		r.rateSums = append(r.rateSums, r.rateSums[i]+rate)
		if rate > 0.005*r.capacity {
			r.hot = append(r.hot, gw.HotPosition{Position: r.keys[i], RequestsPerSecond: rate})
		}
	}
}

// changeHottest exchanges the rates of the hottest keys with those of other keys.
func (r *region) changeHottest(n int) {
	order := make([]int, len(r.rates))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(a, b int) bool { return r.rates[order[a]] > r.rates[order[b]] })
	for _, i := range order[:n] {
		j := order[n+r.rng.IntN(len(order)-n)]
		r.rates[i], r.rates[j] = r.rates[j], r.rates[i]
	}
	r.index()
}

// keysAndLoad returns the number of keys of a range and their load.
func (r *region) keysAndLoad(s gw.Range) (int, float64) {
	i, _ := slices.BinarySearch(r.keys, s.First)
	j, found := slices.BinarySearch(r.keys, s.Last)
	if found {
		j++
	}
	return j - i, r.rateSums[j] - r.rateSums[i]
}

func (f *figures) move(now, keys int, load float64, r *region) {
	f.keysMoved += float64(keys) / float64(len(r.keys))
	f.loadMoved += load / r.rateSums[len(r.keys)]
	f.unavailable += movedSeconds * float64(keys)
	for len(f.movedBySecond) <= now {
		f.movedBySecond = append(f.movedBySecond, 0)
	}
	f.movedBySecond[now] += float64(keys) / float64(len(r.keys))
}

func (f *figures) measure(now int, r *region, loads []float64) {
	sum, squares, highest, n := 0.0, 0.0, 0.0, 0.0
	for i, s := range r.servers {
		f.load += loads[i]
		if s.state == gw.ServerUp {
			sum, squares, highest, n = sum+loads[i], squares+loads[i]*loads[i], max(highest, loads[i]), n+1
			f.overload += max(loads[i]-r.capacity*float64(s.warm(now))/100, 0)
		} else {
			f.overload += loads[i]
		}
	}
	mean := sum / n
	f.maxToMeanBound += max(1, slices.Max(r.rates)/mean)
	f.seconds, f.maxToMean = f.seconds+1, f.maxToMean+highest/mean
	f.worstMaxToMean = max(f.worstMaxToMean, highest/mean)
	f.deviation += math.Sqrt(max(squares/n-mean*mean, 0)) / mean
}

// replay runs a scenario in one region and returns its figures.
func replay(sc scenario, r *region, start func(r *region) strategyRun) figures {
	var f, ignored figures
	o := start(r)
	for now := 1; now < sc.seconds; now++ {
		before := slices.Clone(r.servers)
		sc.applyEvent(now, r)
		count := &ignored
		if now >= sc.measureFrom {
			count = &f
		}
		for i, s := range r.servers {
			if s.state == gw.ServerSuspect && before[i].state == gw.ServerUp {
				o.countLost(r, i, lostSeconds, count)
			}
			if s.state == gw.ServerExpired && sc.storeDown(now) {
				o.countLost(r, i, 1, count)
			}
		}
		loads := o.step(now, r, sc.storeDown(now), count)
		for i := range r.servers {
			r.servers[i].load += (loads[i] - r.servers[i].load) / 10
		}
		if now > 1 { // The first plans are carried out in the second after.
			count.measure(now, r, loads)
		}
	}
	sum := 0.0
	for i := range f.movedBySecond {
		sum += f.movedBySecond[i]
		if i >= 60 {
			sum -= f.movedBySecond[i-60]
		}
		f.peakMinute = max(f.peakMinute, sum)
	}
	return f
}

// placerRun is the owner of a gw.Placer per cell.
type placerRun struct {
	cells      []gw.DataCentreName
	placers    []gw.Placer
	assignment gw.Assignment
	plans      []gw.Plan
	reported   map[gw.Position]float64
	// ownLoadsOnly hides the loads of other cells from the placers.
	ownLoadsOnly bool
	// firstKey and owner give, for each range, the index of its first key and of its server (-1: none).
	firstKey, ownerIndex []int
}

func newPlacerRun(blind bool, newPlacer func() gw.Placer) func(*region) strategyRun {
	return func(r *region) strategyRun {
		p := &placerRun{reported: make(map[gw.Position]float64), ownLoadsOnly: blind}
		p.assignment = gw.NewAssignment(gw.KeySpace{Service: "lookups", Region: "r"})
		for _, s := range r.servers {
			if !slices.Contains(p.cells, s.dc) {
				p.cells = append(p.cells, s.dc)
				p.placers = append(p.placers, newPlacer())
			}
		}
		return p
	}
}

func (p *placerRun) step(now int, r *region, storeDown bool, f *figures) []float64 {
	for _, plan := range p.plans {
		p.commit(now, r, plan, storeDown, f)
	}
	p.plans = p.plans[:0]
	if len(p.firstKey) == 0 {
		p.index(r)
	}
	loads := make([]float64, len(r.servers))
	reports := make(map[gw.Position]float64, len(p.assignment.Ranges))
	for i, o := range p.assignment.Ranges {
		load := r.rateSums[p.firstKey[i+1]] - r.rateSums[p.firstKey[i]]
		loads[max(p.ownerIndex[i], 0)] += load
		reports[o.First] = p.reported[o.First] + (load*(0.95+0.1*r.rng.Float64())-p.reported[o.First])/10
	}
	p.reported = reports
	for c, dc := range p.cells {
		p.plans = append(p.plans, p.placers[c].Place(p.view(now, r, dc, c == 0)))
	}
	return loads
}

func (p *placerRun) index(r *region) {
	p.firstKey, p.ownerIndex = nil, nil
	for _, o := range p.assignment.Ranges {
		i, _ := slices.BinarySearch(r.keys, o.First)
		p.firstKey, p.ownerIndex = append(p.firstKey, i), append(p.ownerIndex, r.serverIndex(o.Owner))
	}
	p.firstKey = append(p.firstKey, len(r.keys))
}

func (r *region) serverIndex(name gw.ServerName) int {
	return slices.IndexFunc(r.servers, func(s simServer) bool { return s.name == name })
}

func (p *placerRun) view(now int, r *region, dc gw.DataCentreName, lead bool) gw.PlacementView {
	v := gw.PlacementView{
		Now: epoch.Add(time.Duration(now) * time.Second), Assignment: p.assignment, DataCentre: dc, Lead: lead,
		Granularity: 1, RangeLoads: make(map[gw.Position]float64),
	}
	for _, s := range r.servers {
		load := s.load
		if p.ownLoadsOnly && s.dc != dc {
			load = 0
		}
		v.Servers = append(v.Servers, gw.ServerView{
			Name: s.name, DataCentre: s.dc, State: s.state, Capacity: r.capacity, WarmPercent: s.warm(now), Load: load,
		})
	}
	own := func(i int) bool { return p.ownerIndex[i] >= 0 && r.servers[p.ownerIndex[i]].dc == dc }
	for i, o := range p.assignment.Ranges {
		if own(i) {
			v.RangeLoads[o.First] = p.reported[o.First]
		}
	}
	for _, h := range r.hot {
		if own(p.assignment.Index(h.Position)) {
			v.Hot = append(v.Hot, h)
		}
	}
	return v
}

// commit applies what is still valid of a plan of the second before.
func (p *placerRun) commit(now int, r *region, plan gw.Plan, storeDown bool, f *figures) {
	if storeDown {
		for _, m := range plan.Moves {
			if i := r.serverIndex(m.From); i >= 0 && r.servers[i].state == gw.ServerUp {
				f.failedMoves++
			}
		}
		return
	}
	if plan.Empty() {
		return
	}
	p.firstKey = nil
	for _, s := range plan.Splits {
		p.assignment = p.assignment.WithSplit(s)
	}
	f.splits += float64(len(plan.Splits))
	for _, m := range plan.Merges {
		if a, err := p.assignment.WithMerge(m); err == nil {
			p.assignment = a
		}
	}
	for _, m := range plan.Moves {
		i := p.assignment.Index(m.First)
		if o := p.assignment.Ranges[i]; o.First != m.First || o.Owner != m.From {
			continue
		}
		if m.From != "" {
			keys, load := r.keysAndLoad(p.assignment.Span(i))
			f.move(now, keys, load, r)
		}
		p.assignment, _ = p.assignment.WithOwner(m.First, m.To, p.assignment.Revision+1)
		delete(p.reported, m.First)
	}
	p.assignment.Revision++
}

func (p *placerRun) countLost(r *region, server int, seconds float64, f *figures) {
	for i, o := range p.assignment.Ranges {
		if o.Owner == r.servers[server].name {
			keys, _ := r.keysAndLoad(p.assignment.Span(i))
			f.unavailable += seconds * float64(keys)
		}
	}
}
