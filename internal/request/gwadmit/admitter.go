// Package gwadmit implements the admission control of an entry host: rate and concurrency limits of tenants, and
// concurrency limits of services.
package gwadmit

import (
	"container/list"
	"context"
	"math"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	gw "github.com/geraniumworks/geraniumworks"
)

// Admitter limits the requests that one entry host accepts, by tenant and by service. It never queues a request: the
// queue is at the dispatcher of the server, which knows the free slots.
type Admitter struct {
	clock               gw.Clock
	registerer          prometheus.Registerer
	metrics             *metrics
	defaultServiceLimit int
	maxTenants          int
	weight              func(gw.TenantName) float64

	mu            sync.Mutex
	tenantLimits  map[gw.TenantName]gw.Tenant
	serviceLimits map[gw.ServiceName]int
	services      map[gw.ServiceName]*serviceState
	tenants       map[gw.TenantName]*tenantState
	// idle lists the tenants without requests in flight, starting with the longest idle one.
	idle *list.List
}

// serviceState counts the requests in flight of one service. Its map holds only tenants with requests in flight.
type serviceState struct {
	limit    int
	inFlight int
	tenants  map[gw.TenantName]*tenantShare
	admitted prometheus.Counter
}

type tenantShare struct {
	inFlight int
	weight   float64
}

type tenantState struct {
	name     gw.TenantName
	limiter  *rate.Limiter
	inFlight int
	// idle is the element in Admitter.idle, nil while requests are in flight.
	idle *list.Element
}

// New returns an Admitter. It has no limits for tenants until SetConfig is called.
func New(opts ...Option) *Admitter {
	a := &Admitter{
		clock: gw.SystemClock{}, defaultServiceLimit: defaultServiceInFlight, maxTenants: defaultMaxTenants,
		weight:        func(gw.TenantName) float64 { return 1 },
		serviceLimits: make(map[gw.ServiceName]int), services: make(map[gw.ServiceName]*serviceState),
		tenants: make(map[gw.TenantName]*tenantState), idle: list.New(),
	}
	for _, opt := range opts {
		opt(a)
	}
	a.metrics = newMetrics(a.registerer)
	return a
}

// SetConfig applies the tenant limits of a configuration at once. Requests in flight keep counting towards the limits.
func (a *Admitter) SetConfig(cfg gw.Config) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tenantLimits = make(map[gw.TenantName]gw.Tenant, len(cfg.Tenants))
	for _, t := range cfg.Tenants {
		a.tenantLimits[t.Name] = t
	}
	now := a.clock.Now()
	for name, t := range a.tenants {
		limit, burst := tenantRate(a.tenantLimits[name])
		t.limiter.SetLimitAt(now, limit)
		t.limiter.SetBurstAt(now, burst)
	}
}

// SetServiceInFlight sets the limit of concurrent requests of a service at this entry host, for example a few times the
// number of slots in its directories.
func (a *Admitter) SetServiceInFlight(name gw.ServiceName, n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.serviceLimits[name] = n
	if s, ok := a.services[name]; ok {
		s.limit = n
	}
}

// tenantRate returns the rate limit of a tenant. The burst is the number of requests of one second.
func tenantRate(t gw.Tenant) (limit rate.Limit, burst int) {
	if t.RequestsPerSecond <= 0 {
		return rate.Inf, 0
	}
	return rate.Limit(t.RequestsPerSecond), max(1, int(math.Ceil(t.RequestsPerSecond)))
}

// Admit accepts a request or refuses it with gw.ReasonTenantLimit or gw.ReasonOverloaded, without waiting. The priority
// is taken from ctx, see WithPriority. release must be called when the request has ended. Further calls have no effect.
func (a *Admitter) Admit(
	ctx context.Context, name gw.TenantName, svc gw.ServiceName,
) (release func(), ref *gw.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	priority := priorityOf(ctx)
	s := a.service(svc)
	if ref := a.checkService(s, name, priority); ref != nil {
		a.metrics.refused(svc, ref.Reason)
		return nil, ref
	}
	t := a.tenant(name)
	if t == nil {
		a.metrics.refused(svc, gw.ReasonOverloaded)
		return nil, overloaded("too many tenants have requests in flight at this host")
	}
	if ref := a.checkTenant(t, priority); ref != nil {
		a.metrics.refused(svc, ref.Reason)
		return nil, ref
	}
	a.enter(svc, s, t)
	s.admitted.Inc()
	var released atomic.Bool
	return func() {
		if released.CompareAndSwap(false, true) {
			a.leave(svc, s, t)
		}
	}, nil
}

