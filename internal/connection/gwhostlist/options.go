package gwhostlist

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Defaults of the options.
const (
	defaultCallTimeout = time.Second
	defaultRounds      = 2
	defaultBackoffBase = 50 * time.Millisecond
)

// Option configures a List.
type Option func(*options)

type options struct {
	endpoints   []string
	callTimeout time.Duration
	rounds      int
	backoffBase time.Duration
	registerer  prometheus.Registerer
}

func defaultOptions() options {
	return options{callTimeout: defaultCallTimeout, rounds: defaultRounds, backoffBase: defaultBackoffBase}
}

// WithEndpoints sets the addresses of the host list, each an IP and port. They are tried in turn.
func WithEndpoints(addresses ...string) Option {
	return func(o *options) { o.endpoints = append(o.endpoints, addresses...) }
}

// WithCallTimeout bounds one HTTP exchange. The default is 1 s.
func WithCallTimeout(d time.Duration) Option {
	return func(o *options) { o.callTimeout = d }
}

// WithRounds sets how often Hosts tries all endpoints before it fails. The default is 2.
func WithRounds(n int) Option {
	return func(o *options) { o.rounds = n }
}

// WithBackoff sets the bound of the random wait before the second round; it doubles with each round. The
// default is 50 ms.
func WithBackoff(base time.Duration) Option {
	return func(o *options) { o.backoffBase = base }
}

// WithRegisterer registers the counter of calls. Lists with the same registerer share one counter.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(o *options) { o.registerer = r }
}
