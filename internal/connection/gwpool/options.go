package gwpool

import (
	"context"
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

// Default values of options.
const (
	// DefaultDialMilliseconds bounds the establishing of a connection. Connecting takes about 1 ms inside a data
	// centre and 40 ms between regions; one lost SYN is sent again after 1 s.
	DefaultDialMilliseconds = 1500
	// DefaultIdleMilliseconds is below the idle timeouts common among servers (5 s and more), so that the pool
	// closes an idle connection before its server does. A request that meets the server's close is unknown.
	DefaultIdleMilliseconds = 4000
	// DefaultHeaderBytes bounds the head of an answer.
	DefaultHeaderBytes = 64 << 10
	// DefaultContinueMilliseconds is how long a request with Expect: 100-continue waits for the server's consent
	// before its body is sent anyway. It is below the usual progress bound of 1 s.
	DefaultContinueMilliseconds = 300
	// DefaultAgeMilliseconds is the difference in age within which connections count as equally old.
	DefaultAgeMilliseconds = 1000
)

// DialFunc establishes a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options are the settings of a Pool.
type Options struct {
	Dial                 DialFunc
	DialMilliseconds     int64
	IdleMilliseconds     int64
	ContinueMilliseconds int64
	AgeMilliseconds      int64
	HeaderBytes          int64
	Registerer           prometheus.Registerer
}

// Option changes a setting.
type Option func(*Options)

// WithDial replaces the function that establishes connections.
func WithDial(dial DialFunc) Option {
	return func(o *Options) { o.Dial = dial }
}

// WithDialMilliseconds bounds the time to establish a connection.
func WithDialMilliseconds(n int64) Option {
	return func(o *Options) { o.DialMilliseconds = n }
}

// WithIdleMilliseconds sets how long an unused connection is kept.
func WithIdleMilliseconds(n int64) Option {
	return func(o *Options) { o.IdleMilliseconds = n }
}

// WithContinueMilliseconds sets how long a request with Expect: 100-continue holds back its body.
func WithContinueMilliseconds(n int64) Option {
	return func(o *Options) { o.ContinueMilliseconds = n }
}

// WithAgeMilliseconds sets the difference in age within which connections count as equally old.
func WithAgeMilliseconds(n int64) Option {
	return func(o *Options) { o.AgeMilliseconds = n }
}

// WithHeaderBytes bounds the head of an answer.
func WithHeaderBytes(n int64) Option {
	return func(o *Options) { o.HeaderBytes = n }
}

// WithRegisterer registers the counters of the pool.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(o *Options) { o.Registerer = r }
}
