package gwchoice_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwchoice"
)

// scored is a chooser with a clock and n servers in its region, and two in another one.
type scored struct {
	*gwchoice.Chooser
	clock *clock
	dirs  []gw.Directory
}

func newScored(n int, seed uint64) *scored {
	s := &scored{clock: &clock{now: time.Unix(1e9, 0)}}
	s.Chooser = gwchoice.New(gwchoice.WithLocation("dc1", "r1"), gwchoice.WithSeed(seed), gwchoice.WithClock(s.clock))
	s.dirs = []gw.Directory{
		{Cell: gw.CellID{Service: "labels", DataCentre: "dc1"}, Region: "r1"},
		{Cell: gw.CellID{Service: "labels", DataCentre: "dc2"}, Region: "r2"},
	}
	for i := range n + 2 {
		d := &s.dirs[i/n]
		d.Servers = append(d.Servers, gw.DirectoryServer{
			Name: gw.ServerName(fmt.Sprintf("s%d", i)), State: gw.ServerUp, Slots: 2, Dispatcher: "h", RelayAddress: "h:1",
		})
	}
	return s
}

// served reports an answer of a server after a time at the server, with the expected wait of the next request.
func (s *scored) served(server gw.ServerName, served, wait time.Duration) {
	s.Report("labels", server, gwchoice.Report{
		HasWait: true, Wait: wait, Served: served, Took: served + wait, AnswerBytes: -1,
		RemoteRegion: server == s.dirs[1].Servers[0].Name,
	})
}

// choose counts the choices of n requests that arrive every 10 ms and are not sent.
func (s *scored) choose(t *testing.T, n int, req gwchoice.Request) map[gw.ServerName]int {
	t.Helper()
	counts := map[gw.ServerName]int{}
	for range n {
		s.clock.now = s.clock.now.Add(10 * time.Millisecond)
		choice, refusal := s.ChooseByScore("labels", s.dirs, req)
		require.Nil(t, refusal)
		counts[choice.Server.Name]++
	}
	return counts
}

func (s *scored) candidate(name gw.ServerName) gwchoice.Candidate {
	for _, c := range s.Candidates("labels", s.dirs, 0) {
		if c.Server.Name == name {
			return c
		}
	}
	return gwchoice.Candidate{}
}

// Load: most servers are fast and idle. Guards against a server that was never used, or was slow and not used for some
// seconds, and gets no request any more.
func TestUnusedServersAreTried(t *testing.T) {
	s := newScored(4, 1)
	for range 10 {
		s.served("s0", 50*time.Millisecond, 0)
		s.served("s1", 50*time.Millisecond, 0)
		s.served("s2", 5*time.Second, 0)
	}
	s.clock.now = s.clock.now.Add(5 * time.Second)
	counts := map[gw.ServerName]int{}
	for range 300 {
		s.served("s0", 50*time.Millisecond, 0)
		s.served("s1", 50*time.Millisecond, 0)
		for name, n := range s.choose(t, 1, gwchoice.Request{}) {
			counts[name] += n
		}
	}
	require.Positive(t, counts["s2"], "was slow")
	require.Positive(t, counts["s3"], "was never used")
	require.Less(t, counts["s2"], 30)
	require.Greater(t, counts["s0"]+counts["s1"], 200)
}

// Guards against a lost server that keeps getting requests because it was last heard to be idle.
func TestLostServerIsPassedOver(t *testing.T) {
	s := newScored(3, 1)
	s.served("s0", 10*time.Millisecond, 0)
	s.served("s1", 100*time.Millisecond, 50*time.Millisecond)
	s.Begin("labels", "s0").Done(results["no-server"])
	require.Zero(t, s.choose(t, 4, gwchoice.Request{})["s0"])
	require.Equal(t, "has refused recently", s.candidate("s0").Excluded)
	s.dirs[0].Servers[0].State = gw.ServerExpired
	s.clock.now = s.clock.now.Add(time.Minute)
	require.Zero(t, s.choose(t, 100, gwchoice.Request{})["s0"])
	_, refusal := s.ChooseByScore("labels", nil, gwchoice.Request{})
	require.Equal(t, gw.ReasonNoServer, refusal.Reason)
}

// Guards against a report that is believed although it is old: a queue that was long, or a server that was idle.
func TestOldReportsCountAsUsual(t *testing.T) {
	s := newScored(4, 1)
	for _, name := range []gw.ServerName{"s1", "s2", "s3"} {
		s.served(name, 100*time.Millisecond, 40*time.Millisecond)
	}
	s.served("s0", 100*time.Millisecond, 2*time.Second)
	require.InDelta(t, 2, s.candidate("s0").Wait, 0.01)
	require.Zero(t, s.choose(t, 10, gwchoice.Request{})["s0"])
	s.clock.now = s.clock.now.Add(5 * time.Second)
	require.InDelta(t, s.candidate("s1").Wait, s.candidate("s0").Wait, 0.01)
}

