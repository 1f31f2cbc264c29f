package gwlease

import (
	"slices"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// freeSlots returns how many slots of a server may be leased: its warm share less those that may still be in
// use by a lost dispatcher.
func (c *Core) freeSlots(s *server) int {
	n := max(1, c.slots(s)*s.warm.percent/100)
	s.dispatch.occupied = slices.DeleteFunc(s.dispatch.occupied, func(o occupied) bool { return !c.now.Before(o.until) })
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

// warmth is how much load a server bears now.
type warmth struct {
	percent int
	stepAt  time.Time
	// other is the last incarnation, reported by a dispatcher, that the Core had not yet seen itself.
	other gw.Incarnation
}

// coolDown returns a server to its cold share.
func (c *Core) coolDown(s *server) {
	s.warm.percent = c.coldPercent()
	s.warm.stepAt = c.now.Add(time.Duration(c.service.Limits.ColdStepMilliseconds) * time.Millisecond)
}

func (c *Core) coldPercent() int {
	if p := c.service.Limits.ColdPercent; p > 0 && p < 100 {
		return p
	}
	return 100
}

// adoptWarmth takes the load that the server bears under the dispatcher of an earlier controller as proven.
func (c *Core) adoptWarmth(s *server, d gw.DispatchedServer) {
	c.coolDown(s)
	if full := c.service.Limits.RequestsPerSecondPerServer; full > 0 {
		s.warm.percent = min(100, max(s.warm.percent, int(100*d.RequestsPerSecond/full)))
	}
}

// noteAnswers adjusts the warm level to what the dispatcher has seen.
func (c *Core) noteAnswers(s *server, d gw.DispatchedServer) {
	if s.known && d.Incarnation != "" && d.Incarnation != s.incarnation && d.Incarnation != s.warm.other {
		s.warm.other = d.Incarnation
		s.sendAt = c.now
		c.coolDown(s)
		return
	}
	switch {
	case d.Failures > d.Answers:
		s.warm.percent = max(c.coldPercent(), s.warm.percent/2)
	case d.Answers > 0 && !c.now.Before(s.warm.stepAt) && s.warm.percent < 100:
		s.warm.percent = min(100, s.warm.percent*2)
		s.warm.stepAt = c.now.Add(time.Duration(c.service.Limits.ColdStepMilliseconds) * time.Millisecond)
	}
}
