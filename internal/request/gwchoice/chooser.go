// Package gwchoice chooses servers for services that are not divided by key.
package gwchoice

import (
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	gw "github.com/geraniumworks/geraniumworks"
)

const (
	// latencyWindow is the time constant of smoothed latencies.
	latencyWindow = 2 * time.Second
	// A slow server that is not used gets one request after a time from minTrialInterval to maxTrialInterval, to see
	// whether it has recovered. At 32 s and 12 entry hosts that is one request in 3 s.
	minTrialInterval = 4 * time.Second
	maxTrialInterval = 32 * time.Second
	// failedFactor is how many times the median latency a failed request counts, so that a server that fails
	// fast does not look fast.
	failedFactor = 10
	// stuckFactor divides the age of the oldest request in flight when it is compared with the median latency:
	// the request makes the server slow at 8 medians, which 1 of 250 exponential times exceed.
	stuckFactor = 4
	// refusalBackoff is how long a server that refused a request for overload is passed over. After other refusals, such
	// as a failed dial, the time doubles up to maxDoublings times (3.2 s) until the server answers again.
	refusalBackoff = 50 * time.Millisecond
	maxDoublings   = 6
	// medianInterval bounds how often the median latency of a service is computed.
	medianInterval = 100 * time.Millisecond
	// maxCompared bounds the number of servers compared for a choice, and so its cost. At 100 servers and 85% load the
	// p99 was 5% higher than with all servers.
	maxCompared = 32
	// forgetAfter is how long the history of an unused server is kept.
	forgetAfter = 5 * time.Minute
)

// Chooser chooses servers by the requests and latencies that this host has seen at them.
type Chooser struct {
	dataCentre gw.DataCentreName
	region     gw.RegionName
	clock      gw.Clock
	policy     Policy
	newRand    func() *rand.Rand
	outliers   func(gw.ServiceName) []gw.ServerName
	localWait  func(gw.ServiceName, gw.ServerName) (time.Duration, bool)
	registerer prometheus.Registerer
	chosen     *prometheus.CounterVec

	mu       sync.Mutex
	services map[gw.ServiceName]*service
}

// Choice is a chosen server.
type Choice struct {
	Server       gw.DirectoryServer
	Cell         gw.CellID
	RemoteRegion bool
}

// New returns a Chooser.
func New(opts ...Option) *Chooser {
	c := &Chooser{
		clock: gw.SystemClock{}, policy: LeastCost, services: make(map[gw.ServiceName]*service),
		newRand: func() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) },
	}
	for _, opt := range opts {
		opt(c)
	}
	c.chosen = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "geraniumworks_choice_total", Help: "Servers chosen, by how near they are.",
	}, []string{"service", "distance"})
	if c.registerer != nil {
		c.registerer.MustRegister(c.chosen)
	}
	return c
}

// distance is how far away a cell is.
type distance int

const (
	sameDataCentre distance = iota
	sameRegion
	otherRegion
	distanceCount
)

var distanceNames = [distanceCount]string{"data-centre", "region", "other-region"}

func (c *Chooser) distance(d *gw.Directory) distance {
	switch {
	case d.Cell.DataCentre == c.dataCentre:
		return sameDataCentre
	case d.Region == c.region:
		return sameRegion
	default:
		return otherRegion
	}
}

// Choose picks a server from the directories of a service's cells, or refuses with gw.ReasonNoServer. Servers
// in exclude are never chosen. It prefers the nearest cells in which a server is not backed off after a refusal; when
// there are none, the nearest.
func (c *Chooser) Choose(name gw.ServiceName, dirs []gw.Directory, exclude []gw.ServerName) (Choice, *gw.Refusal) {
	var out []gw.ServerName
	if c.outliers != nil {
		out = c.outliers(name)
	}
	s := c.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := c.clock.Now()
	s.updateMedian(now)
	// The first round admits servers that are neither outliers nor backed off, the second all servers that are up, the
	// third also those that their controller cannot reach at the moment.
	for round := range 3 {
		for dist := range distanceCount {
			s.collect(dirs, func(d *gw.Directory) bool { return c.distance(d) == dist },
				func(e *gw.DirectoryServer) (ServerStats, bool) {
					if !usable(e, round) || slices.Contains(exclude, e.Name) || round == 0 && slices.Contains(out, e.Name) {
						return ServerStats{}, false
					}
					return s.statsOf(now, e, round == 0)
				})
			if len(s.stats) == 0 {
				continue
			}
			chosen := s.indexes[c.policy(s.rng, s.turn, s.stats)]
			s.turn++
			c.chosen.WithLabelValues(string(name), distanceNames[dist]).Inc()
			return Choice{
				Server: dirs[chosen.dir].Servers[chosen.server], Cell: dirs[chosen.dir].Cell, RemoteRegion: dist == otherRegion,
			}, nil
		}
	}
	return Choice{}, gw.Refuse(gw.ReasonNoServer, "no server of the service can be reached")
}