// Guards against one request that took long and makes its server look slow.
func TestOneOutlierChangesLittle(t *testing.T) {
	s := newScored(2, 1)
	for range 20 {
		s.served("s0", 100*time.Millisecond, 0)
		s.served("s1", 100*time.Millisecond, 0)
	}
	s.served("s0", 10*time.Second, 0)
	require.Less(t, s.candidate("s0").Slowness, 1.2)
	for range 20 {
		s.served("s0", 300*time.Millisecond, 0)
	}
	require.Greater(t, s.candidate("s0").Slowness, 2*s.candidate("s1").Slowness, "a lasting change is learned")
}

// Guards against a server that fails at once, looks fast, and gets all requests.
func TestFailingServerIsNotFast(t *testing.T) {
	s := newScored(4, 1)
	for range 20 {
		for _, name := range []gw.ServerName{"s1", "s2", "s3"} {
			s.served(name, 100*time.Millisecond, 0)
		}
		s.Report("labels", "s0", gwchoice.Report{
			HasWait: true, Served: time.Millisecond, Took: 3 * time.Millisecond, Failed: true,
		})
	}
	require.Less(t, s.choose(t, 100, gwchoice.Request{})["s0"], 10)
}

// Load: many hosts have heard that one server is idle, and little of the others. Guards against a flood of
// probes at it.
func TestIdleServerIsNotFlooded(t *testing.T) {
	const hosts = 60
	chosen, own := 0, 0
	for seed := range uint64(hosts) {
		s := newScored(24, seed)
		for range 20 {
			s.served("s1", 100*time.Millisecond, 20*time.Millisecond)
		}
		s.served("s0", 100*time.Millisecond, 0)
		s.clock.now = s.clock.now.Add(200 * time.Millisecond)
		first, _ := s.ChooseByScore("labels", s.dirs, gwchoice.Request{})
		if first.Server.Name == "s0" {
			chosen++
		}
		for range 10 {
			choice, _ := s.ChooseByScore("labels", s.dirs, gwchoice.Request{})
			s.Begin("labels", choice.Server.Name)
			if choice.Server.Name == "s0" {
				own++
			}
		}
	}
	t.Logf("%d of %d hosts choose the idle server, which gets %d of their next %d requests", chosen, hosts, own, 10*hosts)
	require.Less(t, chosen, hosts/2)
	require.Less(t, own, 10*hosts/4)
}

// Guards against requests that cross to another region for little, and against ones that wait although it is idle.
func TestOtherRegion(t *testing.T) {
	s := newScored(2, 1)
	for range 10 {
		s.served("s2", 100*time.Millisecond, 0)
	}
	report := func(wait time.Duration) {
		s.served("s0", 100*time.Millisecond, wait)
		s.served("s1", 100*time.Millisecond, wait)
		s.served("s2", 100*time.Millisecond, 0)
	}
	far := func(bodyBytes int64) int {
		counts := s.choose(t, 10, gwchoice.Request{BodyBytes: bodyBytes})
		return counts["s2"] + counts["s3"]
	}
	report(60 * time.Millisecond)
	require.Zero(t, far(100))
	report(200 * time.Millisecond)
	require.Zero(t, far(60_000))
	report(200 * time.Millisecond)
	require.Greater(t, far(100), 5)
	report(900 * time.Millisecond)
	require.Greater(t, far(60_000), 5)
	s.dirs = s.dirs[1:]
	require.Equal(t, 10, far(60_000), "the home region is elsewhere")
}

// Load: 90 KB downloads, whose bytes between data centres and regions are paid for, in a region with short queues.
// Guards against downloads that are sent to another region, and requests to another data centre, for a gain that nobody
// notices, and against a download that misses its objective in its own region.
func TestBytesStayNear(t *testing.T) {
	s := newScored(4, 1)
	s.dirs = append(s.dirs, gw.Directory{
		Cell: gw.CellID{Service: "labels", DataCentre: "dc3"}, Region: "r1", Servers: s.dirs[0].Servers[2:],
	})
	s.dirs[0].Servers = s.dirs[0].Servers[:2]
	hear := func(wait time.Duration) {
		for range 20 {
			for _, name := range []gw.ServerName{"s0", "s1", "s2", "s3"} {
				s.served(name, 100*time.Millisecond, wait)
			}
			s.served("s4", 100*time.Millisecond, 0)
		}
	}
	remote := func(counts map[gw.ServerName]int) int { return counts["s4"] + counts["s5"] }
	hear(0)
	counts := s.choose(t, 20, gwchoice.Request{})
	require.GreaterOrEqual(t, counts["s0"]+counts["s1"], 18, "this data centre has free slots")
	hear(600 * time.Millisecond)
	counts = s.choose(t, 20, gwchoice.Request{})
	require.Positive(t, remote(counts), "a small request leaves the region")
	hear(600 * time.Millisecond)
	counts = s.choose(t, 20, gwchoice.Request{LargeAnswer: true, Objective: s.clock.now.Add(4 * time.Second)})
	require.GreaterOrEqual(t, counts["s0"]+counts["s1"], 18, "a large answer stays in this data centre")
	hear(600 * time.Millisecond)
	download := gwchoice.Request{LargeAnswer: true, Objective: s.clock.now.Add(4 * time.Second)}
	require.Zero(t, remote(s.choose(t, 20, download)))
	hear(600 * time.Millisecond)
	download.Objective = s.clock.now.Add(time.Second)
	require.Positive(t, remote(s.choose(t, 10, download)), "the objective would be missed")
}
