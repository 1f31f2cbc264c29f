package gwforward

import (
	"github.com/prometheus/client_golang/prometheus"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwpool"
)

// Options are the settings of a Forwarder.
type Options struct {
	Pool       *gwpool.Pool
	Servers    gw.ServerProtocol
	Registerer prometheus.Registerer
}

// Option changes a setting.
type Option func(*Options)

// WithPool sets the pool of connections. By default the forwarder has one of its own.
func WithPool(p *gwpool.Pool) Option {
	return func(o *Options) { o.Pool = p }
}

// WithServerProtocol sets how backend servers are spoken to. By default it is Native.
func WithServerProtocol(p gw.ServerProtocol) Option {
	return func(o *Options) { o.Servers = p }
}

// WithRegisterer registers the counters of the forwarder.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(o *Options) { o.Registerer = r }
}
