package gwfeed_test

import (
	"context"
	"encoding/json"
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/version/gwfeed"
)

// init fixes the seed of property tests, so that CI gives the same verdict each time.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

func item(topic gw.Topic, epoch, sequence uint64) gw.Item {
	return gw.Item{
		Topic:   topic,
		Version: gw.ItemVersion{Epoch: epoch, Sequence: sequence},
		Data:    json.RawMessage(`{}`),
	}
}

// Guards against a process that goes back to an older configuration or assignment when items arrive late, twice
// or in the wrong order, and against a pull that misses an item.
func TestHubNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		applied := map[gw.Topic]gw.ItemVersion{}
		hub := gwfeed.NewHub(func(i gw.Item) error {
			require.True(t, applied[i.Topic].Less(i.Version), "%s went back", i.Topic)
			applied[i.Topic] = i.Version
			return nil
		})
		highest := map[gw.Topic]gw.ItemVersion{}
		for range rapid.IntRange(1, 40).Draw(t, "puts") {
			topic := rapid.SampledFrom([]gw.Topic{"a", "b", "c"}).Draw(t, "topic")
			i := item(topic, rapid.Uint64Range(0, 3).Draw(t, "epoch"), rapid.Uint64Range(1, 5).Draw(t, "sequence"))
			if highest[topic].Less(i.Version) {
				highest[topic] = i.Version
			}
			_, err := hub.Put(i)
			require.NoError(t, err)
			require.Equal(t, highest, hub.Versions())
		}
		have := map[gw.Topic]gw.ItemVersion{"a": {Epoch: 1, Sequence: 2}}
		got := map[gw.Topic]gw.ItemVersion{}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		items, err := hub.Wait(ctx, have)
		require.NoError(t, err)
		for _, i := range items {
			got[i.Topic] = i.Version
		}
		for topic, version := range highest {
			require.Equal(t, have[topic].Less(version), got[topic] == version)
		}
	})
}

// Guards against an item that cannot be decoded replacing a good one.
func TestHubRefusesItemThatDoesNotApply(t *testing.T) {
	bad := context.DeadlineExceeded
	hub := gwfeed.NewHub(func(i gw.Item) error {
		if i.Version.Sequence == 2 {
			return bad
		}
		return nil
	})
	_, err := hub.Put(item("a", 0, 1))
	require.NoError(t, err)
	kept, err := hub.Put(item("a", 0, 2), item("b", 0, 1))
	require.ErrorIs(t, err, bad)
	require.Equal(t, []gw.Topic{"b"}, kept)
	require.Equal(t, uint64(1), hub.Versions()["a"].Sequence)
}

// Guards against a waiting pull that is not woken by news.
func TestHubWakesWaitingPull(t *testing.T) {
	hub := gwfeed.NewHub(func(gw.Item) error { return nil })
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	got := make(chan []gw.Item, 1)
	go func() {
		items, _ := hub.Wait(ctx, nil)
		got <- items
	}()
	_, err := hub.Put(item("a", 0, 1))
	require.NoError(t, err)
	require.Len(t, <-got, 1)
}

// assignmentItem returns an assignment at a revision whose first range is owned by a server named after the revision.
func assignmentItem(revision uint64) gw.Item {
	a := gw.NewAssignment(gw.KeySpace{Service: "s", Region: "r"}).WithRevision(gw.Revision(revision), "w")
	a.Ranges[0].Owner = gw.ServerName(rune('a' + revision))
	return gw.Item{
		Topic: "assignment/s", Version: gw.ItemVersion{Sequence: revision}, StoreVersion: gw.StoreVersion(revision),
		Assignment: &a,
	}
}

// Guards against records of thousands of ranges that are sent whole to every host at each commit, and against a host
// that applies a change to another revision than the one it was made from: it must ask again and end up with the same
// owners.
func TestHostsAreSentWhatHasChanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		relay := gwfeed.NewHub(func(gw.Item) error { return nil })
		hosts := []*gwfeed.Hub{
			gwfeed.NewHub(func(gw.Item) error { return nil }), gwfeed.NewHub(func(gw.Item) error { return nil }),
		}
		past, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := relay.Wait(past, nil)
		require.NoError(t, err)
		revision := uint64(0)
		var late []gw.Item
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			host := hosts[rapid.IntRange(0, 1).Draw(t, "host")]
			switch rapid.SampledFrom([]string{"commit", "commit", "pull", "late"}).Draw(t, "step") {
			case "commit":
				revision++
				_, err := relay.Put(assignmentItem(revision))
				require.NoError(t, err)
			case "pull":
				have := host.Versions()
				items, err := relay.Wait(past, have)
				require.NoError(t, err)
				held, ok := have["assignment/s"]
				if ok && len(items) > 0 && revision-held.Sequence <= 8 {
					require.NotNil(t, items[0].Base, "a host with a recent revision is sent the change")
				}
				late = append(late, items...)
				_, err = host.Put(items...)
				require.NoError(t, err)
			case "late":
				// An answer that arrives late, or for another revision than the host has by now.
				_, err := host.Put(late...)
				require.NoError(t, err)
			}
			held, ok := host.Get("assignment/s")
			if ok {
				require.Equal(t, *assignmentItem(held.Version.Sequence).Assignment, *held.Assignment)
				require.Equal(t, gw.StoreVersion(held.Version.Sequence), held.StoreVersion)
			}
		}
		for _, host := range hosts {
			items, err := relay.Wait(past, host.Versions())
			require.NoError(t, err)
			_, err = host.Put(items...)
			require.NoError(t, err)
			require.Equal(t, relay.Versions(), host.Versions())
		}
	})
}

// Guards against hosts that take in items that only others need.
func TestPullsAreLimitedToTopics(t *testing.T) {
	hub := gwfeed.NewHub(func(gw.Item) error { return nil })
	_, err := hub.Put(item("config", 0, 1), item("loads/x", 0, 1), item("servers/a", 0, 1), item("servers/b", 0, 1))
	require.NoError(t, err)
	items, err := hub.Wait(context.Background(), nil, "config", "servers/b")
	require.NoError(t, err)
	require.Len(t, items, 2)
	require.Equal(t, gw.Topic("config"), items[0].Topic)
	require.Equal(t, gw.Topic("servers/b"), items[1].Topic)
}