// checkTenant applies the limits of the tenant. A retry takes no token from the rate limiter, since the first attempt
// of the request took one.
func (a *Admitter) checkTenant(t *tenantState, priority Priority) *gw.Refusal {
	if limit := a.tenantLimits[t.name].InFlight; limit > 0 && t.inFlight >= limit {
		return gw.Refuse(gw.ReasonTenantLimit, "the tenant exceeds its limit of requests in flight")
	}
	if priority != PriorityRetry && !t.limiter.AllowN(a.clock.Now(), 1) {
		ref := gw.Refuse(gw.ReasonTenantLimit, "the tenant exceeds its limit of requests per second")
		ref.RetryAfterSeconds = max(1, int(math.Ceil(1/float64(t.limiter.Limit()))))
		return ref
	}
	return nil
}

// fairShareFactor limits the requests in flight of a tenant of weight 1 to this multiple of the service's remaining
// capacity. One tenant alone can use 8/9 of the limit and n tenants 8n/(8n+1), so that a new tenant always finds free
// capacity. This is the dynamic threshold scheme of shared switch buffers (Choudhury and Hahne, 1998). It needs neither
// a count of active tenants nor a record of refused ones.
const fairShareFactor = 8

// checkService applies the limit of the service, of which each priority may use only its share, and the fair share of
// the tenant.
func (a *Admitter) checkService(s *serviceState, name gw.TenantName, priority Priority) *gw.Refusal {
	free := int(math.Ceil(float64(s.limit)*priority.usableShare())) - s.inFlight
	if free <= 0 {
		return overloaded("the service has reached its limit of requests in flight at this host")
	}
	if own := s.tenants[name]; own != nil && float64(own.inFlight) >= fairShareFactor*own.weight*float64(free) {
		return overloaded("the tenant has used up its share of the service at this host")
	}
	return nil
}

func overloaded(detail string) *gw.Refusal {
	ref := gw.Refuse(gw.ReasonOverloaded, detail)
	ref.RetryAfterSeconds = 1
	return ref
}

// service returns the state of a service, a new one when the service has no requests in flight.
func (a *Admitter) service(name gw.ServiceName) *serviceState {
	if s, ok := a.services[name]; ok {
		return s
	}
	limit, ok := a.serviceLimits[name]
	if !ok {
		limit = a.defaultServiceLimit
	}
	return &serviceState{
		limit: limit, tenants: make(map[gw.TenantName]*tenantShare),
		admitted: a.metrics.admitted.WithLabelValues(string(name)),
	}
}

// tenant returns the state of a tenant, a new one if necessary. At maxTenants it evicts the tenant that has been idle
// longest, including its rate limiter. It returns nil when none is idle.
func (a *Admitter) tenant(name gw.TenantName) *tenantState {
	if t, ok := a.tenants[name]; ok {
		if t.idle != nil {
			// A tenant that is refused repeatedly must not be evicted, since it would get a new burst.
			a.idle.MoveToBack(t.idle)
		}
		return t
	}
	if len(a.tenants) >= a.maxTenants {
		oldest := a.idle.Front()
		if oldest == nil {
			return nil
		}
		a.idle.Remove(oldest)
		delete(a.tenants, oldest.Value.(*tenantState).name)
	}
	limit, burst := tenantRate(a.tenantLimits[name])
	t := &tenantState{name: name, limiter: rate.NewLimiter(limit, burst)}
	t.idle = a.idle.PushBack(t)
	a.tenants[name] = t
	return t
}

func (a *Admitter) enter(name gw.ServiceName, s *serviceState, t *tenantState) {
	a.services[name] = s
	if t.idle != nil {
		a.idle.Remove(t.idle)
		t.idle = nil
	}
	t.inFlight++
	sh := s.tenants[t.name]
	if sh == nil {
		sh = &tenantShare{weight: a.weight(t.name)}
		s.tenants[t.name] = sh
	}
	sh.inFlight++
	s.inFlight++
}

func (a *Admitter) leave(name gw.ServiceName, s *serviceState, t *tenantState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t.inFlight--
	if t.inFlight == 0 {
		t.idle = a.idle.PushBack(t)
	}
	s.inFlight--
	sh := s.tenants[t.name]
	sh.inFlight--
	if sh.inFlight == 0 {
		delete(s.tenants, t.name)
	}
	if s.inFlight == 0 {
		delete(a.services, name)
	}
}
