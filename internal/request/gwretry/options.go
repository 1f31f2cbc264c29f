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
	Attempts      int
	Burst         int
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
	return func(o *Options) { o.Burst = n }
}

// WithHedgeQuantile sets the latency quantile after which a hedge is sent, in percent.
func WithHedgeQuantile(percent float64) Option {
	return func(o *Options) { o.HedgeQuantile = percent }
}

// WithRegisterer sets the registerer for the metrics of the policy.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(o *Options) { o.Registerer = r }
}
