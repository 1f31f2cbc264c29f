// Package gwdispatch implements the dispatcher: it queues requests for the servers leased to this host and limits how
// many of them run at each server at a time. A slot is the right to run one request at a server.
package gwdispatch

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwcost"
)

// Dispatcher implements gw.Dispatcher. Requests lock only the mutex of their server; leases and releases also lock a
// mutex of the dispatcher.
type Dispatcher struct {
	instance   gw.InstanceID
	clock      gw.Clock
	origin     time.Time
	registerer prometheus.Registerer
	metrics    *metrics
	limits     atomic.Pointer[map[gw.ServiceName]gw.ServiceLimits]
	// costs has the models of the services that are cost-aware.
	costs    atomic.Pointer[map[gw.ServiceName]*gwcost.Model]
	stopping atomic.Bool
	// cutOff is set while this host reaches no server.
	cutOff atomic.Bool

	// outliers is copied on write, by each run of the outlier detection.
	outliers atomic.Pointer[map[gw.ServiceName][]gw.ServerName]
	// servers is copied on write, so that requests read it without a lock.
	servers atomic.Pointer[map[serverKey]*server]

	mu        sync.Mutex
	cells     map[gw.CellID]*cell
	detectors map[gw.ServiceName]*detector
}

var _ gw.Dispatcher = (*Dispatcher)(nil)

type serverKey struct {
	service gw.ServiceName
	name    gw.ServerName
}

// cell holds the servers leased by the controller of a cell, and the version of its newest message.
type cell struct {
	version      gw.ItemVersion
	leaseVersion gw.ItemVersion
	servers      map[gw.ServerName]*server
}

// server adds a mutex and a timer to a serverState.
type server struct {
	d       *Dispatcher
	service gw.ServiceName
	granted prometheus.Counter

	mu    sync.Mutex
	state *serverState
	timer *time.Timer
	// timerAt is when the timer fires, zero when it is stopped.
	timerAt time.Time
}

// New returns a Dispatcher without any server.
func New(opts ...Option) *Dispatcher {
	d := &Dispatcher{
		clock: gw.SystemClock{}, cells: make(map[gw.CellID]*cell),
		detectors: make(map[gw.ServiceName]*detector),
	}
	d.limits.Store(&map[gw.ServiceName]gw.ServiceLimits{})
	d.costs.Store(&map[gw.ServiceName]*gwcost.Model{})
	d.outliers.Store(&map[gw.ServiceName][]gw.ServerName{})
	d.servers.Store(&map[serverKey]*server{})
	for _, opt := range opts {
		opt(d)
	}
	if d.origin.IsZero() {
		// One second earlier, so that no clock reading is zero: a lease with deadline zero only asks for the status.
		d.origin = d.clock.Now().Add(-time.Second)
	}
	d.metrics = newMetrics(d.registerer)
	if d.registerer != nil {
		d.registerer.MustRegister(newCostCollector(func() map[gw.ServiceName]*gwcost.Model { return *d.costs.Load() }))
	}
	return d
}

// SetConfig applies the limits of a configuration.
func (d *Dispatcher) SetConfig(cfg gw.Config) {
	limits := make(map[gw.ServiceName]gw.ServiceLimits, len(cfg.Services))
	costs := make(map[gw.ServiceName]*gwcost.Model)
	for _, s := range cfg.Services {
		limits[s.Name] = s.Limits
		if !s.CostAware {
			continue
		}
		if costs[s.Name] = (*d.costs.Load())[s.Name]; costs[s.Name] == nil {
			costs[s.Name] = gwcost.NewModel()
		}
	}
	for _, model := range costs {
		model.Retain(func(name gw.RouteName) bool {
			return slices.ContainsFunc(cfg.Routes, func(r gw.Route) bool { return r.Name == name })
		})
	}
	d.limits.Store(&limits)
	d.costs.Store(&costs)
	for key, s := range *d.servers.Load() {
		s.step(func(st *serverState, now time.Time) {
			st.limits = withDefaults(limits[key.service])
			st.setCosts(costs[key.service])
			st.advance(now)
		})
	}
}

// SetStopping marks this process as stopping in its statuses, so that controllers lease its servers to other hosts.
func (d *Dispatcher) SetStopping() {
	d.stopping.Store(true)
}

// SetCutOff sets whether this host reaches no server at the moment. Its statuses then ask controllers, as those of a
// stopping process do, to lease its servers to other hosts.
func (d *Dispatcher) SetCutOff(cutOff bool) {
	d.cutOff.Store(cutOff)
}

// Clock returns the current reading of the clock by which this process interprets the deadlines of leases.
func (d *Dispatcher) Clock() gw.ClockMilliseconds {
	return d.clockReading(d.clock.Now())
}

func (d *Dispatcher) clockReading(now time.Time) gw.ClockMilliseconds {
	return gw.ClockMilliseconds(now.Sub(d.origin).Milliseconds())
}

