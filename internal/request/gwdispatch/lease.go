package gwdispatch

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
)

// Renew accepts a lease. It fails with gw.ErrOtherInstance when the lease is for another instance, with
// gw.ErrStaleEpoch when a higher epoch of the cell has been accepted, with gw.ErrStaleRevision when a higher sequence
// of the epoch has been accepted, and with gw.ErrPastDeadline. The status is valid in all cases, but it has counts only
// with a nil error. A lease with a zero deadline only asks for the status; its instance may be empty, because the
// sender learns it from the status.
func (d *Dispatcher) Renew(lease gw.DispatchLease) (gw.DispatchStatus, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	version := gw.ItemVersion{Epoch: uint64(lease.Epoch), Sequence: lease.Sequence}
	c := d.cells[lease.Cell]
	to := lease.To
	if lease.Deadline == 0 && to == "" {
		to = d.instance
	}
	if err := d.checkVersion(c, to, version); err != nil {
		return d.bareStatus(c, now), err
	}
	if reading := d.clockReading(now); lease.Deadline != 0 && lease.Deadline <= reading {
		return d.bareStatus(c, now), eris.Wrapf(gw.ErrPastDeadline, "deadline %d, clock reading %d", lease.Deadline, reading)
	}
	if c == nil {
		c = &cell{servers: make(map[gw.ServerName]*server)}
		d.cells[lease.Cell] = c
	}
	// A message without a deadline raises the version too: its answer tells a new controller that lower epochs are
	// refused from now on.
	c.version = version
	if lease.Deadline == 0 {
		return d.status(lease.Cell, c, now), nil
	}
	c.leaseVersion = version
	end := d.origin.Add(time.Duration(lease.Deadline) * time.Millisecond)
	d.applyServers(lease.Cell.Service, c, lease.Servers, end, version)
	return d.status(lease.Cell, c, now), nil
}

func (d *Dispatcher) applyServers(
	service gw.ServiceName, c *cell, listed []gw.DispatchServer, end time.Time, version gw.ItemVersion,
) {
	names := make(map[gw.ServerName]bool, len(listed))
	for _, entry := range listed {
		names[entry.Name] = true
		d.server(service, c, entry.Name).step(func(st *serverState, now time.Time) {
			st.rateLimiter.set(d.origin, entry)
			st.lease(now, entry, end, version)
			if entry.PausedUntil > 0 && entry.Incarnation == st.incarnation {
				st.pausedUntil = latest(st.pausedUntil, d.origin.Add(time.Duration(entry.PausedUntil)*time.Millisecond))
			}
		})
	}
	for name, s := range c.servers {
		if names[name] {
			continue
		}
		idle := false
		s.step(func(st *serverState, now time.Time) {
			st.blocks = slices.DeleteFunc(st.blocks, func(b block) bool { return b.version.Less(version) })
			st.unlist(now)
			idle = st.idle()
		})
		if idle {
			delete(c.servers, name)
			d.updateServers(func(all map[serverKey]*server) { delete(all, serverKey{service, name}) })
		}
	}
}

// server returns the server of the cell and creates it when there is none.
func (d *Dispatcher) server(service gw.ServiceName, c *cell, name gw.ServerName) *server {
	if s, ok := c.servers[name]; ok {
		return s
	}
	s := &server{
		d: d, service: service, granted: d.metrics.granted.WithLabelValues(string(service)),
		state: newServerState(name, (*d.limits.Load())[service]),
	}
	s.state.setCosts((*d.costs.Load())[service])
	c.servers[name] = s
	d.updateServers(func(all map[serverKey]*server) { all[serverKey{service, name}] = s })
	return s
}

// updateServers applies a change to a copy of the map that requests read, and swaps it in.
func (d *Dispatcher) updateServers(change func(map[serverKey]*server)) {
	all := maps.Clone(*d.servers.Load())
	change(all)
	d.servers.Store(&all)
}

// errSuperseded reports a release that a newer lease has undone. It is not a stale version: the epoch of the sender is
// current, and the sender treats the release as lost.
var errSuperseded = errors.New("a newer lease lists the ranges again")

// Release stops requests for ranges of a server, or for the whole server when there are none, and returns when none is
// in flight. The ranges stay blocked until a lease of a higher sequence lists them. It fails with gw.ErrOtherInstance,
// with gw.ErrStaleEpoch or gw.ErrStaleRevision when a newer message has been accepted, with another error when a newer
// lease lists the ranges again before they are idle, and with the error of ctx. In the last case the ranges stay
// blocked.
func (d *Dispatcher) Release(ctx context.Context, release gw.DispatchRelease) (gw.DispatchStatus, error) {
	version := gw.ItemVersion{Epoch: uint64(release.Epoch), Sequence: release.Sequence}
	wait, err := d.startRelease(release, version)
	if err != nil {
		return d.statusOf(release.Cell, false), err
	}
	select {
	case <-wait.done:
	case <-ctx.Done():
		return d.statusOf(release.Cell, false), eris.Wrap(ctx.Err(), "requests are still in flight")
	}
	if wait.superseded {
		return d.statusOf(release.Cell, false), eris.Wrapf(errSuperseded, "release of server %s", release.Server)
	}
	return d.statusOf(release.Cell, true), nil
}

func (d *Dispatcher) startRelease(release gw.DispatchRelease, version gw.ItemVersion) (*pendingRelease, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.cells[release.Cell]
	if err := d.checkVersion(c, release.To, version); err != nil {
		return nil, err
	}
	if c == nil {
		c = &cell{servers: make(map[gw.ServerName]*server)}
		d.cells[release.Cell] = c
	}
	c.version = version
	var wait *pendingRelease
	d.server(release.Cell.Service, c, release.Server).step(func(st *serverState, now time.Time) {
		wait = st.release(now, release.Ranges, version)
	})
	return wait, nil
}

func (d *Dispatcher) statusOf(id gw.CellID, full bool) gw.DispatchStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if full {
		return d.status(id, d.cells[id], now)
	}
	return d.bareStatus(d.cells[id], now)
}

// bareStatus returns a status without servers. It goes with errors: reading the counts resets them, and the sender
// would lose them.
func (d *Dispatcher) bareStatus(c *cell, now time.Time) gw.DispatchStatus {
	out := gw.DispatchStatus{Instance: d.instance, Clock: d.clockReading(now)}
	out.Stopping = d.stopping.Load() || d.cutOff.Load()
	if c != nil {
		out.Epoch, out.Sequence = gw.Epoch(c.version.Epoch), c.version.Sequence
	}
	return out
}

func (d *Dispatcher) status(id gw.CellID, c *cell, now time.Time) gw.DispatchStatus {
	out := d.bareStatus(c, now)
	if c == nil {
		return out
	}
	d.detect(id.Service)
	for _, name := range slices.Sorted(maps.Keys(c.servers)) {
		c.servers[name].step(func(st *serverState, now time.Time) {
			out.Servers = append(out.Servers, st.status(now))
		})
	}
	return out
}
