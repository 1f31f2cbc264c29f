package gwlease

import (
	"cmp"
	"slices"

	gw "github.com/geraniumworks/geraniumworks"
)

// renewDispatchers assigns, renews and releases dispatchers.
func (c *Core) renewDispatchers() {
	c.dropLostDispatchers()
	if c.anyStopped {
		c.removeStoppedSenders()
	}
	c.checkSendersKnown()
	c.assignDispatchers()
	var byHost map[gw.HostName][]*server
	for name, h := range sorted(c.hosts) {
		if !c.isLocal(h) || !c.due(h.sendAt) || h.entry.PeerAddress == "" {
			continue
		}
		if byHost == nil {
			byHost = c.serversByHost()
		}
		c.renewHost(h, byHost[name])
	}
	for _, s := range c.byName {
		c.releaseSenders(s)
	}
}

func (c *Core) serversByHost() map[gw.HostName][]*server {
	byHost := make(map[gw.HostName][]*server, len(c.hosts))
	for _, s := range c.byName {
		if s.dispatch.host != "" {
			byHost[s.dispatch.host] = append(byHost[s.dispatch.host], s)
		}
	}
	for _, servers := range byHost {
		slices.SortFunc(servers, func(x, y *server) int { return cmp.Compare(x.entry.Name, y.entry.Name) })
	}
	return byHost
}

// dropLostDispatchers removes dispatchers whose lease has ended. A server that needs a single sender keeps its
// dispatcher, because a paused process may still send.
func (c *Core) dropLostDispatchers() {
	for _, s := range c.byName {
		h := c.hosts[s.dispatch.host]
		if h == nil || h.leaseEnd.IsZero() || c.now.Before(h.leaseEnd) {
			continue
		}
		if !c.needsSingleSender(s) || c.opts.faults.replaceSingleSender {
			c.clearDispatcher(s, true)
		}
	}
}

// renewHost sends a lease. Without servers to lease or a recent clock reading, the message only asks for the status.
func (c *Core) renewHost(h *host, servers []*server) {
	h.sendAt = c.now.Add(c.opts.timing.LeaseEvery)
	if len(servers) == 0 && h.fenced {
		// It only has to stay eligible.
		h.sendAt = c.now.Add(c.opts.timing.Lease - c.opts.timing.LeaseEvery)
	}
	r := c.newRequest(requestLease, c.opts.timing.RequestTimeout)
	r.host, r.instance = h.entry.Name, h.instance
	c.sequence++
	l := gw.DispatchLease{Cell: c.opts.cell, Epoch: c.control.epoch, Sequence: c.sequence, To: h.instance}
	if h.fenced && c.now.Sub(h.clockAt) < c.opts.timing.Lease-c.opts.timing.LeaseEvery {
		l.Deadline = h.clock + gw.ClockMilliseconds(c.opts.timing.Lease.Milliseconds())
		if end := h.clockAt.Add(c.opts.timing.upperBound(c.opts.timing.Lease)); end.After(h.leaseEnd) {
			h.leaseEnd = end
		}
		l.Servers = c.leasedServers(h, servers)
	}
	c.emit(SendDispatchLease{ID: r.id, Host: h.entry, Lease: l})
}

func (c *Core) leasedServers(h *host, servers []*server) []gw.DispatchServer {
	leased := make([]gw.DispatchServer, 0, len(servers))
	for _, s := range servers {
		at := s.dispatch.senders[h.entry.Name]
		if c.outstanding(at.releaseID) || c.mustLeaveDispatcher(s) {
			continue
		}
		s.dispatch.senders[h.entry.Name] = sender{instance: h.instance, sequence: c.sequence}
		s.dispatch.slots = c.freeSlots(s)
		d := gw.DispatchServer{
			Name: s.entry.Name, Address: s.entry.Address, Incarnation: s.incarnation, ChecksFencing: s.checksFencing,
			Slots: s.dispatch.slots, Connections: c.service.Limits.ConnectionsPerServer,
			Leaving: c.isLeaving(s), Revision: c.record.assignment.Revision,
			LimitPerSecond: s.limitPerSecond,
		}
		if s.pausedUntil.After(c.now) {
			d.PausedUntil = h.clock + gw.ClockMilliseconds(s.pausedUntil.Sub(h.clockAt).Milliseconds())
		}
		if cold := s.coldUntil.Sub(h.clockAt); s.coldUntil.After(c.now) {
			d.ColdRequestsPerSecond = c.service.ColdRequestsPerSecond
			d.ColdUntil = h.clock + gw.ClockMilliseconds(cold.Milliseconds())
		}
		if !c.needsSingleSender(s) {
			d.OverrunMilliseconds = c.opts.timing.LeaseOverrun.Milliseconds()
		}
		// A dispatcher uses the list to refuse requests only for servers that need a single sender, and otherwise
		// only to count requests.
		d.RangesOmitted = !c.needsSingleSender(s) && s.dispatch.report.Revision == d.Revision
		if c.service.DividedByKey && !d.RangesOmitted {
			d.Ranges = c.grantedRanges(s.entry.Name)
		}
		leased = append(leased, d)
	}
	return leased
}

