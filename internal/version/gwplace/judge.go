package gwplace

import (
	"time"
)

// minUtilisation is the share of the total capacity below which loads are too small to compare.
const minUtilisation = 0.02

// nearLimitFraction is the share of a server's load limit above which a smaller imbalance starts rebalancing.
const nearLimitFraction = 0.9

// detectImbalance computes the fair loads and decides whether to rebalance. Rebalancing starts after an imbalance has
// lasted for a minimum time and number of views. It goes on until the loads reach the stop thresholds.
func (d *decision) detectImbalance() {
	d.fairLoads()
	for i := range d.servers {
		d.countConsecutiveViews(&d.servers[i])
	}
	p := d.policy
	start, keepGoing := false, false
	for _, k := range d.up {
		s := &d.servers[k]
		if s.fair <= 0 || s.inconsistent {
			continue
		}
		ratio := s.load / s.fair
		nearLimit := s.load > nearLimitFraction*s.limit && ratio > p.cfg.stopBelow
		start = start || (s.ownCell && (ratio > p.cfg.startAbove || nearLimit)) || ratio < p.cfg.fillBelow
		keepGoing = keepGoing || (s.ownCell && ratio > p.cfg.stopBelow) || ratio < p.cfg.fillTarget
	}
	if d.totalLoad < minUtilisation*d.meanCapacity*float64(len(d.up)) {
		start, keepGoing = false, false
	}
	switch {
	case p.rebalancing:
		p.rebalancing = keepGoing
		p.imbalancedViews = 0
	case !start:
		p.imbalancedViews = 0
	default:
		if p.imbalancedViews == 0 {
			p.imbalancedSince = d.now
		}
		p.imbalancedViews++
		p.rebalancing = p.imbalancedViews >= p.cfg.consecutiveViews && d.now.Sub(p.imbalancedSince) >= p.cfg.imbalanceDuration
	}
}

// fairLoads sets the fair load of each server that is up. All get the same utilisation, except that a fair load is at
// most the server's limit and at least the load of its largest indivisible range.
func (d *decision) fairLoads() {
	total, capacity := 0.0, 0.0
	for _, k := range d.up {
		d.servers[k].fair = 0
		total += d.servers[k].load
		capacity += d.servers[k].Capacity
	}
	assignFair := func(bound func(s *server, utilisation float64) float64) {
		for again := true; again && capacity > 1e-9; {
			again = false
			utilisation := max(total, 0) / capacity
			for _, k := range d.up {
				s := &d.servers[k]
				if b := bound(s, utilisation*s.Capacity); s.fair == 0 && b > 0 {
					s.fair = b
					total -= b
					capacity -= s.Capacity
					again = true
				}
			}
		}
	}
	assignFair(func(s *server, fair float64) float64 {
		if s.largestIndivisible > fair {
			return s.largestIndivisible
		}
		return 0
	})
	assignFair(func(s *server, fair float64) float64 {
		if fair > s.limit {
			return s.limit
		}
		return 0
	})
	for _, k := range d.up {
		if s := &d.servers[k]; s.fair == 0 && capacity > 1e-9 {
			s.fair = max(total, 0) / capacity * s.Capacity
		}
	}
}

func (d *decision) countConsecutiveViews(s *server) {
	m := s.history
	if s.inconsistent || s.fair <= 0 {
		m.viewsOver, m.viewsUnder = 0, 0
		return
	}
	if s.load > s.fair {
		m.viewsOver, m.viewsUnder = m.viewsOver+1, 0
	} else {
		m.viewsOver, m.viewsUnder = 0, m.viewsUnder+1
	}
}

// expirePending drops rebalancing moves that did not happen in time. Each repeated failure pauses rebalancing for
// longer: a store that is down refuses every commit, and each attempt stops the requests for a range.
func (d *decision) expirePending() {
	p := d.policy
	failed := false
	for first, m := range p.pending {
		if d.now.Sub(m.since) < p.cfg.moveTimeout || (!m.rebalancing && d.now.Sub(m.since) < 10*time.Minute) {
			continue
		}
		delete(p.pending, first)
		if m.rebalancing {
			p.churn.removeProposed(first)
			failed = true
		}
	}
	if failed {
		p.failedRounds++
		p.pausedUntil = d.now.Add(min(p.cfg.moveTimeout<<min(p.failedRounds, 10), p.cfg.maxBackoff))
	}
}
