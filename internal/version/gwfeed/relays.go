package gwfeed

import (
	"cmp"
	"slices"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/version/gwrank"
)

// RelaysPerDataCentre is the number of hosts in each data centre that read the store.
const RelaysPerDataCentre = 2

// Relays returns the relays of a data centre: the live hosts with the highest weight, in rendezvous order among equals.
// A relay sends each new assignment to all hosts of its data centre, which a link of 10 Mbit/s does not carry.
func Relays(hosts []gw.HostEntry, dc gw.DataCentreName) []gw.HostEntry {
	byName := map[gw.HostName]gw.HostEntry{}
	var names []gw.HostName
	for _, h := range hosts {
		if h.DataCentre == dc && h.State == gw.EntryLive {
			byName[h.Name] = h
			names = append(names, h.Name)
		}
	}
	ordered := gwrank.Order("relay/"+string(dc), names)
	slices.SortStableFunc(ordered, func(x, y gw.HostName) int {
		return cmp.Compare(byName[y].Weight(), byName[x].Weight())
	})
	relays := make([]gw.HostEntry, 0, RelaysPerDataCentre)
	for _, name := range ordered[:min(len(ordered), RelaysPerDataCentre)] {
		relays = append(relays, byName[name])
	}
	return relays
}

// pullOrder returns relays in the order in which a host prefers them. The orders of different hosts differ, so that
// each relay sends new items to about half of the hosts.
func pullOrder(relays []gw.HostEntry, host gw.HostName) []gw.HostEntry {
	names := make([]gw.HostName, len(relays))
	for i, r := range relays {
		names[i] = r.Name
	}
	first := gwrank.First("pull/"+string(host), names)
	ordered := slices.Clone(relays)
	slices.SortStableFunc(ordered, func(x, y gw.HostEntry) int {
		switch {
		case x.Name == first && y.Name != first:
			return -1
		case y.Name == first && x.Name != first:
			return 1
		}
		return 0
	})
	return ordered
}

// allRelays returns the relays of all data centres, those of the own data centre first.
func allRelays(hosts []gw.HostEntry, own gw.DataCentreName) []gw.HostEntry {
	relays := Relays(hosts, own)
	var others []gw.DataCentreName
	for _, h := range hosts {
		if h.DataCentre != own && !slices.Contains(others, h.DataCentre) {
			others = append(others, h.DataCentre)
		}
	}
	slices.Sort(others)
	for _, dc := range others {
		relays = append(relays, Relays(hosts, dc)...)
	}
	return relays
}

func withoutHost(hosts []gw.HostEntry, name gw.HostName) []gw.HostEntry {
	return slices.DeleteFunc(slices.Clone(hosts), func(h gw.HostEntry) bool { return h.Name == name })
}
