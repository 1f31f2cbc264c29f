package gwrelay

import (
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
)

// noReach is for a relay that does not watch whether it reaches servers.
type noReach struct{}

func (noReach) CutOff() bool                 { return false }
func (noReach) Answered(string)              {}
func (noReach) Failed(gw.ServerName, string) {}

// Options are the settings of a Relay.
type Options struct {
	Dispatcher gw.Dispatcher
	Forwarder  *gwforward.Forwarder
	Config     func() gw.Config
	Region     gw.RegionName
	Callers    gw.CallerProtocol
	Barred     func(gw.ServerName) bool
	Leaving    func(gw.ServerName, gw.Incarnation)
	Reach      gw.Reach
	Wait       func(gw.ServiceName, gw.ServerName) (time.Duration, bool)
	Logger     *slog.Logger
	Registerer prometheus.Registerer
	BodyBytes  int64
}

// Option changes a setting.
type Option func(*Options)

// WithDispatcher sets the dispatcher that assigns slots of servers to requests. It is required.
func WithDispatcher(d gw.Dispatcher) Option {
	return func(o *Options) { o.Dispatcher = d }
}

// WithForwarder sets the forwarder that sends requests to servers. By default the relay creates one.
func WithForwarder(f *gwforward.Forwarder) Option {
	return func(o *Options) { o.Forwarder = f }
}

// WithConfig sets the function that returns the configuration in force. It is required.
func WithConfig(config func() gw.Config) Option {
	return func(o *Options) { o.Config = config }
}

// WithRegion sets the region of this host.
func WithRegion(r gw.RegionName) Option {
	return func(o *Options) { o.Region = r }
}

// WithCallerProtocol sets the protocol for callers, which names the headers that must not reach a server. By default it
// is gwforward.NativeCallers.
func WithCallerProtocol(p gw.CallerProtocol) Option {
	return func(o *Options) { o.Callers = p }
}

// WithBarred sets a function that reports servers to which no more requests may be sent, even if their controller has
// given this host the right to: they have been leaving or out of service for too long. By default there are none.
func WithBarred(barred func(gw.ServerName) bool) Option {
	return func(o *Options) { o.Barred = barred }
}

// WithLeaving sets a function that is told which run of a server has said in an answer that it leaves. By default
// nobody is told.
func WithLeaving(leaving func(gw.ServerName, gw.Incarnation)) Option {
	return func(o *Options) { o.Leaving = leaving }
}

// WithWait sets a function that returns how long a further request would wait for a slot of a server. The relay reports
// it to entry hosts for services that are cost-aware. By default it reports nothing.
func WithWait(wait func(gw.ServiceName, gw.ServerName) (time.Duration, bool)) Option {
	return func(o *Options) { o.Wait = wait }
}

// WithLogger sets the logger for the end of attempts. By default nothing is logged.
func WithLogger(log *slog.Logger) Option {
	return func(o *Options) { o.Logger = log }
}

// WithRegisterer sets the registerer for the metrics of the relay.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(o *Options) { o.Registerer = r }
}

// WithReach sets what learns from attempts whether this host reaches servers. While it reaches none, requests are
// refused at once. By default this is not watched.
func WithReach(r gw.Reach) Option {
	return func(o *Options) { o.Reach = r }
}

// WithBodyBytes bounds the memory of the bodies of requests from other hosts, in bytes. By default it is not bounded.
func WithBodyBytes(n int64) Option {
	return func(o *Options) { o.BodyBytes = n }
}
