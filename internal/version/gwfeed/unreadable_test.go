package gwfeed_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/version/gwfeed"
)

func newHub() *gwfeed.Hub { return gwfeed.NewHub(func(gw.Item) error { return nil }) }

// unreadableChange leads from revision 1 of assignmentItem to revision 2, and cannot be read.
func unreadableChange() gw.Item {
	return gw.Item{
		Topic: "assignment/s", Version: gw.ItemVersion{Sequence: 2}, StoreVersion: 2, Change: []byte("damaged"),
		Base: &gw.ItemVersion{Sequence: 1},
	}
}

// Guards against a host that is sent the same unreadable change for good, and keeps the owners from before.
func TestUnreadableChangeIsReplacedByTheWholeItem(t *testing.T) {
	relay, host := newHub(), newHub()
	_, err := relay.Put(assignmentItem(1))
	require.NoError(t, err)
	items, err := relay.Wait(context.Background(), nil)
	require.NoError(t, err)
	_, err = host.Put(items...)
	require.NoError(t, err)
	_, err = relay.Put(assignmentItem(2))
	require.NoError(t, err)
	_, err = host.Put(unreadableChange())
	require.Error(t, err)
	items, err = relay.Wait(context.Background(), host.Have())
	require.NoError(t, err)
	require.Len(t, items, 1)
	require.NotEmpty(t, items[0].Record, "the host is sent a change again")
	_, err = host.Put(items...)
	require.NoError(t, err)
	require.Equal(t, relay.Versions(), host.Have())
}

// Guards against a relay that refuses all that another host offers, because it cannot read one change among it.
func TestRelayAsksForTheWholeOfAnUnreadableChange(t *testing.T) {
	hub := newHub()
	_, err := hub.Put(assignmentItem(1))
	require.NoError(t, err)
	feed := gwfeed.New(gwfeed.WithHub(hub), gwfeed.WithSelf(gw.HostEntry{Name: "h"}, "h#1"))
	reply, err := feed.Accept(gw.OfferRequest{Items: []gw.Item{unreadableChange(), item("config", 0, 1)}})
	require.NoError(t, err)
	require.Equal(t, []gw.Topic{"assignment/s"}, reply.Missing)
	require.EqualValues(t, 1, hub.Versions()["config"].Sequence)
}

// Guards against an item that cannot be encoded and holds up all others at the hosts that pull: they would get no
// configuration, and ask again without a pause.
func TestItemThatCannotBeEncodedHoldsUpNoOther(t *testing.T) {
	hub := newHub()
	a := gw.NewAssignment(gw.KeySpace{Service: "s", Region: "r"}).WithRevision(1, "w")
	a.Ranges[0].Owner = "\xff"
	_, err := hub.Put(
		gw.Item{Topic: "assignment/s", Version: gw.ItemVersion{Sequence: 1}, Assignment: &a}, item("config", 0, 1))
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	items, err := hub.Wait(ctx, nil)
	require.ErrorIs(t, err, gw.ErrBadText)
	require.Len(t, items, 1)
	require.Equal(t, gw.Topic("config"), items[0].Topic)
	require.NoError(t, ctx.Err())
	items, err = hub.Wait(ctx, hub.Versions())
	require.NoError(t, err)
	require.Empty(t, items)
	require.Error(t, ctx.Err(), "the host is answered without news before the end of its wait")
}

// Guards against a message that the receiving host refuses for its size, so that it never gets any of the items.
func TestItemsAreSentInMessagesThatAreRead(t *testing.T) {
	relay, host := newHub(), newHub()
	value, err := json.Marshal(strings.Repeat("x", 1<<20))
	require.NoError(t, err)
	for i := range 40 {
		_, err := relay.Put(gw.Item{
			Topic: gw.Topic(fmt.Sprintf("servers/%d", i)), Version: gw.ItemVersion{Sequence: 1}, Data: value,
		})
		require.NoError(t, err)
	}
	for range 3 {
		items, err := relay.Wait(context.Background(), host.Have())
		require.NoError(t, err)
		data, err := json.Marshal(gw.PullReply{Items: items})
		require.NoError(t, err)
		require.Less(t, len(data), 17<<20)
		_, err = host.Put(items...)
		require.NoError(t, err)
	}
	require.Equal(t, relay.Versions(), host.Versions())
}
