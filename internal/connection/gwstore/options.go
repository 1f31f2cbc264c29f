package gwstore

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	gw "github.com/geraniumworks/geraniumworks"
)

// Defaults of the options.
const (
	// defaultCallTimeout leaves time for two one-way trips of 20 ms between regions and a value of 1 MB over a
	// share of the link.
	defaultCallTimeout = 2 * time.Second
	// defaultWatchWait keeps a waiting watch at 3 calls a minute.
	defaultWatchWait   = 20 * time.Second
	defaultBackoffBase = 50 * time.Millisecond
	// defaultBackoffCap spreads the first calls of 1,500 processes over 10 s after an outage: 150 a second,
	// under a tenth of what the store takes.
	defaultBackoffCap = 10 * time.Second
	defaultReadRounds = 2

	defaultReadsPerSecond  = 20
	defaultReadBurst       = 20
	defaultWritesPerSecond = 10
	defaultWriteBurst      = 10
)

// Option configures a Store.
type Option func(*options)

type options struct {
	endpoints   []string
	callTimeout time.Duration
	watchWait   time.Duration
	backoff     backoff
	readRounds  int
	reads       map[Purpose]budget
	writes      budget
	registerer  prometheus.Registerer
	clock       gw.Clock
}

type budget struct {
	perSecond float64
	burst     int
}

func defaultOptions() options {
	return options{
		callTimeout: defaultCallTimeout,
		watchWait:   defaultWatchWait,
		backoff:     backoff{base: defaultBackoffBase, limit: defaultBackoffCap},
		readRounds:  defaultReadRounds,
		reads:       map[Purpose]budget{PurposeOther: {defaultReadsPerSecond, defaultReadBurst}},
		writes:      budget{defaultWritesPerSecond, defaultWriteBurst},
		clock:       gw.SystemClock{},
	}
}

// WithEndpoints sets the addresses of the store, each an IP and port. Reads try them in turn.
func WithEndpoints(addresses ...string) Option {
	return func(o *options) { o.endpoints = append(o.endpoints, addresses...) }
}

// WithCallTimeout bounds one HTTP exchange other than a waiting watch. The default is 2 s.
func WithCallTimeout(d time.Duration) Option {
	return func(o *options) { o.callTimeout = d }
}

// WithWatchWait sets how long one watch call waits at the store before it is made again. The default is 20 s.
func WithWatchWait(d time.Duration) Option {
	return func(o *options) { o.watchWait = d }
}

// WithBackoff sets the bounds of the random waits after failures: the first is below base, each later one
// below twice the bound before, at most limit. The defaults are 50 ms and 10 s.
func WithBackoff(base, limit time.Duration) Option {
	return func(o *options) { o.backoff = backoff{base: base, limit: limit} }
}

// WithReadRounds sets how often a read tries all endpoints before it fails. The default is 2.
func WithReadRounds(n int) Option {
	return func(o *options) { o.readRounds = n }
}

// WithReadBudget limits the reads and watches of a purpose. Purposes without a budget of their own share the
// one of PurposeOther, by default 20 calls a second.
func WithReadBudget(p Purpose, perSecond float64, burst int) Option {
	return func(o *options) { o.reads[p] = budget{perSecond, burst} }
}

// WithWriteBudget limits the writes. The default is 10 calls a second.
func WithWriteBudget(perSecond float64, burst int) Option {
	return func(o *options) { o.writes = budget{perSecond, burst} }
}

// WithRegisterer registers the counter of calls. Stores with the same registerer share one counter.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(o *options) { o.registerer = r }
}
