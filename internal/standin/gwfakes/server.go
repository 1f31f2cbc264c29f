package gwfakes

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	gw "github.com/geraniumworks/geraniumworks"
)

// Server is the stand-in of one backend server. docs/INTERFACES.md describes its protocol.
type Server struct {
	entry   gw.ServerEntry
	options serverOptions
	clock   ServerClock
	mux     *http.ServeMux
	conns   connTable

	mu sync.Mutex
	// fence is nil when the server does not check fencing.
	fence       *Fence
	incarnation gw.Incarnation
	draining    bool
	leaving     bool
	slots       slotMeter
	load        loadSample
	registers   map[string]register
	executions  *executions
	faults      serverFaults
	// changed is closed and replaced when work ends, a list is accepted or a fault changes.
	changed chan struct{}
}

// NewServer returns a server that has just started. The address of the entry is not used.
func NewServer(entry gw.ServerEntry, opts ...ServerOption) *Server {
	o := defaultServerOptions()
	for _, opt := range opts {
		opt(&o)
	}
	if o.incarnation == "" {
		o.incarnation = gw.Incarnation(uuid.NewString())
	}
	s := &Server{
		entry:      entry,
		options:    o,
		clock:      NewServerClock(o.clock, o.clockRate, o.clockOffset),
		mux:        http.NewServeMux(),
		conns:      connTable{limit: o.connections, open: map[*numberedConn]bool{}},
		registers:  map[string]register{},
		executions: newExecutions(),
		changed:    make(chan struct{}),
	}
	s.reset(o.incarnation)
	s.controlRoutes()
	s.adminRoutes()
	return s
}

// ServeHTTP implements http.Handler. Limits and faults that concern connections need Serve.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Work bypasses the mux, which would redirect paths such as /a//b.
	if strings.HasPrefix(r.URL.Path, "/gw/") || strings.HasPrefix(r.URL.Path, "/admin/") {
		s.mux.ServeHTTP(w, r)
		return
	}
	s.work(w, r)
}

// Serve answers on l until ctx ends, announces for the leaving period that the server is leaving, and then
// lets the requests in progress finish.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := make(chan error, 1)
	go func() {
		ended <- serve(serving, s.conns.listener(l), s, s.conns.context)
	}()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	s.leave(serving)
	stop()
	return <-ended
}

// leave waits until the server holds no ranges and no work, for at most the leaving period.
func (s *Server) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.options.leavingPeriod)
	defer cancel()
	s.SetLeaving()
	for {
		s.mu.Lock()
		changed := s.changed
		held := s.fence != nil && len(s.fence.Ranges()) > 0
		running := s.slots.running
		s.mu.Unlock()
		if !held && running == 0 {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Restart makes the server another run of itself: without session and ranges, and cold. Its connections are
// closed and requests in progress have no effect. Registers and the counts of executions stay.
func (s *Server) Restart(incarnation gw.Incarnation) {
	s.reset(incarnation)
	s.conns.closeExcept(0)
}

func (s *Server) reset(incarnation gw.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation = incarnation
	s.fence = nil
	if s.options.fencing {
		s.fence = NewFence(s.entry, incarnation)
	}
	s.draining, s.leaving = false, false
	s.slots = slotMeter{
		slots:       s.options.slots,
		coldPercent: s.options.coldPercent,
		coldUntil:   s.options.clock.Now().Add(s.options.cold),
		// The excess is kept, since tests read it at the end.
		highestExcess: s.slots.highestExcess,
		excesses:      s.slots.excesses,
	}
	s.load = loadSample{}
	s.broadcast()
}

// SetLeaving makes the status say that the server is draining, while it still accepts work.
func (s *Server) SetLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.broadcast()
}

// Status returns the server's answer to a control message.
func (s *Server) Status() gw.ServerStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status()
}

// status returns the server's answer to a control message. The caller holds mu.
func (s *Server) status() gw.ServerStatus {
	status := gw.ServerStatus{Server: s.entry.Name, Incarnation: s.incarnation, Clock: s.clock.Read()}
	if s.fence != nil {
		status = s.fence.Status(status.Clock)
	}
	status.Draining = s.draining || s.leaving
	return status
}

// broadcast wakes all that wait for a change. The caller holds mu.
func (s *Server) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) now() time.Time {
	return s.options.clock.Now()
}
