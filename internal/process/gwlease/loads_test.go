package gwlease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// Guards against loads that travel in the directory to every host twice a second, although only controllers use them:
// on a fleet of 295 hosts with eight cells each host took in 16 directories a second.
func TestLoadsArePublishedApartFromTheDirectory(t *testing.T) {
	cell := gw.CellID{Service: "lookups", DataCentre: "a"}
	c := New(WithHost("h1", "h1#1"), WithCell(cell, "holland"))
	c.now = time.Unix(1000, 0)
	c.control.epoch, c.control.since = 1, c.now.Add(-time.Minute)
	c.service = gw.Service{Name: "lookups", DividedByKey: true, OrderedKeys: true}
	s := c.addServer("s1")
	c.sortServers()
	published := func() (directories, loads int, last gw.CellLoads) {
		c.publishDirectory()
		c.publishLoads()
		for _, out := range c.out {
			switch out := out.(type) {
			case PublishDirectory:
				directories++
			case PublishLoads:
				loads++
				last = out.Loads
			}
		}
		c.out = nil
		return directories, loads, last
	}
	directories, loads, _ := published()
	require.Equal(t, []int{1, 1}, []int{directories, loads})

	c.now = c.now.Add(loadPublishInterval)
	s.noteArrivals(c.now, gw.DispatchedServer{Arrivals: 40, Positions: []gw.Position{1}})
	directories, loads, last := published()
	require.Equal(t, []int{0, 1}, []int{directories, loads})
	require.Equal(t, cell, last.Cell)
	require.Equal(t, uint64(2), last.Sequence)
	require.Positive(t, last.Servers[0].Load)

	s.noteArrivals(c.now, gw.DispatchedServer{Arrivals: 40, Positions: []gw.Position{1}})
	_, loads, _ = published()
	require.Zero(t, loads, "another load within the interval waits")

	other := New(WithHost("h2", "h2#1"), WithCell(gw.CellID{Service: "lookups", DataCentre: "b"}, "holland"))
	other.service = c.service
	other.otherDirectories["a"] = gw.Directory{Cell: cell, Servers: []gw.DirectoryServer{{Name: "s1"}}}
	other.Step(c.now, LoadsSeen{Loads: last})
	require.InDelta(t, last.Servers[0].Load, other.otherCellServers(nil)[0].Load, 0)
}

// Guards against a server that says in its answers that it leaves and keeps its keys until the host list tells, and
// against a pausing or limited server that is given more keys, or forgotten when its dispatcher changes.
func TestWhatServersSayInAnswers(t *testing.T) {
	c := New(WithHost("h1", "h1#1"), WithCell(gw.CellID{Service: "lookups", DataCentre: "a"}, "holland"))
	c.now = time.Unix(1000, 0)
	c.service = gw.Service{Name: "lookups", DividedByKey: true, OrderedKeys: true}
	s := c.addServer("s1")
	s.answered, s.listed, s.checksFencing, s.rangeFences, s.sessionLive = true, true, true, true, true
	s.incarnation, s.meanMilliseconds, s.entry.Slots = "s1/1", 100, 4
	c.sortServers()
	whole := c.capacity(s)
	c.noteSaid(s, gw.DispatchedServer{Name: "s1", Incarnation: "s1/0", Leaving: true, PauseMilliseconds: 5000})
	require.Equal(t, gw.ServerUp, c.state(s), "an earlier run said it")
	c.noteSaid(s, gw.DispatchedServer{Name: "s1", Incarnation: "s1/1", PauseMilliseconds: 1000})
	require.InDelta(t, whole/2, c.capacity(s), 0.01)
	h := &host{clock: 500, clockAt: c.now}
	require.Equal(t, gw.ClockMilliseconds(1500), c.leasedServers(h, []*server{s})[0].PausedUntil)
	c.noteSaid(s, gw.DispatchedServer{Name: "s1", Incarnation: "s1/1", LimitPerSecond: 4})
	require.InDelta(t, 4, c.capacity(s), 0.01)
	require.InDelta(t, 4, c.leasedServers(h, []*server{s})[0].LimitPerSecond, 0)
	c.noteSaid(s, gw.DispatchedServer{Name: "s1", Incarnation: "s1/1", Leaving: true})
	require.Equal(t, gw.ServerLeaving, c.state(s))
	c.newIncarnation(s, gw.ServerStatus{Incarnation: "s1/2"})
	s.sessionLive = true
	require.Equal(t, gw.ServerUp, c.state(s))
	require.InDelta(t, whole, c.capacity(s), 0.01)
}

// Load pattern: a busy block of keys gets ten times the requests from one moment to the next, and loses them again.
// Guards against loads that show the change only after the whole window of two seconds, when a block that is busy for
// five seconds has been moved to servers that cannot bear it.
func TestLoadFollowsASuddenChange(t *testing.T) {
	const perStatus = 300 * time.Millisecond
	for name, tc := range map[string]struct {
		costAware            bool
		afterRise, afterFall func(float64) bool
	}{
		"cost-aware": {true, func(l float64) bool { return l > 80 }, func(l float64) bool { return l < 30 }},
		"plain":      {false, func(l float64) bool { return l < 60 }, func(l float64) bool { return l > 60 }},
	} {
		t.Run(name, func(t *testing.T) {
			c := New(WithHost("h1", "h1#1"), WithCell(gw.CellID{Service: "lookups", DataCentre: "a"}, "holland"))
			c.now = time.Unix(1000, 0)
			c.service = gw.Service{Name: "lookups", DividedByKey: true, OrderedKeys: true, CostAware: tc.costAware}
			s := c.addServer("s1")
			c.sortServers()
			report := func(perSecond float64, statuses int) {
				for range statuses {
					c.now = c.now.Add(perStatus)
					n := int64(perSecond * perStatus.Seconds())
					s.noteArrivals(c.now, gw.DispatchedServer{Arrivals: n, Positions: []gw.Position{1}})
				}
			}
			report(10, 10)
			require.InDelta(t, 10, c.load(s), 2)
			report(100, 2)
			require.True(t, tc.afterRise(c.load(s)), "load %.0f", c.load(s))
			sampled := 0.0
			for _, a := range c.arrivalSamples().Samples {
				sampled += a.Weight
			}
			require.InDelta(t, c.load(s), sampled, 0.01, "the placement sees the same load")
			report(100, 8)
			require.InDelta(t, 100, c.load(s), 8)
			report(10, 2)
			require.True(t, tc.afterFall(c.load(s)), "load %.0f", c.load(s))
		})
	}
}
