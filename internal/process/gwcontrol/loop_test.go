package gwcontrol_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
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
	defer run(t, loop)()

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
		apply(gwtable.AssignmentItem(gwtable.Record{StoreVersion: gw.StoreVersion(i + 1), Assignment: record}), nil)
		require.Eventually(t, func() bool { return <-peer.address == controller }, 5*time.Second, time.Millisecond,
			"the controller named by the record is not probed")
	}
}

// run starts a loop and returns what stops it.
func run(t *testing.T, loop *gwcontrol.Loop) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- loop.Run(ctx) }()
	return func() {
		cancel()
		require.NoError(t, <-done)
	}
}

// readRecorder is a store without records that sends the key of each read to a channel.
type readRecorder struct {
	gw.Store
	key chan string
}

func (r readRecorder) Get(ctx context.Context, key string) (gw.StoredValue, error) {
	select {
	case r.key <- key:
	case <-ctx.Done():
	}
	return gw.StoredValue{}, gw.ErrNotFound
}

// Guards against controllers of all cells of the region on every host: on a fleet of 295 hosts they took a quarter of
// the processor time of hosts that would never control a cell. Guards also against a cell without a controller when
// the hosts that stood by are lost.
func TestOnlyHostsThatMayControlACellRunIt(t *testing.T) {
	self := gw.HostEntry{Name: "weak", Region: "r", DataCentre: "b", State: gw.EntryLive, Cores: 0.1, LinkMegabits: 10}
	all := []gw.HostEntry{self}
	for i := range 8 {
		all = append(all, gw.HostEntry{
			Name: gw.HostName(rune('a' + i)), Region: "r", DataCentre: "b", State: gw.EntryLive, Cores: 1, LinkMegabits: 100,
		})
	}
	var number atomic.Uint64
	number.Store(1)
	table := gwtable.NewTable()
	store := readRecorder{key: make(chan string)}
	registry := prometheus.NewRegistry()
	loop := gwcontrol.New(
		gwcontrol.WithRegisterer(registry),
		gwcontrol.WithSelf(self, "weak#1"), gwcontrol.WithTable(table), gwcontrol.WithStore(store),
		gwcontrol.WithListing(func() (gw.Listing, uint64) {
			n := number.Load()
			if n > 1 {
				return gw.Listing{Hosts: all[:3]}, n
			}
			return gw.Listing{Hosts: all}, n
		}),
		gwcontrol.WithPlacer(func(gw.CellID) gw.Placer { return gwplace.New() }))
	defer run(t, loop)()
	item, err := gwtable.ConfigItem(gw.Config{
		Version: 1, Regions: []gw.Region{{Name: "r", DataCentres: []gw.DataCentreName{"a"}}},
		Services: []gw.Service{{Name: "s", DividedByKey: true, Regions: []gw.RegionName{"r"}}},
	})
	require.NoError(t, err)
	require.NoError(t, table.Apply(item))
	select {
	case key := <-store.key:
		t.Fatalf("a host that will not control the cell reads %s", key)
	case <-time.After(500 * time.Millisecond):
	}
	require.Zero(t, gauge(t, registry, "geraniumworks_control_standby_cells"))
	number.Store(2)
	require.Equal(t, gwcontrol.AssignmentKey(gw.KeySpace{Service: "s", Region: "r"}), <-store.key)
}

// gauge returns the value of a gauge without labels.
func gauge(t *testing.T, registry *prometheus.Registry, name string) float64 {
	t.Helper()
	families, err := registry.Gather()
	require.NoError(t, err)
	for _, f := range families {
		if f.GetName() == name {
			return f.GetMetric()[0].GetGauge().GetValue()
		}
	}
	t.Fatalf("there is no metric %s", name)
	return 0
}
