package gwstore

import (
	"sync"
	"time"
)

// gateThreshold is the number of consecutive failures after which the store counts as out. A lower number
// would hold back calls after a single lost packet.
const gateThreshold = 3

// gate holds back calls during an outage, so that processes do not all call at once when the store returns.
// After gateThreshold consecutive failures it admits one call at a time, at intervals drawn from the backoff;
// a success opens it.
type gate struct {
	backoff backoff

	mu       sync.Mutex
	failures int
	until    time.Time
	probing  bool
}

// verdict is how an admitted call ended, as far as the gate is concerned.
type verdict int

const (
	// verdictReached means that the store answered.
	verdictReached verdict = iota
	// verdictFailed means that the store did not answer or asked to be left alone.
	verdictFailed
	// verdictNone means that the caller gave up, which says nothing about the store.
	verdictNone
)

// ticket is the admission of one call.
type ticket struct{ probe bool }

// enter admits a call, or returns how long to wait before asking again.
func (g *gate) enter(now time.Time) (t ticket, wait time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.failures < gateThreshold:
		return ticket{}, 0, true
	case now.Before(g.until):
		return ticket{}, g.until.Sub(now), false
	case g.probing:
		return ticket{}, g.backoff.base, false
	default:
		g.probing = true
		return ticket{probe: true}, 0, true
	}
}

// leave reports the end of an admitted call. Calls that were under way when the gate closed do not lengthen
// the wait; otherwise ten concurrent failures would count as ten rounds.
func (g *gate) leave(t ticket, v verdict, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.probe {
		g.probing = false
	}
	switch v {
	case verdictReached:
		g.failures = 0
	case verdictFailed:
		if !t.probe && g.failures >= gateThreshold {
			return
		}
		g.failures++
		if g.failures >= gateThreshold {
			g.until = now.Add(g.backoff.draw(g.failures))
		}
	case verdictNone:
		if t.probe {
			g.until = now.Add(g.backoff.draw(g.failures))
		}
	}
}
