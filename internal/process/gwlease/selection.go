package gwlease

import (
	"cmp"
	"slices"

	gw "github.com/geraniumworks/geraniumworks"
)

// assignDispatchers assigns the least loaded host of the data centre to each server without a dispatcher.
func (c *Core) assignDispatchers() {
	if !c.hostsAnswered() {
		return
	}
	load := map[gw.HostName]int{}
	var waiting []*server
	for _, s := range c.byName {
		if s.dispatch.host != "" {
			load[s.dispatch.host]++
		} else if c.needsDispatcher(s) {
			waiting = append(waiting, s)
		}
	}
	slices.SortFunc(waiting, func(x, y *server) int { return cmp.Compare(x.entry.Name, y.entry.Name) })
	for _, s := range waiting {
		h := c.leastLoaded(s.entry.Name, load)
		if h == nil {
			return
		}
		load[h.entry.Name]++
		s.dispatch.host = h.entry.Name
		h.sendAt = c.now
		h.extendLeaseEnd(c.now.Add(c.opts.timing.upperBound(c.opts.timing.Lease)))
		c.event(Event{Kind: EventDispatcherChanged, Server: s.entry.Name, Host: h.entry.Name})
	}
}

// needsDispatcher reports whether the server needs a dispatcher now. For a server that needs a single sender, a read
// sent after the last sender was found to have stopped must have shown the record naming this Core. Otherwise a
// successor may have assigned another dispatcher.
func (c *Core) needsDispatcher(s *server) bool {
	if !s.answered || !s.listed || !c.hasSessions(s) && c.isSilent(s) {
		return false
	}
	if !c.needsSingleSender(s) || c.opts.faults.replaceSingleSender {
		return true
	}
	return s.dispatch.hasNoSenders() && (s.dispatch.lastStopID == 0 || c.confirmedAfter(s.dispatch.lastStopID))
}

// hostsAnswered reports whether all local hosts have answered, or have had DirectoryWait to do so, so that the
// dispatchers assigned by an earlier controller are known.
func (c *Core) hostsAnswered() bool {
	if !c.now.Before(c.control.since.Add(c.opts.timing.DirectoryWait)) {
		return true
	}
	for _, h := range c.hosts {
		if c.isLocal(h) && h.listed && !h.fenced {
			return false
		}
	}
	return true
}

// leastLoaded returns the eligible host that would have the fewest servers relative to its weight. Ties go to the
// first host in rendezvous order.
func (c *Core) leastLoaded(server gw.ServerName, load map[gw.HostName]int) *host {
	var best *host
	var bestScore uint64
	var bestLoad float64
	for name, h := range sorted(c.hosts) {
		if !c.eligible(h) {
			continue
		}
		score, weighed := hash(string(server), string(name)), float64(load[name]+1)/h.entry.Weight()
		if best == nil || weighed < bestLoad || weighed == bestLoad && score > bestScore {
			best, bestScore, bestLoad = h, score, weighed
		}
	}
	return best
}

// anyEligible reports whether some host can be named dispatcher now.
func (c *Core) anyEligible() bool {
	for _, h := range c.hosts {
		if c.eligible(h) {
			return true
		}
	}
	return false
}

func (c *Core) eligible(h *host) bool {
	return c.isLocal(h) && h.listed && inService(c.cfg, h.entry) && h.fenced && !h.stopping &&
		c.now.Sub(h.answeredAt) < c.opts.timing.Lease
}