func usable(e *gw.DirectoryServer, round int) bool {
	if e.RelayAddress == "" || e.Slots <= 0 {
		return false
	}
	return e.State == gw.ServerUp || round == 2 && e.State == gw.ServerSuspect
}

func (c *Chooser) service(name gw.ServiceName) *service {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.services[name]
	if !ok {
		s = &service{
			rng: c.newRand(), servers: make(map[gw.ServerName]*serverHistory),
			work: workModel{servers: make(map[gw.ServerName]*serverWork)},
		}
		c.services[name] = s
	}
	return s
}

// Result is how an attempt ended.
type Result struct {
	Outcome gw.Outcome
	// Status is the HTTP status of the server's answer, zero when there was none.
	Status int
	// Reason is the reason of the refusal when the request got no answer.
	Reason gw.Reason
	// Overloaded is true when the server refused because it has too much work.
	Overloaded bool
	// PausedUntil is until when the server wants no requests, zero when it does not say.
	PausedUntil time.Time
}

// Attempt is a request that this host has sent to a chosen server.
type Attempt struct {
	c       *Chooser
	s       *service
	server  gw.ServerName
	started time.Time
}

// Begin counts a request that is about to be sent. Done must be called once on the result.
func (c *Chooser) Begin(name gw.ServiceName, server gw.ServerName) Attempt {
	s := c.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := c.clock.Now()
	h := s.history(now, server)
	h.starts = append(h.starts, now)
	return Attempt{c: c, s: s, server: server, started: now}
}

// Done records the end of the attempt.
func (a Attempt) Done(r Result) {
	a.s.mu.Lock()
	defer a.s.mu.Unlock()
	a.s.done(a.c.clock.Now(), a.server, a.started, r)
}

// service holds the histories of the servers of a service.
type service struct {
	mu       sync.Mutex
	rng      *rand.Rand
	turn     uint64
	servers  map[gw.ServerName]*serverHistory
	medianAt time.Time
	// median is the median of the servers' smoothed latencies in seconds, zero when there are under two.
	median float64

	work workModel

	stats   []ServerStats
	indexes []serverIndex
}

type serverIndex struct{ dir, server int }

// serverHistory is what this host has seen of a server.
type serverHistory struct {
	// starts are the times at which the requests in flight began, in no order.
	starts []time.Time
	// latency is smoothed, in seconds.
	latency float64
	// weight is the weight of latency in the smoothing: each answer adds one, and it decays with latencyWindow.
	weight float64
	usedAt time.Time
	// trialAfter is how long after usedAt a slow server is tried again.
	trialAfter time.Duration
	// backoffUntil is how long the server is passed over after a refusal. refusals counts the refusals since the last
	// answer that were not for overload.
	backoffUntil time.Time
	refusals     int
	// overloaded is set while the server is passed over because it had too much work. The choice by score knows its
	// expected wait instead.
	overloaded bool
}

func (s *service) history(now time.Time, name gw.ServerName) *serverHistory {
	h, ok := s.servers[name]
	if !ok {
		h = &serverHistory{usedAt: now, trialAfter: minTrialInterval}
		s.servers[name] = h
	}
	return h
}