// Acquire implements gw.Dispatcher. The slot returned is a *Slot.
func (d *Dispatcher) Acquire(ctx context.Context, req gw.SlotRequest) (gw.Slot, *gw.Refusal) {
	s, ok := (*d.servers.Load())[serverKey{req.Service, req.Server}]
	if !ok {
		d.metrics.refused(req.Service, gw.ReasonNoServer)
		return nil, gw.Refuse(gw.ReasonNoServer, "this host is not the dispatcher of the server")
	}
	slot := &Slot{s: s, r: request{SlotRequest: req}}
	r := &slot.r
	waiting := false
	s.step(func(st *serverState, now time.Time) {
		st.submit(now, r)
		waiting = r.state == stateWaiting
	})
	if waiting {
		select {
		case <-r.ready:
		case <-ctx.Done():
			s.step(func(st *serverState, now time.Time) {
				if !st.cancel(r) {
					// The request got a slot at the moment ctx ended.
					st.returnUnused(now, r)
					r.refusal = gw.Refuse(gw.ReasonDeadlineTooShort, "the caller stopped waiting")
				}
			})
		}
	}
	if r.refusal != nil {
		d.metrics.refused(req.Service, r.refusal.Reason)
		d.metrics.refusedByRule(r)
		return nil, r.refusal
	}
	s.granted.Inc()
	return slot, nil
}

// Preview implements gw.Dispatcher.
func (d *Dispatcher) Preview(req gw.SlotRequest) *gw.Refusal {
	s, ok := (*d.servers.Load())[serverKey{req.Service, req.Server}]
	if !ok {
		return gw.Refuse(gw.ReasonNoServer, "this host is not the dispatcher of the server")
	}
	var refusal *gw.Refusal
	s.step(func(st *serverState, now time.Time) { refusal = st.preview(now, &request{SlotRequest: req}) })
	return refusal
}

// step runs f on the server's state and wakes the waiting requests that were started or refused.
func (s *server) step(f func(st *serverState, now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.d.clock.Now()
	f(s.state, now)
	for i, r := range s.state.decided {
		close(r.ready)
		s.state.decided[i] = nil
	}
	s.state.decided = s.state.decided[:0]
	s.setTimer(now)
}

// setTimer schedules the next call of advance. The timer runs only while requests or releases wait, so an idle server
// costs nothing.
func (s *server) setTimer(now time.Time) {
	at := s.state.wakeAt(now)
	if at.IsZero() || !s.timerAt.IsZero() && !at.Before(s.timerAt) {
		return
	}
	s.timerAt = at
	if s.timer != nil {
		s.timer.Reset(at.Sub(now))
		return
	}
	s.timer = time.AfterFunc(at.Sub(now), func() {
		s.step(func(st *serverState, now time.Time) {
			s.timerAt = time.Time{}
			st.advance(now)
		})
	})
}

// Slot implements gw.Slot.
type Slot struct {
	s *server
	r request
}

var _ gw.Slot = (*Slot)(nil)

// Server returns the server as the lease described it when the slot was granted.
func (s *Slot) Server() gw.DispatchServer {
	return *s.r.server
}

// SendBefore returns when the right to send the request ends: the request's deadline or the end of the right to send
// to the server, whichever is earlier. The sender must check it directly before the first byte, and call Done with
// not-run when it has passed.
func (s *Slot) SendBefore() time.Time {
	return s.r.sendBefore
}

// Done frees the slot. When the outcome is unknown and the result has no end, the server may still be running the
// request, and the slot stays occupied until the request's deadline. A second call has no effect.
func (s *Slot) Done(result gw.AttemptResult) {
	ok := false
	s.s.step(func(st *serverState, now time.Time) { ok = st.finish(now, &s.r, result) })
	if !ok {
		s.s.d.metrics.doneTwice.Inc()
	}
}

func (d *Dispatcher) checkVersion(c *cell, to gw.InstanceID, v gw.ItemVersion) error {
	if to != d.instance {
		return eris.Wrapf(gw.ErrOtherInstance, "message is for instance %s, this is %s", to, d.instance)
	}
	switch {
	case c == nil || !v.Less(c.version):
		return nil
	case v.Epoch < c.version.Epoch:
		return eris.Wrapf(gw.ErrStaleEpoch, "message has epoch %d, already accepted %d", v.Epoch, c.version.Epoch)
	default:
		// Messages of one controller can arrive out of order. A stale epoch would tell it that another controller has
		// taken over.
		return eris.Wrapf(gw.ErrStaleRevision, "message has sequence %d, already accepted %d", v.Sequence, c.version.Sequence)
	}
}

// Load returns how many slots of a server are occupied and how many requests wait for one. It returns ok false when
// this host is not the dispatcher of the server.
func (d *Dispatcher) Load(service gw.ServiceName, name gw.ServerName) (inFlight, waiting int, ok bool) {
	s, ok := (*d.servers.Load())[serverKey{service, name}]
	if !ok {
		return 0, 0, false
	}
	s.step(func(st *serverState, now time.Time) {
		st.advance(now)
		inFlight, waiting, ok = len(st.busy), st.queue.length, st.listed
	})
	return inFlight, waiting, ok
}
