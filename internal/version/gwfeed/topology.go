package gwfeed

import (
	gw "github.com/geraniumworks/geraniumworks"
)

// topology is what a Feed derives from a list of hosts. It is kept until the list is replaced, since sorting the
// hosts of a large fleet for each pull and each offer took more processor time than the pulls themselves.
type topology struct {
	// first and n identify the list.
	first *gw.HostEntry
	n     int
	// own are the relays of this host's data centre, all those of every data centre, the own one first.
	own []gw.HostEntry
	all []gw.HostEntry
	// live is the number of live hosts in this host's data centre.
	live int
}

// topologyOf returns the topology of the present list of hosts.
func (f *Feed) topologyOf() *topology {
	hosts := f.hosts()
	if len(hosts) == 0 {
		return &topology{}
	}
	if t := f.topology.Load(); t != nil && t.first == &hosts[0] && t.n == len(hosts) {
		return t
	}
	t := &topology{first: &hosts[0], n: len(hosts), all: allRelays(hosts, f.self.DataCentre)}
	for _, h := range hosts {
		if h.DataCentre == f.self.DataCentre && h.State == gw.EntryLive {
			t.live++
		}
	}
	t.own = t.all[:min(t.live, RelaysPerDataCentre)]
	f.topology.Store(t)
	return t
}
