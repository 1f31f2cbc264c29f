package gwdispatch

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	gw "github.com/geraniumworks/geraniumworks"
)

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithInstance sets the id of this process. Leases addressed to another one are refused.
func WithInstance(id gw.InstanceID) Option {
	return func(d *Dispatcher) { d.instance = id }
}

// WithClock sets the clock; the default is the system's.
func WithClock(clock gw.Clock) Option {
	return func(d *Dispatcher) { d.clock = clock }
}

// WithOrigin sets the time at which the clock reading of this process is zero, so that all parts of the process report
// the same readings. The default is one second before New.
func WithOrigin(origin time.Time) Option {
	return func(d *Dispatcher) { d.origin = origin }
}

// WithConfig sets the initial configuration, see Dispatcher.SetConfig.
func WithConfig(cfg gw.Config) Option {
	return func(d *Dispatcher) { d.SetConfig(cfg) }
}

// WithRegisterer sets where counters are registered; without it they are kept but not registered.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(d *Dispatcher) { d.registerer = r }
}

// defaultLimits replace limits that a service leaves at zero. A queue of 64 at 4 slots and 5 ms per request is 80 ms of
// waiting. One second is how long a request may wait for a range that is being moved.
var defaultLimits = gw.ServiceLimits{QueueLength: 64, QueueMilliseconds: 1000, ColdPercent: 10}

func withDefaults(l gw.ServiceLimits) gw.ServiceLimits {
	if l.QueueLength <= 0 {
		l.QueueLength = defaultLimits.QueueLength
	}
	if l.QueueMilliseconds <= 0 {
		l.QueueMilliseconds = defaultLimits.QueueMilliseconds
	}
	if l.ColdPercent <= 0 || l.ColdPercent > 100 {
		l.ColdPercent = defaultLimits.ColdPercent
	}
	return l
}
