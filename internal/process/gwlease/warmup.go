package gwlease

import (
	"slices"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// freeSlots returns how many slots of a server may be leased: its warm-up share less those that may still be used by
// requests of a lost dispatcher.
func (c *Core) freeSlots(s *server) int {
	n := max(1, c.slots(s)*s.warmup.percent/100)
	s.dispatch.occupied = slices.DeleteFunc(s.dispatch.occupied, func(o occupiedSlots) bool {
		return !c.now.Before(o.until)
	})
	for _, o := range s.dispatch.occupied {
		n -= o.slots
	}
	return max(0, n)
}

// slots returns how many requests the server runs at once when it is warm.
func (c *Core) slots(s *server) int {
	if s.entry.Slots > 0 {
		return s.entry.Slots
	}
	return c.service.Limits.SlotsPerServer
}

// warmupState is the share of its full load that a server may get now.
type warmupState struct {
	percent    int
	nextStepAt time.Time
	// unseenIncarnation is the last incarnation reported by a dispatcher that the Core had not seen itself.
	unseenIncarnation gw.Incarnation
}

// resetWarmup returns a server to its cold share.
func (c *Core) resetWarmup(s *server) {
	s.warmup.percent = c.coldPercent()
	s.warmup.nextStepAt = c.now.Add(time.Duration(c.service.Limits.ColdStepMilliseconds) * time.Millisecond)
}

func (c *Core) coldPercent() int {
	if p := c.service.Limits.ColdPercent; p > 0 && p < 100 {
		return p
	}
	return 100
}

// adoptWarmup derives the warm-up share from the load that the server handles under the dispatcher of an earlier
// controller.
func (c *Core) adoptWarmup(s *server, d gw.DispatchedServer) {
	c.resetWarmup(s)
	if full := c.service.Limits.RequestsPerSecondPerServer; full > 0 {
		s.warmup.percent = min(100, max(s.warmup.percent, int(100*d.RequestsPerSecond/full)))
	}
}

// updateWarmup adjusts the warm-up share to the answers and failures that the dispatcher reports.
func (c *Core) updateWarmup(s *server, d gw.DispatchedServer) {
	if s.answered && d.Incarnation != "" && d.Incarnation != s.incarnation && d.Incarnation != s.warmup.unseenIncarnation {
		s.warmup.unseenIncarnation = d.Incarnation
		s.sendAt = c.now
		c.resetWarmup(s)
		return
	}
	switch {
	case d.Failures > d.Answers:
		s.warmup.percent = max(c.coldPercent(), s.warmup.percent/2)
	case d.Answers > 0 && !c.now.Before(s.warmup.nextStepAt) && s.warmup.percent < 100:
		s.warmup.percent = min(100, s.warmup.percent*2)
		s.warmup.nextStepAt = c.now.Add(time.Duration(c.service.Limits.ColdStepMilliseconds) * time.Millisecond)
	}
}
