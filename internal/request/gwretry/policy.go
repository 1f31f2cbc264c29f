// Package gwretry decides about retries and hedges of requests, within budgets that are a share of requests.
package gwretry

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	gw "github.com/geraniumworks/geraniumworks"
)

// Policy decides for all services of an entry host.
type Policy struct {
	opts     Options
	verdicts *prometheus.CounterVec
	hedges   *prometheus.CounterVec

	mu       sync.RWMutex
	services map[gw.ServiceName]*Service
}

// Service decides for one service.
type Service struct {
	policy *Policy

	mu      sync.Mutex
	retries budget
	hedges  budget
	latency *latency
}

// New returns a policy.
func New(opts ...Option) *Policy {
	o := Options{Attempts: DefaultAttempts, Burst: DefaultBurst, HedgeQuantile: DefaultHedgeQuantile}
	for _, opt := range opts {
		opt(&o)
	}
	f := promauto.With(o.Registerer)
	return &Policy{
		opts: o,
		verdicts: f.NewCounterVec(prometheus.CounterOpts{
			Namespace: "geraniumworks", Subsystem: "retry", Name: "verdicts_total",
			Help: "Decisions after a refused attempt.",
		}, []string{"verdict"}),
		hedges: f.NewCounterVec(prometheus.CounterOpts{
			Namespace: "geraniumworks", Subsystem: "retry", Name: "hedges_total",
			Help: "Hedges that were due, by whether the budget permitted them.",
		}, []string{"sent"}),
		services: make(map[gw.ServiceName]*Service),
	}
}

// Service returns the decisions for a service.
func (p *Policy) Service(name gw.ServiceName) *Service {
	p.mu.RLock()
	s := p.services[name]
	p.mu.RUnlock()
	if s != nil {
		return s
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s = p.services[name]; s == nil {
		s = &Service{
			policy: p, retries: newBudget(p.opts.Burst), hedges: newBudget(p.opts.Burst),
			latency: newLatency(time.Now()),
		}
		p.services[name] = s
	}
	return s
}

// Request adds the share of one caller's request to the budgets.
func (s *Service) Request(limits gw.ServiceLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retries.deposit(limits.RetryPercent)
	s.hedges.deposit(limits.HedgePercent)
}

// Retry decides what to do after a refused attempt, and takes a retry from the budget when it permits one.
func (s *Service) Retry(limits gw.ServiceLimits, f Failed) Decision {
	d := decide(f, s.policy.opts.Attempts)
	if d.Verdict == VerdictRetry {
		s.mu.Lock()
		if !s.retries.take(limits.RetryPercent) {
			d.Verdict = VerdictBudget
		}
		s.mu.Unlock()
	}
	s.policy.verdicts.WithLabelValues(string(d.Verdict)).Inc()
	return d
}

// Observe records the latency of an answer.
func (s *Service) Observe(now time.Time, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency.observe(now, d)
}

// HedgeAfter returns when a hedge is due for an attempt that starts at now, and false when the service has
// none or too few answers are known.
func (s *Service) HedgeAfter(limits gw.ServiceLimits, now time.Time) (time.Time, bool) {
	if limits.HedgePercent <= 0 {
		return time.Time{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.latency.quantile(now, s.policy.opts.HedgeQuantile)
	return now.Add(d), d > 0
}

// TakeHedge takes a hedge from the budget, and reports false when the budget has none.
func (s *Service) TakeHedge(limits gw.ServiceLimits) bool {
	s.mu.Lock()
	ok := s.hedges.take(limits.HedgePercent)
	s.mu.Unlock()
	label := "false"
	if ok {
		label = "true"
	}
	s.policy.hedges.WithLabelValues(label).Inc()
	return ok
}
