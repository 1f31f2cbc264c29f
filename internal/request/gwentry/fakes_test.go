package gwentry_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwpipeline"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwpool"
	"github.com/geraniumworks/geraniumworks/internal/request/gwentry"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
	"github.com/geraniumworks/geraniumworks/internal/request/gwrelay"
	"github.com/geraniumworks/geraniumworks/internal/request/gwretry"
)

// router is a gw.Router over a fixed list of targets.
type router struct {
	mu      sync.Mutex
	targets []gw.Target
	refusal *gw.Refusal
	calls   []gw.RouteRequest
}

func (r *router) Route(_ context.Context, req gw.RouteRequest) (gw.Target, *gw.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, req)
	if r.refusal != nil {
		return gw.Target{}, r.refusal
	}
	for _, t := range r.targets {
		if !slices.Contains(req.Exclude, t.Server) && (!t.HasKey || t.Token > req.Stale) {
			return t, nil
		}
	}
	return gw.Target{}, gw.Refuse(gw.ReasonNoServer, "no other server")
}

// dispatcher is a gw.Dispatcher with unlimited slots that records results.
type dispatcher struct {
	mu      sync.Mutex
	servers map[gw.ServerName]gw.DispatchServer
	refusal map[gw.ServerName]*gw.Refusal
	asked   []gw.SlotRequest
	open    int
	results []gw.AttemptResult
	// onDone is called at the end of each attempt, nil for nothing.
	onDone func()
}

type slot struct {
	d      *dispatcher
	server gw.DispatchServer
	once   sync.Once
}

func (d *dispatcher) Preview(gw.SlotRequest) *gw.Refusal {
	return nil
}

func (d *dispatcher) Acquire(_ context.Context, req gw.SlotRequest) (gw.Slot, *gw.Refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asked = append(d.asked, req)
	if r := d.refusal[req.Server]; r != nil {
		return nil, r
	}
	server, ok := d.servers[req.Server]
	if !ok {
		return nil, gw.Refuse(gw.ReasonNoServer, "not the dispatcher")
	}
	d.open++
	return &slot{d: d, server: server}, nil
}

func (d *dispatcher) Renew(gw.DispatchLease) (gw.DispatchStatus, error) {
	return gw.DispatchStatus{}, nil
}

func (d *dispatcher) Release(context.Context, gw.DispatchRelease) (gw.DispatchStatus, error) {
	return gw.DispatchStatus{}, nil
}

func (s *slot) Server() gw.DispatchServer { return s.server }

func (s *slot) SendBefore() time.Time { return time.Now().Add(time.Hour) }

func (s *slot) Done(result gw.AttemptResult) {
	done := false
	s.once.Do(func() { done = true })
	if !done {
		panic("Done was called twice")
	}
	if s.d.onDone != nil {
		s.d.onDone()
	}
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	s.d.open--
	s.d.results = append(s.d.results, result)
}

func (d *dispatcher) state() (open int, results []gw.AttemptResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open, slices.Clone(d.results)
}

// system is an entry host, a relay and their connections.
type system struct {
	entry      *gwentry.Handler
	relay      *gwrelay.Relay
	router     *router
	dispatcher *dispatcher
	pool       *gwpool.Pool
	// url is the base URL of the entry host for callers.
	url    string
	client *http.Client
	server *httptest.Server
}

// setup describes a system.
type setup struct {
	servers map[gw.ServerName]string
	limits  gw.ServiceLimits
	divided bool
	local   bool
	methods []string
	// relay is used instead of the address of the real relay when it is set.
	relay string
	// idle is the idle timeout of pooled connections in milliseconds.
	idle int64
	log  *slog.Logger
	// configure changes the configuration, nil for nothing.
	configure func(*gw.Config)
	quota     gwentry.Quota
}

func testConfig(s setup) gw.Config {
	limits := s.limits
	if limits.DeadlineMilliseconds == 0 {
		limits.DeadlineMilliseconds = 5000
	}
	if limits.BodyBytes == 0 {
		limits.BodyBytes = 8 << 20
	}
	return gw.Config{
		Version: 1,
		Regions: []gw.Region{{Name: "holland"}, {Name: "friesland"}},
		Tenants: []gw.Tenant{{Name: "harbour"}, {Name: "yard", HomeRegions: []gw.RegionName{"friesland"}}},
		Services: []gw.Service{
			{Name: "lookups", DividedByKey: true, Limits: limits},
			{Name: "claims", Limits: limits},
		},
		Routes: []gw.Route{
			{
				Name: "names", PathPrefix: "/names", Service: "lookups", RepeatableMethods: s.methods,
				Key: &gw.KeySource{From: gw.KeyFromPathSegment},
			},
			{Name: "claims", PathPrefix: "/claims", Service: "claims", RepeatableMethods: s.methods},
		},
	}
}