// mustLeaveDispatcher reports whether a server must be taken from its dispatcher: because the host stops or is taken
// out of service, because the server does not answer and has no session that would end by itself, or because it is
// no longer listed and owns nothing.
func (c *Core) mustLeaveDispatcher(s *server) bool {
	h := c.hosts[s.dispatch.host]
	if h == nil {
		return false
	}
	if !inService(c.cfg, h.entry) {
		return true
	}
	// A stopping host continues until another host can take its servers, so that no request is refused in between.
	if h.stopping && c.anyEligible() {
		return true
	}
	return c.needsSingleSender(s) && c.isSilent(s) || !s.listed && len(c.rangesByOwner[s.entry.Name]) == 0
}

// releaseSenders sends a release of the whole server to every process that must stop sending to it.
func (c *Core) releaseSenders(s *server) {
	if _, only := s.dispatch.senders[s.dispatch.host]; len(s.dispatch.senders) == 0 ||
		only && len(s.dispatch.senders) == 1 && !c.mustLeaveDispatcher(s) {
		return
	}
	for name, at := range sorted(s.dispatch.senders) {
		if name == s.dispatch.host && !c.mustLeaveDispatcher(s) || name != s.dispatch.host && !c.needsSingleSender(s) {
			continue
		}
		h := c.hosts[name]
		if h == nil || c.outstanding(at.releaseID) || at.instance != h.instance {
			continue
		}
		r := c.newRequest(requestDispatchRelease, c.opts.timing.ReleaseTimeout)
		r.host, r.instance, r.server = name, at.instance, s.entry.Name
		c.sequence++
		at.releaseID, at.sequence = r.id, c.sequence
		s.dispatch.senders[name] = at
		c.emit(SendDispatchRelease{ID: r.id, Host: h.entry, Release: c.dispatchRelease(at.instance, s, nil)})
	}
}

func (c *Core) dispatchRelease(to gw.InstanceID, s *server, ranges []gw.Range) gw.DispatchRelease {
	return gw.DispatchRelease{
		Cell: c.opts.cell, Epoch: c.control.epoch, Sequence: c.sequence, To: to, Server: s.entry.Name, Ranges: ranges,
	}
}

// progressUnchecked frees a range of a server that does not check fencing, or of which that is not known.
func (c *Core) progressUnchecked(s *server, m *move) {
	if c.rangesUnserved(s) {
		m.withheld, m.freed = true, true
		return
	}
	if !s.answered || !s.dispatch.sendersKnown || !c.storeHealthy() {
		return
	}
	m.withheld = true
	for name, at := range sorted(s.dispatch.senders) {
		h := c.hosts[name]
		if m.acknowledged[name] || c.outstanding(m.dispatchReleaseIDs[name]) || h == nil || h.instance != at.instance {
			continue
		}
		r := c.newRequest(requestDispatchRelease, c.opts.timing.ReleaseTimeout)
		r.host, r.instance, r.server, r.moves = name, at.instance, s.entry.Name, []gw.Position{m.first}
		m.dispatchReleaseIDs[name] = r.id
		c.sequence++
		release := c.dispatchRelease(at.instance, s, []gw.Range{m.span})
		c.emit(SendDispatchRelease{ID: r.id, Host: h.entry, Release: release})
	}
}

// dispatchReleased applies an acknowledged release.
func (c *Core) dispatchReleased(h *host, r *request) {
	s := c.servers[r.server]
	if s == nil {
		return
	}
	if r.moves == nil {
		if at, ok := s.dispatch.senders[h.entry.Name]; ok && at.releaseID == r.id {
			c.removeSender(s, h.entry.Name, false)
		}
		return
	}
	for _, first := range r.moves {
		m := c.moves[first]
		if m == nil || m.from != r.server || m.dispatchReleaseIDs[h.entry.Name] != r.id {
			continue
		}
		m.acknowledged[h.entry.Name] = true
		m.freed = m.freed || c.allAcked(s, m)
		c.progressNow = true
	}
}

func (c *Core) allAcked(s *server, m *move) bool {
	for name := range s.dispatch.senders {
		if !m.acknowledged[name] {
			return false
		}
	}
	return s.dispatch.sendersKnown
}
