package gwfakes

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/process/gwtimer"
)

// Store is the stand-in of the platform's store: a StoreMap behind HTTP with JSON, with a limit on calls and
// faults that are set under /admin/. docs/INTERFACES.md describes the protocol.
type Store struct {
	mux    *http.ServeMux
	clock  gw.Clock
	reads  *rate.Limiter
	writes *rate.Limiter

	mu     sync.Mutex
	values *StoreMap
	faults storeFaults
	calls  callCount
	// changed is closed and replaced when a value or the faults change.
	changed chan struct{}
}

// StoreOption configures a Store.
type StoreOption func(*Store)

// WithStoreLimits limits reads and writes a second. A call above the limit is refused. Zero means no limit.
func WithStoreLimits(readsPerSecond, writesPerSecond int) StoreOption {
	return func(s *Store) {
		s.reads, s.writes = callLimiter(readsPerSecond), callLimiter(writesPerSecond)
	}
}

// WithStoreClock sets the clock that leases and limits are measured by.
func WithStoreClock(c gw.Clock) StoreOption {
	return func(s *Store) { s.clock = c }
}

// NewStore returns an empty store.
func NewStore(opts ...StoreOption) *Store {
	s := &Store{
		mux:     http.NewServeMux(),
		clock:   gw.SystemClock{},
		reads:   callLimiter(0),
		writes:  callLimiter(0),
		values:  NewStoreMap(),
		calls:   newCallCount(),
		changed: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.mux.HandleFunc("GET /v1/value", s.call("get", s.reads, s.get))
	s.mux.HandleFunc("GET /v1/values", s.call("list", s.reads, s.list))
	s.mux.HandleFunc("GET /v1/watch", s.call("watch", s.reads, s.watch))
	s.mux.HandleFunc("POST /v1/compare-and-swap", s.call("compare-and-swap", s.writes, s.compareAndSwap))
	s.mux.HandleFunc("POST /v1/leases/open", s.call("lease", s.writes, s.openLease))
	s.mux.HandleFunc("POST /v1/leases/renew", s.call("lease", s.writes, s.renewLease))
	s.mux.HandleFunc("POST /v1/leases/close", s.call("lease", s.writes, s.closeLease))
	s.adminRoutes()
	return s
}

// callLimiter lets a tenth of a second's calls through at once.
func callLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(perSecond/10, 1))
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Serve answers on l until ctx ends.
func (s *Store) Serve(ctx context.Context, l net.Listener) error {
	return serve(ctx, l, s, nil)
}

// call wraps a handler with the limit, the counts and the faults that concern every call.
func (s *Store) call(kind string, limit *rate.Limiter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		now := s.clock.Now()
		allowed := limit.AllowN(now, 1)
		s.mu.Lock()
		s.calls.add(now, kind, allowed)
		faults := s.faults
		s.mu.Unlock()
		if !allowed {
			refuse(w, http.StatusTooManyRequests, "call-limit", "too many calls a second")
			return
		}
		if faults.down != "" {
			s.answerDown(w, r, faults.down)
			return
		}
		// A write goes on although its caller may have given up, as in a store whose queue is long.
		ctx := r.Context()
		if r.Method != http.MethodGet {
			ctx = context.WithoutCancel(ctx)
		}
		if !gwtimer.Sleep(ctx, faults.slow) {
			return
		}
		next(w, r)
	}
}

// broadcast wakes the waiting watches. The caller holds mu.
func (s *Store) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) now() time.Time {
	return s.clock.Now()
}