func (s *service) done(now time.Time, name gw.ServerName, started time.Time, r Result) {
	h := s.history(now, name)
	if i := slices.Index(h.starts, started); i >= 0 {
		h.starts = slices.Delete(h.starts, i, i+1)
	}
	if r.Outcome == gw.OutcomeNotRun {
		switch {
		case r.Overloaded || r.Reason == gw.ReasonOverloaded:
			h.backoffUntil = now.Add(refusalBackoff)
			h.overloaded = true
		case r.Reason != gw.ReasonDeadlineTooShort:
			h.backoffUntil = now.Add(refusalBackoff << min(h.refusals, maxDoublings))
			h.refusals++
			h.overloaded = false
		}
		if r.PausedUntil.After(h.backoffUntil) {
			h.backoffUntil = r.PausedUntil
			h.overloaded = false
		}
		return
	}
	h.refusals = 0
	took := now.Sub(started).Seconds()
	if r.Outcome != gw.OutcomeAnswered || r.Status >= http.StatusInternalServerError {
		took = max(took, failedFactor*s.median)
	}
	wasTrial := now.Sub(h.usedAt) >= h.trialAfter
	h.weight *= math.Exp(-now.Sub(h.usedAt).Seconds() / latencyWindow.Seconds())
	h.usedAt = now
	h.weight++
	h.latency += (took - h.latency) / h.weight
	if took < slowThreshold*s.median {
		h.trialAfter = minTrialInterval
	} else if wasTrial {
		h.trialAfter = min(2*h.trialAfter, maxTrialInterval)
	}
}

// updateMedian computes the median latency and drops the history of unused servers.
func (s *service) updateMedian(now time.Time) {
	if now.Sub(s.medianAt) < medianInterval {
		return
	}
	s.medianAt = now
	var all []float64
	for name, h := range s.servers {
		if len(h.starts) == 0 && now.Sub(h.usedAt) > forgetAfter {
			delete(s.servers, name)
			delete(s.work.servers, name)
			continue
		}
		if h.weight > 0 {
			all = append(all, h.latency)
		}
	}
	s.median = 0
	if len(all) >= 2 {
		slices.Sort(all)
		s.median = all[len(all)/2]
	}
}

// collect fills stats with the servers for which describe returns true, of the cells for which cell returns true. When
// there are more than maxCompared servers, it starts at a random one and stops at maxCompared.
func (s *service) collect(
	dirs []gw.Directory, cell func(*gw.Directory) bool, describe func(*gw.DirectoryServer) (ServerStats, bool),
) {
	s.stats, s.indexes = s.stats[:0], s.indexes[:0]
	total := 0
	for i := range dirs {
		if cell(&dirs[i]) {
			total += len(dirs[i].Servers)
		}
	}
	skip := 0
	if total > maxCompared {
		skip = s.rng.IntN(total)
	}
	// The second round takes the servers before the start.
	for n, round := -skip, 0; round < 2; round++ {
		for i := range dirs {
			if !cell(&dirs[i]) {
				continue
			}
			for j := range dirs[i].Servers {
				if n++; n > total || len(s.stats) == maxCompared {
					return
				}
				if n <= 0 {
					continue
				}
				if found, ok := describe(&dirs[i].Servers[j]); ok {
					s.stats = append(s.stats, found)
					s.indexes = append(s.indexes, serverIndex{i, j})
				}
			}
		}
	}
}

// statsOf returns the statistics of a server. With room it returns false for a server that is backed off.
func (s *service) statsOf(now time.Time, e *gw.DirectoryServer, room bool) (ServerStats, bool) {
	out := ServerStats{Slots: e.Slots, Slowness: 1}
	h, ok := s.servers[e.Name]
	if !ok {
		return out, true
	}
	if room && now.Before(h.backoffUntil) {
		return out, false
	}
	out.InFlight = len(h.starts)
	if s.median <= 0 {
		return out, true
	}
	if h.weight > 0 {
		out.Slowness = h.latency / s.median
	}
	for _, start := range h.starts {
		out.Slowness = max(out.Slowness, now.Sub(start).Seconds()/s.median/stuckFactor)
	}
	if out.Slowness >= slowThreshold && len(h.starts) == 0 && now.Sub(h.usedAt) >= h.trialAfter {
		out.Slowness = 0
	}
	return out, true
}
