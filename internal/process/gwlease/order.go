package gwlease

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	gw "github.com/geraniumworks/geraniumworks"
)

// earlyCandidates is the number of hosts that watch the controller of a cell. Two hosts lost at once still
// leave one, and each adds two probes and a tenth of a store read a second.
const earlyCandidates = 3

// Candidates returns the hosts that may control a cell, in the order in which they take over: hosts of the
// region in other data centres first, then those of the cell's own, each by weight and among equals by rendezvous hash.
// Hosts that are leaving or out of service are skipped.
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

// sorted iterates over a map in the order of its keys, so that the same inputs give the same outputs.
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

// stopped reports whether an operator asserted that all processes of a host are stopped.
func stopped(cfg gw.Config, host gw.HostName, dc gw.DataCentreName) bool {
	return slices.ContainsFunc(cfg.OutOfService, func(o gw.OutOfService) bool {
		return o.Stopped && (o.Kind == gw.OutHost && o.Name == string(host) ||
			o.Kind == gw.OutDataCentre && dc != "" && o.Name == string(dc))
	})
}

// reorder recomputes the candidates after a change of the configuration or of the host list.
func (c *Core) reorder() {
	c.order = Candidates(c.o.cell, c.o.region, c.cfg, c.listing.Hosts)
}

// rank returns this host's place among the candidates without the recorded controller's host, or -1.
func (c *Core) rank() int {
	cell, _ := c.recordedCell()
	n := 0
	for _, h := range c.order {
		if h.Name == c.o.host {
			return n
		}
		if h.Name != cell.Host {
			n++
		}
	}
	return -1
}

// isCandidate reports whether this host watches the controller.
func (c *Core) isCandidate() bool {
	r := c.rank()
	return !c.stopping && r >= 0 && r < earlyCandidates
}

// others returns the early candidates beside this host.
func (c *Core) others() []gw.HostEntry {
	others := make([]gw.HostEntry, 0, earlyCandidates)
	for _, h := range c.order {
		if h.Name != c.o.host && len(others) < earlyCandidates {
			others = append(others, h)
		}
	}
	return others
}
