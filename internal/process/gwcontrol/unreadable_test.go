package gwcontrol_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/process/gwcontrol"
	"github.com/geraniumworks/geraniumworks/internal/version/gwplace"
	"github.com/geraniumworks/geraniumworks/internal/version/gwtable"
)

// damagedStore has one record, which cannot be decoded.
type damagedStore struct{ gw.Store }

func (damagedStore) Get(_ context.Context, key string) (gw.StoredValue, error) {
	return gw.StoredValue{Key: key, Version: 7, Data: []byte("\x00damaged")}, nil
}

// Guards against a record that cannot be decoded and looks like a store that does not answer, in logs and metrics.
func TestUnreadableRecordIsNamed(t *testing.T) {
	self := gw.HostEntry{Name: "h1", Region: "r", DataCentre: "a", State: gw.EntryLive}
	table, registry, log := gwtable.NewTable(), prometheus.NewRegistry(), &bytes.Buffer{}
	loop := gwcontrol.New(
		gwcontrol.WithRegisterer(registry), gwcontrol.WithLogger(slog.New(slog.NewTextHandler(log, nil))),
		gwcontrol.WithSelf(self, "h1#1"), gwcontrol.WithTable(table), gwcontrol.WithStore(damagedStore{}),
		gwcontrol.WithListing(func() (gw.Listing, uint64) { return gw.Listing{Hosts: []gw.HostEntry{self}}, 1 }),
		gwcontrol.WithPlacer(func(gw.CellID) gw.Placer { return gwplace.New() }))
	stop := sync.OnceFunc(run(t, loop))
	defer stop()
	item, err := gwtable.ConfigItem(gw.Config{
		Version: 1, Regions: []gw.Region{{Name: "r", DataCentres: []gw.DataCentreName{"a"}}},
		Services: []gw.Service{{Name: "s", DividedByKey: true, Regions: []gw.RegionName{"r"}}},
	})
	require.NoError(t, err)
	require.NoError(t, table.Apply(item))
	require.Eventually(t, func() bool { return unreadable(t, registry, "ownership/s/r") > 1 }, 5*time.Second,
		10*time.Millisecond)
	stop()
	require.Equal(t, 1, strings.Count(log.String(), "cannot be read"), log.String())
	require.Contains(t, log.String(), "key=ownership/s/r version=7")
}

// unreadable returns how often the record under a key could not be decoded.
func unreadable(t *testing.T, registry *prometheus.Registry, key string) float64 {
	t.Helper()
	families, err := registry.Gather()
	require.NoError(t, err)
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if f.GetName() == "geraniumworks_control_unreadable_records_total" && m.GetLabel()[0].GetValue() == key {
				return m.GetCounter().GetValue()
			}
		}
	}
	return 0
}
