package gwfeed_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/version/gwfeed"
)

// silentNetwork is a network in which one address never answers an offer.
type silentNetwork struct {
	*network
	silent string
}

func (n *silentNetwork) Offer(ctx context.Context, address string, req gw.OfferRequest) (gw.OfferReply, error) {
	if address == n.silent {
		<-ctx.Done()
		return gw.OfferReply{}, ctx.Err()
	}
	return n.network.Offer(ctx, address, req)
}

// runFeed runs a feed until the end of the test.
func runFeed(t *testing.T, f *gwfeed.Feed) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})
}

// Guards against a relay without power that holds up the offers to all others for a second each: owners of keys were
// known a second late wherever a host was cut off.
func TestSilentRelayHoldsUpNobody(t *testing.T) {
	hosts := testHosts()
	hub := gwfeed.NewHub(func(gw.Item) error { return nil })
	relays := gwfeed.Relays(hosts, hosts[0].DataCentre)
	self := hosts[0]
	for _, h := range hosts {
		if h.Name != relays[0].Name && h.Name != relays[1].Name {
			self = h
		}
	}
	n := &silentNetwork{
		network: &network{feeds: map[string]*gwfeed.Feed{}, cut: map[string]bool{}},
		silent:  relays[0].PeerAddress,
	}
	other := gwfeed.NewHub(func(gw.Item) error { return nil })
	n.feeds[relays[1].PeerAddress] = gwfeed.New(gwfeed.WithHub(other), gwfeed.WithPeer(n), gwfeed.WithSelf(relays[1], "r"),
		gwfeed.WithHosts(func() []gw.HostEntry { return hosts }), gwfeed.WithSource(newSource()))
	f := gwfeed.New(gwfeed.WithHub(hub), gwfeed.WithPeer(n), gwfeed.WithSelf(self, "self"),
		gwfeed.WithHosts(func() []gw.HostEntry { return hosts }), gwfeed.WithSource(newSource()))
	runFeed(t, f)
	for sequence := range uint64(5) {
		item, err := gw.NewItem("directory/x", gw.ItemVersion{Sequence: sequence + 1}, sequence)
		require.NoError(t, err)
		require.NoError(t, f.Publish(item))
		require.Eventually(t, func() bool {
			held, ok := other.Get("directory/x")
			return ok && held.Version.Sequence == sequence+1
		}, 400*time.Millisecond, time.Millisecond)
	}
}

// Guards against a host that has just started, knows no other host for a moment, and then waits two seconds before it
// asks a relay: after the loss of all processes its requests were refused for want of an assignment.
func TestHostThatLearnsOfItsRelaysAsksThem(t *testing.T) {
	hosts := testHosts()
	relay := gwfeed.Relays(hosts, hosts[0].DataCentre)[0]
	n := &network{feeds: map[string]*gwfeed.Feed{}, cut: map[string]bool{}}
	held := gwfeed.NewHub(func(gw.Item) error { return nil })
	item, err := gw.NewItem("assignment/x", gw.ItemVersion{Sequence: 1}, 1)
	require.NoError(t, err)
	_, err = held.Put(item)
	require.NoError(t, err)
	n.feeds[relay.PeerAddress] = gwfeed.New(gwfeed.WithHub(held), gwfeed.WithPeer(n), gwfeed.WithSelf(relay, "r"),
		gwfeed.WithHosts(func() []gw.HostEntry { return hosts }), gwfeed.WithSource(newSource()))
	self := gw.HostEntry{Name: "new", DataCentre: relay.DataCentre, Region: relay.Region, State: gw.EntryLive}
	var known atomic.Bool
	hub := gwfeed.NewHub(func(gw.Item) error { return nil })
	store := newSource()
	config, err := gw.NewItem("config", gw.ItemVersion{Sequence: 1}, 1)
	require.NoError(t, err)
	store.set(config, false)
	f := gwfeed.New(gwfeed.WithHub(hub), gwfeed.WithPeer(n), gwfeed.WithSelf(self, "self"),
		gwfeed.WithSource(store), gwfeed.WithHosts(func() []gw.HostEntry {
			if known.Load() {
				return []gw.HostEntry{relay, self}
			}
			return nil
		}))
	runFeed(t, f)
	<-f.Ready()
	// The feed has looked for relays once by then.
	has := func() bool {
		_, ok := hub.Get("assignment/x")
		return ok
	}
	require.Never(t, has, 250*time.Millisecond, 10*time.Millisecond)
	known.Store(true)
	require.Eventually(t, has, time.Second, time.Millisecond)
}

// Guards against a feed that asks for the list of hosts while it holds its lock: who applies that list asks the feed
// for the age of what it received, and both waited for ever on most hosts of a large fleet.
func TestHostsMayAskTheFeed(t *testing.T) {
	hosts := testHosts()
	hub := gwfeed.NewHub(func(gw.Item) error { return nil })
	n := &network{feeds: map[string]*gwfeed.Feed{}, cut: map[string]bool{}}
	var f *gwfeed.Feed
	f = gwfeed.New(gwfeed.WithHub(hub), gwfeed.WithPeer(n), gwfeed.WithSelf(hosts[0], "self"),
		gwfeed.WithSource(newSource()), gwfeed.WithHosts(func() []gw.HostEntry {
			f.CurrentAt()
			return hosts
		}))
	runFeed(t, f)
	item, err := gw.NewItem("directory/x", gw.ItemVersion{Sequence: 1}, 1)
	require.NoError(t, err)
	published := make(chan error, 1)
	go func() {
		for range 20 {
			time.Sleep(10 * time.Millisecond)
			f.ReadMode()
		}
		published <- f.Publish(item)
	}()
	select {
	case err := <-published:
		require.NoError(t, err)
	case <-time.After(5 * time.Second):
		t.Fatal("the feed is blocked")
	}
}

