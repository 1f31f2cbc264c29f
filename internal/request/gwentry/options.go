package gwentry

import (
	"context"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
	"github.com/geraniumworks/geraniumworks/internal/request/gwretry"
)

// Default values of options.
const (
	// DefaultHeaderBytes is the largest permitted total size of the names and values of a request's headers.
	DefaultHeaderBytes = 32 << 10
	// DefaultRelayConnections is the largest number of connections to one relay.
	DefaultRelayConnections = 512
)

// Deliverer sends requests to servers whose dispatcher is this process. The dispatcher of a server is the one host that
// assigns the slots of that server to requests.
type Deliverer interface {
	Deliver(ctx context.Context, req *gwforward.Request) (*gwforward.Answer, *gw.Refusal)
}

// Admission limits the requests of tenants.
type Admission interface {
	// Admit returns a function to be called at the end of the request, or a refusal with gw.ReasonTenantLimit or
	// gw.ReasonOverloaded.
	Admit(ctx context.Context, tenant gw.Tenant, service gw.ServiceName) (release func(), refusal *gw.Refusal)
}

// Quota limits the requests of tenants over all hosts together.
type Quota interface {
	// Admit may wait shortly for a token. It returns a function to be called when the request was never sent, or a refusal
	// with gw.ReasonTenantLimit.
	Admit(ctx context.Context, tenant gw.Tenant) (giveBack func(), refusal *gw.Refusal)
}

// Observer is told how attempts end, so that the choice of servers can take it into account.
type Observer interface {
	// Begin is called before an attempt. The returned function is called once at the end of the attempt: with a refusal
	// when no server answered, otherwise with the status when the answer has ended.
	Begin(target gw.Target) (done func(status int, refusal *gw.Refusal))
}

// AttemptReport is what an attempt at a server of a cost-aware service has shown about the server.
type AttemptReport struct {
	// Dispatcher is the report of the server's dispatcher. It is nil for a local target, and when there was none.
	Dispatcher *gwforward.DispatcherReport
	// Served is how long the request was at the server, zero when it was refused; Took is how long the attempt took.
	Served, Took time.Duration
	// Failed is true when the request has failed at the server.
	Failed bool
	// AnswerBytes is the size of the answer, negative when it is not known.
	AnswerBytes int64
}

// Options are the settings of a Handler.
type Options struct {
	Config           func() gw.Config
	Router           gw.Router
	Region           gw.RegionName
	Local            Deliverer
	Admission        Admission
	Quota            Quota
	Observer         Observer
	Reports          func(gw.Target, AttemptReport)
	Leaving          func(gw.ServerName, gw.Incarnation)
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

// WithConfig sets the function that returns the configuration in force. It is required. A version of zero means that
// no configuration has been received yet.
func WithConfig(config func() gw.Config) Option {
	return func(o *Options) { o.Config = config }
}

// WithRouter sets the router that chooses the target of a request. It is required.
func WithRouter(r gw.Router) Option {
	return func(o *Options) { o.Router = r }
}

// WithRegion sets the region of this host.
func WithRegion(r gw.RegionName) Option {
	return func(o *Options) { o.Region = r }
}

// WithLocal sets the deliverer of requests whose target is local. Without it they are sent to the relay address.
func WithLocal(d Deliverer) Option {
	return func(o *Options) { o.Local = d }
}

// WithAdmission sets the admission control. By default every request is admitted.
func WithAdmission(a Admission) Option {
	return func(o *Options) { o.Admission = a }
}

// WithQuota sets the quotas of tenants. By default there are none.
func WithQuota(q Quota) Option {
	return func(o *Options) { o.Quota = q }
}

// WithObserver sets the observer of attempts. By default there is none.
func WithObserver(o Observer) Option {
	return func(opts *Options) { opts.Observer = o }
}

// WithReports sets a function that is told what attempts have shown about servers of cost-aware services. By default
// nobody is told.
func WithReports(reports func(gw.Target, AttemptReport)) Option {
	return func(o *Options) { o.Reports = reports }
}

// WithLeaving sets a function that is told which run of a server has said in an answer that it leaves. By default
// nobody is told.
func WithLeaving(leaving func(gw.ServerName, gw.Incarnation)) Option {
	return func(o *Options) { o.Leaving = leaving }
}

// WithForwarder sets the forwarder that sends requests to relays. By default the handler creates one.
func WithForwarder(f *gwforward.Forwarder) Option {
	return func(o *Options) { o.Forwarder = f }
}

// WithCallerProtocol sets the protocol for callers. By default it is gwforward.NativeCallers.
func WithCallerProtocol(p gw.CallerProtocol) Option {
	return func(o *Options) { o.Callers = p }
}

// WithPolicy sets the policy for retries and hedges. By default the handler creates one.
func WithPolicy(p *gwretry.Policy) Option {
	return func(o *Options) { o.Policy = p }
}

// WithHeaderBytes sets the largest permitted total size of the names and values of a request's headers.
func WithHeaderBytes(n int) Option {
	return func(o *Options) { o.HeaderBytes = n }
}

// WithRelayConnections sets the largest number of connections to one relay.
func WithRelayConnections(n int) Option {
	return func(o *Options) { o.RelayConnections = n }
}

// WithLogger sets the logger for the end of requests. By default nothing is logged.
func WithLogger(log *slog.Logger) Option {
	return func(o *Options) { o.Logger = log }
}

// WithRegisterer sets the registerer for the metrics of the handler.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(o *Options) { o.Registerer = r }
}
