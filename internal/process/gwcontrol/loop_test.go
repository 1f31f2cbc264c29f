package gwcontrol_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/process/gwcontrol"
	"github.com/geraniumworks/geraniumworks/internal/version/gwplace"
	"github.com/geraniumworks/geraniumworks/internal/version/gwtable"
)

// probeRecorder is a peer client that sends the address of each probe to a channel.
type probeRecorder struct {
	gw.Peer
	address chan string
}

func (p probeRecorder) Probe(ctx context.Context, address string, _ gw.ProbeRequest) (gw.ProbeReply, error) {
	select {
	case p.address <- address:
	case <-ctx.Done():
	}
	return gw.ProbeReply{Instance: gw.InstanceID(address), Epoch: 1}, nil
}

// unavailableStore fails every read, so that controllers learn the record only from the table.
type unavailableStore struct{ gw.Store }

func (unavailableStore) Get(context.Context, string) (gw.StoredValue, error) {
	return gw.StoredValue{}, gw.ErrStoreUnavailable
}

// Guards against a loop that passes the first items of the table to its controllers but misses later ones: a candidate
// must probe the controller that the latest record names.
func TestCoresAreShownEveryChange(t *testing.T) {
	hosts := []gw.HostEntry{
		{Name: "h1", Region: "r", DataCentre: "a", State: gw.EntryLive, PeerAddress: "h1"},
		{Name: "h2", Region: "r", DataCentre: "b", State: gw.EntryLive, PeerAddress: "h2"},
		{Name: "h3", Region: "r", DataCentre: "b", State: gw.EntryLive, PeerAddress: "h3"},
	}
	table := gwtable.NewTable()
	peer := probeRecorder{address: make(chan string)}
	loop := gwcontrol.New(
		gwcontrol.WithSelf(hosts[0], "h1"), gwcontrol.WithTable(table), gwcontrol.WithPeer(peer),
		gwcontrol.WithStore(unavailableStore{}),
		gwcontrol.WithListing(func() (gw.Listing, uint64) { return gw.Listing{Hosts: hosts}, 1 }),
		gwcontrol.WithPlacer(func(gw.CellID) gw.Placer { return gwplace.New() }))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- loop.Run(ctx) }()
	defer func() {
		cancel()
		require.NoError(t, <-done)
	}()

	apply := func(item gw.Item, err error) {
		t.Helper()
		require.NoError(t, err)
		require.NoError(t, table.Apply(item))
	}
	apply(gwtable.ConfigItem(gw.Config{
		Version:  1,
		Regions:  []gw.Region{{Name: "r", DataCentres: []gw.DataCentreName{"a"}}},
		Services: []gw.Service{{Name: "s", DividedByKey: true, Regions: []gw.RegionName{"r"}}},
	}))
	record := gw.NewAssignment(gw.KeySpace{Service: "s", Region: "r"})
	for i, controller := range []string{"h2", "h3"} {
		record = record.WithRevision(gw.Revision(i+1), "w").WithCell(gw.Cell{
			DataCentre: "a", Epoch: gw.Epoch(i + 1), Controller: gw.InstanceID(controller), Host: gw.HostName(controller),
		})
		apply(gwtable.AssignmentItem(gwtable.Record{StoreVersion: gw.StoreVersion(i + 1), Assignment: record}))
		require.Eventually(t, func() bool { return <-peer.address == controller }, 5*time.Second, time.Millisecond,
			"the controller named by the record is not probed")
	}
}