// Guards against a feed that waits for ever because what applies an item asks it for the age of what it received,
// while it looks up what to offer: relays of half of the data centres of a large fleet kept the state of their start.
func TestAppliedItemsMayAskTheFeed(t *testing.T) {
	hosts := testHosts()
	n := &network{feeds: map[string]*gwfeed.Feed{}, cut: map[string]bool{}}
	var f *gwfeed.Feed
	hub := gwfeed.NewHub(func(gw.Item) error {
		f.CurrentAt()
		return nil
	})
	f = gwfeed.New(gwfeed.WithHub(hub), gwfeed.WithPeer(n), gwfeed.WithSelf(hosts[0], "self"),
		gwfeed.WithSource(newSource()), gwfeed.WithHosts(func() []gw.HostEntry { return hosts }))
	runFeed(t, f)
	published := make(chan error, 1)
	go func() {
		for sequence := range uint64(20_000) {
			item, err := gw.NewItem("directory/x", gw.ItemVersion{Sequence: sequence + 1}, 1)
			if err == nil {
				err = f.Publish(item)
			}
			if err != nil {
				published <- err
				return
			}
		}
		published <- nil
	}()
	select {
	case err := <-published:
		require.NoError(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("the feed is blocked")
	}
}

// silentRelays is a network in which no host answers a pull.
type silentRelays struct{ *network }

func (silentRelays) Pull(ctx context.Context, _ string, _ gw.PullRequest) (gw.PullReply, error) {
	<-ctx.Done()
	return gw.PullReply{}, ctx.Err()
}

// Guards against a host that reads the store for itself and waits for its relays all the same: while both stood still,
// a configuration was late by a second.
func TestChangeNeedsNoRelayAtHostThatReadsForItself(t *testing.T) {
	t.Parallel()
	hosts := testHosts()[:3]
	relays := gwfeed.Relays(hosts, "a")
	i := slices.IndexFunc(hosts, func(h gw.HostEntry) bool { return h.Name != relays[0].Name && h.Name != relays[1].Name })
	n := &network{feeds: map[string]*gwfeed.Feed{}, cut: map[string]bool{}}
	s := newSource()
	s.set(item("config", 0, 1), false)
	hub := gwfeed.NewHub(func(gw.Item) error { return nil })
	f := gwfeed.New(gwfeed.WithHub(hub), gwfeed.WithPeer(silentRelays{n}), gwfeed.WithSource(s),
		gwfeed.WithSelf(hosts[i], "self"), gwfeed.WithMirroredSource(),
		gwfeed.WithHosts(func() []gw.HostEntry { return hosts }))
	runFeed(t, f)
	<-f.Ready()
	require.Equal(t, gw.ReadForSelf, f.ReadMode())
	s.set(item("config", 0, 2), false)
	require.Eventually(t, func() bool { return hub.Versions()["config"].Sequence == 2 },
		2500*time.Millisecond, 10*time.Millisecond)
}

// Guards against a host that relies on relays of which the store answers none: each takes up to 2 s to notice, and the
// host waited 1.6 s more, together longer than a configuration may take.
func TestHostReadsWhenItsRelaysLoseTheStore(t *testing.T) {
	t.Parallel()
	var hosts []gw.HostEntry
	for _, name := range []string{"1", "2", "3", "4", "5", "6"} {
		hosts = append(hosts, gw.HostEntry{
			Name: gw.HostName("a" + name), DataCentre: "a", State: gw.EntryLive, PeerAddress: "a" + name,
		})
	}
	relays := gwfeed.Relays(hosts, "a")
	i := slices.IndexFunc(hosts, func(h gw.HostEntry) bool { return h.Name != relays[0].Name && h.Name != relays[1].Name })
	n := &network{feeds: map[string]*gwfeed.Feed{}, cut: map[string]bool{}}
	var lostAt atomic.Pointer[time.Time]
	age := func() time.Duration {
		if at := lostAt.Load(); at != nil {
			return time.Since(*at)
		}
		return 0
	}
	listed := func() []gw.HostEntry { return hosts }
	for _, relay := range relays {
		hub := gwfeed.NewHub(func(gw.Item) error { return nil })
		n.feeds[relay.PeerAddress] = gwfeed.New(gwfeed.WithHub(hub), gwfeed.WithPeer(n), gwfeed.WithSelf(relay, "r"),
			gwfeed.WithHosts(listed), gwfeed.WithSource(newSource()), gwfeed.WithSourceAge(age))
	}
	f := gwfeed.New(gwfeed.WithHub(gwfeed.NewHub(func(gw.Item) error { return nil })), gwfeed.WithPeer(n),
		gwfeed.WithSelf(hosts[i], "self"), gwfeed.WithHosts(listed), gwfeed.WithSource(newSource()))
	runFeed(t, f)
	mode := func(want gw.ReadMode) func() bool { return func() bool { return f.ReadMode() == want } }
	require.Eventually(t, mode(gw.ReadNothing), 5*time.Second, 5*time.Millisecond)
	require.Never(t, mode(gw.ReadForOthers), 3*time.Second, 5*time.Millisecond, "the relays are current")
	now := time.Now()
	lostAt.Store(&now)
	require.Eventually(t, mode(gw.ReadForOthers), 2300*time.Millisecond, 5*time.Millisecond)
}
