package gwfeed

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// Guards against one relay that sends each new item to all hosts of a data centre while the other one sends none.
func TestHostsShareTheRelays(t *testing.T) {
	relays := []gw.HostEntry{{Name: "r1"}, {Name: "r2"}}
	first := map[gw.HostName]int{}
	const hosts = 165
	for n := range hosts {
		order := pullOrder(relays, gw.HostName(fmt.Sprintf("holland-a-entry-%d", n)))
		require.ElementsMatch(t, relays, order)
		first[order[0].Name]++
	}
	require.InDelta(t, hosts/2, first["r1"], hosts/6, "%v", first)
	require.Empty(t, pullOrder(nil, "h"))
}

// Guards against relays on hosts whose links cannot carry each new assignment to all hosts of a data centre: on the
// grown site of muyiz-registry a fifth of the requests were served at high load.
func TestRelaysAreTheHostsWithTheHighestWeight(t *testing.T) {
	var hosts []gw.HostEntry
	for n := range 13 {
		h := gw.HostEntry{
			Name: gw.HostName(fmt.Sprintf("h%d", n)), DataCentre: "a", State: gw.EntryLive, Cores: 0.16, LinkMegabits: 10,
		}
		if n%6 == 5 {
			h.Cores, h.LinkMegabits = 0.8, 200
		}
		hosts = append(hosts, h)
	}
	names := func(relays []gw.HostEntry) []gw.HostName {
		var all []gw.HostName
		for _, r := range relays {
			all = append(all, r.Name)
		}
		return all
	}
	require.ElementsMatch(t, []gw.HostName{"h5", "h11"}, names(Relays(hosts, "a")))
	hosts[5].State = gw.EntryLeaving
	relays := names(Relays(hosts, "a"))
	require.Equal(t, gw.HostName("h11"), relays[0])
	require.Len(t, relays, RelaysPerDataCentre, "a weak host stands in")
}
