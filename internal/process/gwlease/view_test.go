package gwlease

import (
	"testing"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// Guards against servers of other data centres that look idle and attract all moves.
func TestForeignLoadsFollowTheirShareOfPositions(t *testing.T) {
	a := gw.NewAssignment(gw.KeySpace{Service: "lookups", Region: "holland"})
	for i, owner := range []gw.ServerName{"a1", "b1", "b2", "b2"} {
		first := gw.Position(uint64(i) << 62)
		a = a.WithSplit(first)
		var err error
		a, err = a.WithOwner(first, owner, 1)
		require.NoError(t, err)
	}
	loads := estimateLoads(a, []gw.ServerView{{Name: "a1", Load: 100}})
	require.InDelta(t, 100, loads["b1"], 0.01)
	require.InDelta(t, 200, loads["b2"], 0.01)
	unknown := estimateLoads(a, []gw.ServerView{{Name: "a2", Load: 5}})
	require.Empty(t, unknown, "no share is known, so nothing can be estimated")
}

// Guards against assigning dispatchers and controllers by the number of hosts alone, where some hosts have little
// capacity left beside their own callers.
func TestWorkFollowsTheWeightOfHosts(t *testing.T) {
	hosts := []gw.HostEntry{
		{Name: "weak-1", Cores: 0.16, LinkMegabits: 10},
		{Name: "weak-2", Cores: 0.16, LinkMegabits: 10},
		{Name: "strong", Cores: 0.8, LinkMegabits: 200},
	}
	c := New(WithHost("strong", "strong#1"), WithCell(gw.CellID{Service: "lookups", DataCentre: "a"}, "holland"))
	for i := range hosts {
		hosts[i].Region, hosts[i].DataCentre, hosts[i].State = "holland", "a", gw.EntryLive
		c.hosts[hosts[i].Name] = &host{entry: hosts[i], listed: true, fenced: true}
	}
	load := map[gw.HostName]int{}
	for i := range 40 {
		load[c.leastLoaded(gw.ServerName(rune('a'+i)), load).entry.Name]++
	}
	require.Equal(t, map[gw.HostName]int{"weak-1": 1, "weak-2": 1, "strong": 38}, load)
	require.Equal(t, gw.HostName("strong"), Candidates(c.opts.cell, "holland", gw.Config{}, hosts)[0].Name)
}
