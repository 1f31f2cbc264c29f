package gwrelay

import (
	"log/slog"

	"github.com/prometheus/client_golang/prometheus"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
)

// Options are the settings of a Relay.
type Options struct {
	Dispatcher gw.Dispatcher
	Forwarder  *gwforward.Forwarder
	Config     func() gw.Config
	Region     gw.RegionName
	Barred     func(gw.ServerName) bool
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Option changes a setting.
type Option func(*Options)

// WithDispatcher sets the dispatcher that hands out slots. It is required.
func WithDispatcher(d gw.Dispatcher) Option {
	return func(o *Options) { o.Dispatcher = d }
}

// WithForwarder sets the forwarder. By default the relay has one of its own.
func WithForwarder(f *gwforward.Forwarder) Option {
	return func(o *Options) { o.Forwarder = f }
}

// WithConfig sets the source of the configuration in force. It is required.
func WithConfig(config func() gw.Config) Option {
	return func(o *Options) { o.Config = config }
}

// WithRegion sets the region of this host.
func WithRegion(r gw.RegionName) Option {
	return func(o *Options) { o.Region = r }
}

// WithBarred sets a function that names servers that must get nothing more, whatever their controller says: this host
// knows that they have been leaving or out of service for too long. By default there are none.
func WithBarred(barred func(gw.ServerName) bool) Option {
	return func(o *Options) { o.Barred = barred }
}

// WithLogger sets where the end of attempts is logged. By default nothing is.
func WithLogger(log *slog.Logger) Option {
	return func(o *Options) { o.Logger = log }
}

// WithRegisterer registers the counters of the relay.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(o *Options) { o.Registerer = r }
}
