package gwentry

import (
	"context"
	"log/slog"

	"github.com/prometheus/client_golang/prometheus"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
	"github.com/geraniumworks/geraniumworks/internal/request/gwretry"
)

// Default values of options.
const (
	// DefaultHeaderBytes bounds the names and values of a request's headers.
	DefaultHeaderBytes = 32 << 10
	// DefaultRelayConnections bounds the connections to one relay.
	DefaultRelayConnections = 512
)

// Deliverer runs requests on servers whose dispatcher is this process.
type Deliverer interface {
	Deliver(ctx context.Context, req *gwforward.Request) (*gwforward.Answer, *gw.Refusal)
}

// Admission limits what tenants may send.
type Admission interface {
	// Admit returns a function that ends the request, or a refusal with gw.ReasonTenantLimit or
	// gw.ReasonOverloaded.
	Admit(ctx context.Context, tenant gw.Tenant, service gw.ServiceName) (release func(), refusal *gw.Refusal)
}

// Observer learns how attempts end, so that servers can be chosen by it.
type Observer interface {
	// Begin is called before an attempt. The returned function is called once at its end: with a refusal when there
	// is no answer of a server, and otherwise with the status when the answer has ended.
	Begin(target gw.Target) (done func(status int, refusal *gw.Refusal))
}

// Options are the settings of a Handler.
type Options struct {
	Config           func() gw.Config
	Router           gw.Router
	Region           gw.RegionName
	Local            Deliverer
	Admission        Admission
	Observer         Observer
	Forwarder        *gwforward.Forwarder
	Callers          gw.CallerProtocol
	Policy           *gwretry.Policy
	HeaderBytes      int
	RelayConnections int
	Logger           *slog.Logger
	Registerer       prometheus.Registerer
}

// Option changes a setting.
type Option func(*Options)

// WithConfig sets the source of the configuration in force. It is required; a version of zero means that
// there is none yet.
func WithConfig(config func() gw.Config) Option {
	return func(o *Options) { o.Config = config }
}

// WithRouter sets the choice of targets. It is required.
func WithRouter(r gw.Router) Option {
	return func(o *Options) { o.Router = r }
}

// WithRegion sets the region of this host.
func WithRegion(r gw.RegionName) Option {
	return func(o *Options) { o.Region = r }
}

// WithLocal sets what runs requests whose target is local. Without it they are sent to the relay address.
func WithLocal(d Deliverer) Option {
	return func(o *Options) { o.Local = d }
}

// WithAdmission sets the limits of tenants. By default there are none.
func WithAdmission(a Admission) Option {
	return func(o *Options) { o.Admission = a }
}

// WithObserver sets what learns how attempts end. By default nothing does.
func WithObserver(o Observer) Option {
	return func(opts *Options) { opts.Observer = o }
}

// WithForwarder sets the forwarder to relays. By default the handler has one of its own.
func WithForwarder(f *gwforward.Forwarder) Option {
	return func(o *Options) { o.Forwarder = f }
}

// WithCallerProtocol sets how callers are spoken to. By default it is gwforward.NativeCallers.
func WithCallerProtocol(p gw.CallerProtocol) Option {
	return func(o *Options) { o.Callers = p }
}

// WithPolicy sets the decisions about retries and hedges. By default the handler has a policy of its own.
func WithPolicy(p *gwretry.Policy) Option {
	return func(o *Options) { o.Policy = p }
}

// WithHeaderBytes bounds the names and values of a request's headers.
func WithHeaderBytes(n int) Option {
	return func(o *Options) { o.HeaderBytes = n }
}

// WithRelayConnections bounds the connections to one relay.
func WithRelayConnections(n int) Option {
	return func(o *Options) { o.RelayConnections = n }
}

// WithLogger sets where the end of requests is logged. By default nothing is.
func WithLogger(log *slog.Logger) Option {
	return func(o *Options) { o.Logger = log }
}

// WithRegisterer registers the counters of the handler.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(o *Options) { o.Registerer = r }
}
