package gwretry

import "github.com/prometheus/client_golang/prometheus"

// Default values of options.
const (
	// DefaultAttempts is the largest number of attempts of one request, including retries and hedges.
	DefaultAttempts = 3
	// DefaultBurst is the largest number of extra attempts that a budget holds. A new budget is full.
	DefaultBurst = 10
	// DefaultHedgeQuantile is the latency quantile after which a hedge is sent, in percent.
	DefaultHedgeQuantile = 95
)

// Options are the settings of a Policy.
type Options struct {
	Attempts int
	// Burst returns the largest number of extra attempts that a budget holds at the moment.
	Burst         func() int
	HedgeQuantile float64
	Registerer    prometheus.Registerer
}

// Option changes a setting.
type Option func(*Options)

// WithAttempts sets the largest number of attempts of one request, including retries and hedges.
func WithAttempts(n int) Option {
	return func(o *Options) { o.Attempts = n }
}

// WithBurst sets the largest number of extra attempts that a budget holds.
func WithBurst(n int) Option {
	return WithSharedBurst(func() int { return n })
}

// WithSharedBurst sets a function that returns the largest number of extra attempts that a budget holds at the moment,
// for a limit that several hosts share.
func WithSharedBurst(burst func() int) Option {
	return func(o *Options) { o.Burst = burst }
}

// WithHedgeQuantile sets the latency quantile after which a hedge is sent, in percent.
func WithHedgeQuantile(percent float64) Option {
	return func(o *Options) { o.HedgeQuantile = percent }
}

// WithRegisterer sets the registerer for the metrics of the policy.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(o *Options) { o.Registerer = r }
}