func newSystem(t testing.TB, s setup) *system {
	t.Helper()
	if s.log == nil {
		s.log = slog.New(slog.DiscardHandler)
	}
	idle := s.idle
	if idle == 0 {
		idle = gwpool.DefaultIdleMilliseconds
	}
	sys := &system{
		router:     &router{},
		dispatcher: &dispatcher{servers: map[gw.ServerName]gw.DispatchServer{}, refusal: map[gw.ServerName]*gw.Refusal{}},
		pool:       gwpool.New(gwpool.WithIdleMilliseconds(idle)),
	}
	t.Cleanup(sys.pool.Close)
	cfg := testConfig(s)
	if s.configure != nil {
		s.configure(&cfg)
	}
	config := func() gw.Config { return cfg }
	forwarder := gwforward.New(gwforward.WithPool(sys.pool))
	sys.relay = gwrelay.New(
		gwrelay.WithConfig(config), gwrelay.WithDispatcher(sys.dispatcher), gwrelay.WithForwarder(forwarder),
		gwrelay.WithRegion("holland"), gwrelay.WithLogger(s.log),
	)
	relay := start(t, gwforward.NewServer(sys.relay, 64<<10))
	relayAddress := relay.Listener.Addr().String()
	if s.relay != "" {
		relayAddress = s.relay
	}
	names := make([]gw.ServerName, 0, len(s.servers))
	for name, address := range s.servers {
		names = append(names, name)
		sys.dispatcher.servers[name] = gw.DispatchServer{Name: name, Address: address, Slots: 4, Connections: 8}
	}
	slices.Sort(names)
	service := gw.ServiceName("claims")
	if s.divided {
		service = "lookups"
	}
	for _, name := range names {
		sys.router.targets = append(sys.router.targets, gw.Target{
			Service: service, Server: name, HasKey: s.divided, Position: 42, Token: 7,
			RelayAddress: relayAddress, Local: s.local,
		})
	}
	sys.entry = gwentry.New(
		gwentry.WithConfig(config), gwentry.WithRouter(sys.router), gwentry.WithRegion("holland"),
		gwentry.WithLocal(sys.relay), gwentry.WithForwarder(forwarder),
		gwentry.WithPolicy(gwretry.New()), gwentry.WithLogger(s.log),
		gwentry.WithQuota(s.quota),
	)
	sys.server = startOn(t, gwforward.NewServer(sys.entry, gwentry.DefaultHeaderBytes), func(l net.Listener) net.Listener {
		return gwpipeline.Listener{Listener: l, Start: sys.entry.StartPipelined}
	})
	sys.url = sys.server.URL
	sys.client = &http.Client{Transport: &http.Transport{DisableCompression: true}}
	t.Cleanup(sys.client.CloseIdleConnections)
	return sys
}

func start(t testing.TB, server *http.Server) *httptest.Server {
	t.Helper()
	return startOn(t, server, func(l net.Listener) net.Listener { return l })
}

// startOn starts a server on a listener that wrap returns.
func startOn(t testing.TB, server *http.Server, wrap func(net.Listener) net.Listener) *httptest.Server {
	t.Helper()
	s := httptest.NewUnstartedServer(nil)
	s.Config = server
	s.Listener = wrap(s.Listener)
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// echoServer starts a server that repeats the request id in its answer and leaves the rest to handler.
func echoServer(t testing.TB, handler http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(gw.HeaderRequestID, r.Header.Get(gw.HeaderRequestID))
		w.Header().Set(gw.HeaderIncarnation, "run-1")
		handler(w, r)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// reply is the result of a request for the caller. err is set when the connection failed before the complete answer
// arrived.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (r reply) outcome() gw.Outcome { return gw.Outcome(r.header.Get(gw.HeaderOutcome)) }
func (r reply) reason() gw.Reason   { return gw.Reason(r.header.Get(gw.HeaderReason)) }

func (s *system) do(method, path string, body io.Reader, headers ...string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return s.doContext(ctx, method, path, body, headers...)
}

func (s *system) doContext(ctx context.Context, method, path string, body io.Reader, headers ...string) reply {
	r, err := http.NewRequestWithContext(ctx, method, s.url+path, body)
	if err != nil {
		return reply{err: err}
	}
	r.Header.Set(gw.HeaderTenant, "harbour")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := s.client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: data, err: err}
}

// eventually waits for up to 5 s until the condition holds.
func eventually(t testing.TB, condition func() bool, what string) {
	t.Helper()
	require.Eventually(t, condition, 5*time.Second, time.Millisecond, what)
}

// dialTo opens a raw connection to the entry host.
func (s *system) dialTo(t testing.TB) net.Conn {
	t.Helper()
	conn, err := net.DialTimeout("tcp", s.server.Listener.Addr().String(), time.Second)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	return conn
}
