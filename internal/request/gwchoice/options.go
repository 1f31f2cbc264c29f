package gwchoice

import (
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	gw "github.com/geraniumworks/geraniumworks"
)

// Option configures a Chooser.
type Option func(*Chooser)

// WithLocation sets the data centre and the region of this host.
func WithLocation(dc gw.DataCentreName, region gw.RegionName) Option {
	return func(c *Chooser) { c.dataCentre, c.region = dc, region }
}

// WithSeed makes the choices repeatable; the default seed is random.
func WithSeed(seed uint64) Option {
	return func(c *Chooser) { c.newRand = func() *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) } }
}

// WithClock sets the clock; the default is the system's.
func WithClock(clock gw.Clock) Option {
	return func(c *Chooser) { c.clock = clock }
}

// WithPolicy replaces the policy, for comparisons; the default is LeastCost.
func WithPolicy(p Policy) Option {
	return func(c *Chooser) { c.policy = p }
}

// WithOutliers sets a function that returns the servers of a service that are slow or failing, for example from the
// dispatcher of this host. They are chosen only when there is no other.
func WithOutliers(f func(gw.ServiceName) []gw.ServerName) Option {
	return func(c *Chooser) { c.outliers = f }
}

// WithLocalWait sets a function that returns the expected wait for a slot of a server whose dispatcher is this process.
// It replaces reported waits in the choice by score.
func WithLocalWait(f func(gw.ServiceName, gw.ServerName) (time.Duration, bool)) Option {
	return func(c *Chooser) { c.localWait = f }
}

// WithRegisterer sets where counters are registered; without it they are kept but not registered.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(c *Chooser) { c.registerer = r }
}
