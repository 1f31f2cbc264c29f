package gwadmit

import (
	"github.com/prometheus/client_golang/prometheus"

	gw "github.com/geraniumworks/geraniumworks"
)

const (
	// defaultServiceInFlight limits the requests in flight of one service at one entry host. With 64 KB of buffers for
	// each request they take 64 MB.
	defaultServiceInFlight = 1024
	// defaultMaxTenants limits the number of tenants whose state is kept. The state of a tenant takes about 400 bytes.
	defaultMaxTenants = 8192
)

// Option configures a new Admitter.
type Option func(*Admitter)

// WithClock sets the clock. The default is the system clock.
func WithClock(clock gw.Clock) Option {
	return func(a *Admitter) { a.clock = clock }
}

// WithConfig sets the initial configuration, see Admitter.SetConfig.
func WithConfig(cfg gw.Config) Option {
	return func(a *Admitter) { a.SetConfig(cfg) }
}

// WithServiceInFlight sets the limit of concurrent requests for services without a limit of their own, see
// Admitter.SetServiceInFlight.
func WithServiceInFlight(n int) Option {
	return func(a *Admitter) { a.defaultServiceLimit = n }
}

// WithMaxTenants sets the largest number of tenants whose state is kept.
func WithMaxTenants(n int) Option {
	return func(a *Admitter) { a.maxTenants = n }
}

// WithWeight sets the weight of each tenant's share under overload. The default is 1 for all tenants.
func WithWeight(weight func(gw.TenantName) float64) Option {
	return func(a *Admitter) { a.weight = weight }
}

// WithRegisterer sets the registerer for the metrics. Without it they are counted but not registered.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(a *Admitter) { a.registerer = r }
}
