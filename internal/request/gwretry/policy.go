// Package gwretry decides on retries and hedges of requests. Their number is limited by budgets, which are a share of
// the requests of a service.
package gwretry

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	gw "github.com/geraniumworks/geraniumworks"
)

// Policy holds the retry and hedge policies of all services of an entry host.
type Policy struct {
	opts     Options
	verdicts *prometheus.CounterVec
	hedges   *prometheus.CounterVec

	mu       sync.RWMutex
	services map[gw.ServiceName]*ServicePolicy
}

// ServicePolicy decides on the retries and hedges of one service.
type ServicePolicy struct {
	policy *Policy

	mu      sync.Mutex
	retries budget
	hedges  budget
	latency *latencyTracker
}

// New returns a Policy.
func New(opts ...Option) *Policy {
	o := Options{Attempts: DefaultAttempts, Burst: func() int { return DefaultBurst }, HedgeQuantile: DefaultHedgeQuantile}
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
		services: make(map[gw.ServiceName]*ServicePolicy),
	}
}

// Service returns the policy of a service.
func (p *Policy) Service(name gw.ServiceName) *ServicePolicy {
	p.mu.RLock()
	s := p.services[name]
	p.mu.RUnlock()
	if s != nil {
		return s
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s = p.services[name]; s == nil {
		s = &ServicePolicy{
			policy: p, retries: newBudget(p.opts.Burst()), hedges: newBudget(p.opts.Burst()),
			latency: newLatencyTracker(time.Now()),
		}
		p.services[name] = s
	}
	return s
}

// AddRequest adds the share of one request of a caller to the budgets.
func (s *ServicePolicy) AddRequest(limits gw.ServiceLimits) {
	burst := s.policy.opts.Burst()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retries.deposit(limits.RetryPercent, burst)
	s.hedges.deposit(limits.HedgePercent, burst)
}

// Retry decides whether a refused attempt is retried. If so, it takes a retry from the budget.
func (s *ServicePolicy) Retry(limits gw.ServiceLimits, f FailedAttempt) Decision {
	d := decide(f, s.policy.opts.Attempts)
	if d.Verdict == VerdictRetry {
		burst := s.policy.opts.Burst()
		s.mu.Lock()
		if !s.retries.take(limits.RetryPercent, burst) {
			d.Verdict = VerdictBudget
		}
		s.mu.Unlock()
	}
	s.policy.verdicts.WithLabelValues(string(d.Verdict)).Inc()
	return d
}

// Observe records the latency of an answer.
func (s *ServicePolicy) Observe(now time.Time, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency.observe(now, d)
}

// HedgeAfter returns when a hedge is due for an attempt that starts at now. It returns false when the service permits
// no hedges or too few latencies have been recorded.
func (s *ServicePolicy) HedgeAfter(limits gw.ServiceLimits, now time.Time) (time.Time, bool) {
	if limits.HedgePercent <= 0 {
		return time.Time{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.latency.quantile(now, s.policy.opts.HedgeQuantile)
	return now.Add(d), d > 0
}

// TakeHedge takes a hedge from the budget and reports whether the budget permits it.
func (s *ServicePolicy) TakeHedge(limits gw.ServiceLimits) bool {
	burst := s.policy.opts.Burst()
	s.mu.Lock()
	ok := s.hedges.take(limits.HedgePercent, burst)
	s.mu.Unlock()
	label := "false"
	if ok {
		label = "true"
	}
	s.policy.hedges.WithLabelValues(label).Inc()
	return ok
}
