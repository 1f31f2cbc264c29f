package gwlease

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	gw "github.com/geraniumworks/geraniumworks"
)

// activeCandidates is the number of hosts that watch the controller of a cell. With three, one is left when two
// hosts are lost at once. Each adds two probes and a tenth of a store read per second.
const activeCandidates = 3

// Candidates returns the hosts that may control a cell, in the order in which they take over. Hosts of the region in
// other data centres come first, then those of the cell's own. Within each group they are ordered by weight, and
// equal weights by rendezvous hash. Hosts that are leaving or out of service are left out.
func Candidates(cell gw.CellID, region gw.RegionName, cfg gw.Config, hosts []gw.HostEntry) []gw.HostEntry {
	type ranked struct {
		entry gw.HostEntry
		near  bool
		score uint64
	}
	all := make([]ranked, 0, len(hosts))
	for _, h := range hosts {
		if h.Region == region && inService(cfg, h) {
			score := hash(string(cell.Service), string(cell.DataCentre), string(h.Name))
			all = append(all, ranked{entry: h, near: h.DataCentre == cell.DataCentre, score: score})
		}
	}
	slices.SortFunc(all, func(x, y ranked) int {
		if x.near != y.near {
			if y.near {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(y.entry.Weight(), x.entry.Weight()),
			cmp.Compare(y.score, x.score), cmp.Compare(x.entry.Name, y.entry.Name))
	})
	order := make([]gw.HostEntry, len(all))
	for i, r := range all {
		order[i] = r.entry
	}
	return order
}

// standbyCandidates is how many of the first candidates keep the state of a cell, so that the active ones are ready
// when they have to act although hosts differ for a moment in what they know of the others.
const standbyCandidates = 2 * activeCandidates

// StandsBy reports whether a host is among the first candidates of a cell, so that it may soon have to control it.
func StandsBy(cell gw.CellID, self gw.HostEntry, cfg gw.Config, hosts []gw.HostEntry) bool {
	order := Candidates(cell, self.Region, cfg, hosts)
	return slices.ContainsFunc(order[:min(len(order), standbyCandidates)], func(h gw.HostEntry) bool {
		return h.Name == self.Name
	})
}

// sorted iterates over a map in the order of its keys, so that equal inputs give equal outputs.
func sorted[K cmp.Ordered, V any](m map[K]V) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, k := range slices.Sorted(maps.Keys(m)) {
			if !yield(k, m[k]) {
				return
			}
		}
	}
}

func inService(cfg gw.Config, h gw.HostEntry) bool {
	return h.State == gw.EntryLive && !cfg.IsOut(gw.OutHost, string(h.Name)) &&
		!cfg.IsOut(gw.OutDataCentre, string(h.DataCentre))
}

// declaredStopped reports whether an operator declared that all processes of a host are stopped.
func declaredStopped(cfg gw.Config, host gw.HostName, dc gw.DataCentreName) bool {
	return slices.ContainsFunc(cfg.OutOfService, func(o gw.OutOfService) bool {
		return o.Stopped && (o.Kind == gw.OutHost && o.Name == string(host) ||
			o.Kind == gw.OutDataCentre && dc != "" && o.Name == string(dc))
	})
}

// updateCandidates recomputes the candidates after a change of the configuration or of the host list.
func (c *Core) updateCandidates() {
	c.candidates = Candidates(c.opts.cell, c.opts.region, c.cfg, c.listing.Hosts)
}

// rank returns this host's index among the candidates, not counting the recorded controller's host, or -1.
func (c *Core) rank() int {
	cell, _ := c.recordedCell()
	n := 0
	for _, h := range c.candidates {
		if h.Name == c.opts.host {
			return n
		}
		if h.Name != cell.Host {
			n++
		}
	}
	return -1
}

// isCandidate reports whether this host is one of the active candidates, which watch the controller.
func (c *Core) isCandidate() bool {
	r := c.rank()
	return !c.stopping && r >= 0 && r < activeCandidates
}

// otherCandidates returns the first activeCandidates candidates other than this host.
func (c *Core) otherCandidates() []gw.HostEntry {
	others := make([]gw.HostEntry, 0, activeCandidates)
	for _, h := range c.candidates {
		if h.Name != c.opts.host && len(others) < activeCandidates {
			others = append(others, h)
		}
	}
	return others
}
