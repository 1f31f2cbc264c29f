package gwlease

import (
	"errors"
	"slices"
	"strconv"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// host is what the Core knows of a host: its address for all hosts, and what it dispatches for those in the cell's
// data centre.
type host struct {
	entry    gw.HostEntry
	listed   bool
	instance gw.InstanceID
	// seenID is the last request id used when the instance was first seen.
	seenID     uint64
	clock      gw.ClockMilliseconds
	clockAt    time.Time
	answeredAt time.Time
	// fenced is set when the process has answered under this epoch, since it refuses lower epochs from then on.
	fenced   bool
	stopping bool
	sendAt   time.Time
	// leaseEnd is the time from which no lease sent so far can be live.
	leaseEnd time.Time
}

// dispatchState is which processes may send requests to a server.
type dispatchState struct {
	// host is the dispatcher, empty while there is none.
	host gw.HostName
	// senders are the processes that may send to the server: the dispatcher, and former dispatchers that are not
	// proved to have stopped. Each has the sequence of the last message that allowed it to send.
	senders map[gw.HostName]sender
	// sendersKnown is set when senders is complete.
	sendersKnown bool
	// lastStopID is the last request id used when the last sender was found to have stopped.
	lastStopID uint64
	slots      int
	occupied   []occupiedSlots
	report     gw.DispatchedServer
}

type sender struct {
	instance gw.InstanceID
	sequence uint64
	// releaseID is the outstanding release of the whole server.
	releaseID uint64
}

// occupiedSlots are slots whose requests may still be running at the server.
type occupiedSlots struct {
	slots int
	until time.Time
}

func (d *dispatchState) reset(known bool) {
	*d = dispatchState{senders: map[gw.HostName]sender{}, sendersKnown: known}
}

// hasNoSenders reports whether no process may send to the server.
func (d *dispatchState) hasNoSenders() bool {
	return d.sendersKnown && len(d.senders) == 0
}

// needsSingleSender reports whether ownership is safe only while a single process sends to the server.
func (c *Core) needsSingleSender(s *server) bool {
	return c.service.DividedByKey && (!s.answered || !s.checksFencing)
}

// updateHosts applies the host list. A host that is no longer listed is kept, because its process may only be paused
// and may still send to a server.
func (c *Core) updateHosts() {
	for _, h := range c.hosts {
		h.listed = false
	}
	for _, e := range c.listing.Hosts {
		h, ok := c.hosts[e.Name]
		if !ok {
			h = &host{}
			c.hosts[e.Name] = h
		}
		h.entry, h.listed = e, true
	}
}

// resetHosts discards what was learnt under an earlier epoch.
func (c *Core) resetHosts() {
	c.sequence = 0
	for name, h := range c.hosts {
		c.hosts[name] = &host{entry: h.entry, listed: h.listed}
	}
}

// extendLeaseEnd gives a new dispatcher time to answer its first lease before it counts as lost.
func (h *host) extendLeaseEnd(until time.Time) {
	if until.After(h.leaseEnd) {
		h.leaseEnd = until
	}
}

func (c *Core) isLocal(h *host) bool {
	return h.entry.DataCentre == c.opts.cell.DataCentre
}

// dispatcherAnswered applies a dispatcher's status.
func (c *Core) dispatcherAnswered(in DispatcherAnswered) {
	r, ok := c.takeRequest(in.ID, requestLease, requestDispatchRelease)
	if !ok || !c.controls() || r.id <= c.control.startID {
		return
	}
	h := c.hosts[r.host]
	refused := errors.Is(in.Err, gw.ErrOtherInstance) || errors.Is(in.Err, gw.ErrPastDeadline)
	if errors.Is(in.Err, gw.ErrStaleEpoch) || in.Status.Epoch > c.control.epoch {
		c.watch.readWanted = true
		c.loseControl("dispatcher " + string(r.host) + " has accepted a higher epoch")
		return
	}
	if h == nil || in.Err != nil && !refused || in.Status.Instance == "" {
		return
	}
	if !c.noteInstance(h, r, in.Status) {
		return
	}
	h.answeredAt = c.now
	h.stopping = in.Status.Stopping
	if in.Status.Clock > h.clock || h.clockAt.IsZero() {
		h.clock, h.clockAt = in.Status.Clock, c.now
	}
	c.noteSent(h, in.Status)
	if in.Err == nil && r.kind == requestDispatchRelease && r.instance == h.instance {
		c.dispatchReleased(h, r)
	}
}

// noteInstance records which process answered, and reports whether it is the current one.
func (c *Core) noteInstance(h *host, r *request, status gw.DispatchStatus) bool {
	if status.Instance == h.instance {
		return true
	}
	if h.instance != "" {
		if r.id <= h.seenID {
			return false
		}
		for _, s := range c.byName {
			if s.dispatch.senders[h.entry.Name].instance != status.Instance {
				c.removeSender(s, h.entry.Name, true)
			}
		}
	}
	h.instance = status.Instance
	h.seenID = c.lastRequestID
	h.fenced = false
	h.clock, h.clockAt, h.leaseEnd = 0, time.Time{}, time.Time{}
	h.sendAt = c.now
	c.progressNow = true
	return true
}

// noteSent compares the servers that a dispatcher may send to with those that the Core allowed.
func (c *Core) noteSent(h *host, status gw.DispatchStatus) {
	first := !h.fenced && status.Epoch == c.control.epoch
	named := make(map[gw.ServerName]bool, len(status.Servers))
	for _, d := range status.Servers {
		named[d.Name] = true
		s := c.servers[d.Name]
		if s == nil && first {
			// The host list does not name it at the moment, but may name it again.
			s = c.addServer(d.Name)
			c.sortServers()
		}
		if s == nil {
			continue
		}
		if first {
			c.adoptSender(s, h, d)
		}
		if s.dispatch.host == h.entry.Name {
			s.dispatch.report = d
			c.noteSaid(s, d)
			c.updateWarmup(s, d)
			if c.service.OrderedKeys {
				s.noteArrivals(c.now, d)
			}
		}
	}
	if first {
		h.fenced = true
		c.progressNow = true
	}
	for _, s := range c.byName {
		at, ok := s.dispatch.senders[h.entry.Name]
		if ok && !named[s.entry.Name] && status.Epoch == c.control.epoch && status.Sequence >= at.sequence {
			if s.dispatch.host != h.entry.Name {
				c.removeSender(s, h.entry.Name, false)
			}
		}
	}
}

// noteSaid applies what a server has said in its answers to the dispatcher's requests.
func (c *Core) noteSaid(s *server, d gw.DispatchedServer) {
	if d.Incarnation != s.incarnation {
		return
	}
	if d.Leaving && !s.saysLeaving {
		s.saysLeaving = true
		c.event(Event{Kind: EventServerLeaving, Server: s.entry.Name, Detail: string(s.incarnation)})
		c.progressNow = true
	}
	s.pausedUntil = later(s.pausedUntil, c.now.Add(time.Duration(d.PauseMilliseconds)*time.Millisecond))
	c.noteLimit(s, d.LimitPerSecond)
}

// noteLimit records how many requests a second a server takes, and reports the begin and the end of such a limit.
func (c *Core) noteLimit(s *server, perSecond float64) {
	switch {
	case s.limitPerSecond == 0 && perSecond > 0:
		detail := strconv.FormatFloat(perSecond, 'g', -1, 64) + " requests a second"
		c.event(Event{Kind: EventServerLimit, Server: s.entry.Name, Detail: detail})
	case s.limitPerSecond > 0 && perSecond == 0:
		c.event(Event{Kind: EventServerLimit, Server: s.entry.Name, Detail: "none"})
	}
	s.limitPerSecond = perSecond
}

// adoptSender keeps the dispatcher that an earlier controller assigned.
func (c *Core) adoptSender(s *server, h *host, d gw.DispatchedServer) {
	s.dispatch.senders[h.entry.Name] = sender{instance: h.instance}
	// Two processes are never allowed to send to a server that does not check fencing, so this sender is the only
	// one.
	s.dispatch.sendersKnown = true
	if s.dispatch.host == "" {
		s.dispatch.host = h.entry.Name
		h.extendLeaseEnd(c.now.Add(c.opts.timing.upperBound(c.opts.timing.Lease)))
		c.adoptWarmup(s, d)
	}
}

// checkSendersKnown concludes that no other process may send, once every host ever seen in the data centre has
// answered under this epoch or counts as stopped.
func (c *Core) checkSendersKnown() {
	if !slices.ContainsFunc(c.byName, func(s *server) bool { return !s.dispatch.sendersKnown }) {
		return
	}
	for name, h := range c.hosts {
		if c.isLocal(h) && !h.fenced && !c.countsAsStopped(name) {
			return
		}
	}
	for _, s := range c.byName {
		if !s.dispatch.sendersKnown {
			s.dispatch.sendersKnown = true
			s.dispatch.lastStopID = c.lastRequestID
		}
	}
}

// removeSender removes a process that can no longer send. running is set when the process did not end its requests
// itself, so that they may still be running.
func (c *Core) removeSender(s *server, name gw.HostName, running bool) {
	if _, ok := s.dispatch.senders[name]; !ok {
		return
	}
	delete(s.dispatch.senders, name)
	s.dispatch.lastStopID = c.lastRequestID
	if s.dispatch.host == name {
		c.clearDispatcher(s, running)
	}
	c.progressNow = true
}

// clearDispatcher removes a server's dispatcher. Requests that it sent may still be running and take slots from the
// next dispatcher. A server whose entry states its slots counts its requests itself and refuses excess ones, and
// most requests end with the lease, so no slots are held back there.
func (c *Core) clearDispatcher(s *server, running bool) {
	if running && s.dispatch.slots > 0 && s.entry.Slots == 0 {
		until := c.now.Add(time.Duration(c.service.Limits.DeadlineMilliseconds) * time.Millisecond)
		s.dispatch.occupied = append(s.dispatch.occupied, occupiedSlots{slots: s.dispatch.slots, until: until})
	}
	s.dispatch.host = ""
	s.dispatch.slots = 0
	s.dispatch.report = gw.DispatchedServer{}
	c.progressNow = true
}

// countsAsStopped reports whether an operator declared a host's process stopped and the process does not answer. A
// process that answers was started after the statement, which arrived late.
func (c *Core) countsAsStopped(name gw.HostName) bool {
	h := c.hosts[name]
	return h != nil && c.silentSince(h.answeredAt) && declaredStopped(c.cfg, name, h.entry.DataCentre)
}

// removeStoppedSenders applies operators' statements that the processes of dispatchers are stopped.
func (c *Core) removeStoppedSenders() {
	for _, s := range c.byName {
		for name := range sorted(s.dispatch.senders) {
			if c.countsAsStopped(name) {
				c.removeSender(s, name, true)
			}
		}
	}
}
