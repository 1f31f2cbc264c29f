package gwfakes

import (
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// ServerClock is the own clock of a server: a true clock with an error of rate and offset.
type ServerClock struct {
	clock  gw.Clock
	origin time.Time
	rate   float64
	offset time.Duration
}

// NewServerClock returns a clock that shows offset now and advances by rate seconds a second.
func NewServerClock(clock gw.Clock, rate float64, offset time.Duration) ServerClock {
	return ServerClock{clock: clock, origin: clock.Now(), rate: rate, offset: offset}
}

// Read returns the reading of the clock.
func (c ServerClock) Read() gw.ClockMilliseconds {
	elapsed := time.Duration(float64(c.clock.Now().Sub(c.origin)) * c.rate)
	return gw.ClockMilliseconds((c.offset + elapsed).Milliseconds())
}
