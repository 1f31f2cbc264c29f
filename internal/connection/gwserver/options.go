package gwserver

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Defaults of the options.
const (
	// defaultCallTimeout is below the 500 ms between two renewals, so that calls to a server do not pile up.
	defaultCallTimeout = 450 * time.Millisecond
	// defaultReleaseTimeout is the bound of a planned stop: in-flight work is not awaited for longer.
	defaultReleaseTimeout = 30 * time.Second
	// defaultIdleConns is small because the agency's servers take 45 connections in all.
	defaultIdleConns = 2
)

// Option configures a Client.
type Option func(*options)

type options struct {
	callTimeout    time.Duration
	releaseTimeout time.Duration
	idleConns      int
	registerer     prometheus.Registerer
}

func defaultOptions() options {
	return options{
		callTimeout:    defaultCallTimeout,
		releaseTimeout: defaultReleaseTimeout,
		idleConns:      defaultIdleConns,
	}
}

// WithCallTimeout bounds every call except Release. The default is 450 ms.
func WithCallTimeout(d time.Duration) Option {
	return func(o *options) { o.callTimeout = d }
}

// WithReleaseTimeout bounds Release, which waits for the work in flight. The default is 30 s.
func WithReleaseTimeout(d time.Duration) Option {
	return func(o *options) { o.releaseTimeout = d }
}

// WithIdleConnections sets how many idle control connections are kept per server. The default is 2.
func WithIdleConnections(n int) Option {
	return func(o *options) { o.idleConns = n }
}

// WithRegisterer registers the counter of calls. Clients with the same registerer share one counter.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(o *options) { o.registerer = r }
}
