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

// WithPool sets the connection pool. By default the forwarder creates one.
func WithPool(p *gwpool.Pool) Option {
	return func(o *Options) { o.Pool = p }
}

// WithServerProtocol sets the protocol for backend servers. By default it is NativeServers.
func WithServerProtocol(p gw.ServerProtocol) Option {
	return func(o *Options) { o.Servers = p }
}

// WithRegisterer sets the registerer for the metrics of the forwarder.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(o *Options) { o.Registerer = r }
}
