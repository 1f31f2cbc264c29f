package gwtable_test

import (
	"context"
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tailscale/hujson"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwchoice"
	"github.com/geraniumworks/geraniumworks/internal/version/gwtable"
)

type routesScript struct {
	Region  gw.RegionName  `json:"region"`
	Config  gw.Config      `json:"config"`
	Cells   []gw.Directory `json:"cells"`
	Records []record       `json:"records"`
	Cases   []struct {
		Name    string         `json:"name"`
		Service gw.ServiceName `json:"service"`
		Tenant  gw.TenantName  `json:"tenant"`
		Key     string         `json:"key"`
		Stale   gw.Revision    `json:"stale"`
		Server  gw.ServerName  `json:"server"`
		Remote  bool           `json:"remote"`
		Refused gw.Reason      `json:"refused"`
	} `json:"cases"`
}

// record is an assignment in which one server owns every position.
type record struct {
	KeySpace gw.KeySpace   `json:"key-space"`
	Owner    gw.ServerName `json:"owner"`
	Token    gw.Revision   `json:"token"`
}

func apply(t *testing.T, table *gwtable.Table, item gw.Item, err error) {
	t.Helper()
	require.NoError(t, err)
	require.NoError(t, table.Apply(item))
}

func singleOwner(t *testing.T, r record) gw.Assignment {
	t.Helper()
	a, err := gw.NewAssignment(r.KeySpace).WithRevision(r.Token, "w").WithOwner(0, r.Owner, r.Token)
	require.NoError(t, err)
	return a
}

func applyScript(t *testing.T, table *gwtable.Table, s routesScript) {
	t.Helper()
	i, err := gwtable.ConfigItem(s.Config)
	apply(t, table, i, err)
	for _, r := range s.Records {
		apply(t, table, gwtable.AssignmentItem(gwtable.Record{Assignment: singleOwner(t, r)}), nil)
	}
	for _, d := range s.Cells {
		i, err := gwtable.DirectoryItem(d)
		apply(t, table, i, err)
	}
}

// Guards against a request that is sent outside its tenant's home regions, to a server that does not own its key,
// or to an owner that has already refused its token.
func TestRoutesScript(t *testing.T) {
	data, err := os.ReadFile("testdata/routes.jsonc")
	require.NoError(t, err)
	data, err = hujson.Standardize(data)
	require.NoError(t, err)
	var s routesScript
	require.NoError(t, json.Unmarshal(data, &s))

	table := gwtable.NewTable()
	chooser := gwchoice.New(gwchoice.WithLocation("holland-a", s.Region), gwchoice.WithSeed(1))
	router := gwtable.NewRouter(
		gwtable.WithTable(table), gwtable.WithHost("h1", s.Region), gwtable.WithWait(0),
		gwtable.WithChooser(chooserAdapter{chooser}))
	_, refusal := router.Route(context.Background(), gw.RouteRequest{Service: "lookups", Tenant: "free", Key: "k"})
	require.Equal(t, gw.ReasonNotReady, refusal.Reason)

	applyScript(t, table, s)
	for _, c := range s.Cases {
		t.Run(c.Name, func(t *testing.T) {
			target, refusal := router.Route(context.Background(), gw.RouteRequest{
				Service: c.Service, Tenant: c.Tenant, Key: c.Key, Stale: c.Stale,
			})
			if c.Refused != "" {
				require.NotNil(t, refusal)
				require.Equal(t, c.Refused, refusal.Reason)
				return
			}
			require.Nil(t, refusal)
			require.Equal(t, c.Server, target.Server)
			require.Equal(t, c.Remote, target.RemoteRegion)
		})
	}
}

type chooserAdapter struct{ *gwchoice.Chooser }

func (a chooserAdapter) Choose(
	service gw.ServiceName, cells []gw.Directory, exclude []gw.ServerName,
) (server gw.DirectoryServer, remoteRegion bool, refusal *gw.Refusal) {
	chosen, refusal := a.Chooser.Choose(service, cells, exclude)
	return chosen.Server, chosen.RemoteRegion, refusal
}

// Guards against requests that are refused during a planned move although the new owner is known in time.
func TestRouteWaitsForNewOwner(t *testing.T) {
	table := gwtable.NewTable()
	space := gw.KeySpace{Service: "lookups", Region: "holland"}
	applyScript(t, table, routesScript{
		Config: gw.Config{
			Tenants:  []gw.Tenant{{Name: "t"}},
			Services: []gw.Service{{Name: "lookups", DividedByKey: true, Regions: []gw.RegionName{"holland"}}},
		},
		Cells: []gw.Directory{{
			Cell: gw.CellID{Service: "lookups", DataCentre: "holland-a"}, Region: "holland",
			Servers: []gw.DirectoryServer{
				{Name: "s1", Dispatcher: "h1", RelayAddress: "h1:1"},
				{Name: "s2", Dispatcher: "h1", RelayAddress: "h1:1"},
			},
		}},
		Records: []record{{KeySpace: space, Owner: "s1", Token: 4}},
	})
	router := gwtable.NewRouter(
		gwtable.WithTable(table), gwtable.WithHost("h1", "holland"), gwtable.WithWait(10*time.Second))
	got := make(chan gw.Target, 1)
	go func() {
		target, _ := router.Route(context.Background(), gw.RouteRequest{
			Service: "lookups", Tenant: "t", Key: "k", Stale: 4,
		})
		got <- target
	}()
	apply(t, table, gwtable.AssignmentItem(gwtable.Record{
		Assignment: singleOwner(t, record{KeySpace: space, Owner: "s2", Token: 5}),
	}), nil)
	target := <-got
	require.Equal(t, gw.ServerName("s2"), target.Server)
	require.True(t, target.Local)
}

// Guards against a timer and a context for each request that does not wait: they took half of the time of a lookup.
func TestRouteWithoutWaitAllocatesNoTimer(t *testing.T) {
	table := gwtable.NewTable()
	applyScript(t, table, routesScript{
		Config: gw.Config{
			Tenants:  []gw.Tenant{{Name: "t"}},
			Services: []gw.Service{{Name: "lookups", DividedByKey: true, Regions: []gw.RegionName{"holland"}}},
		},
		Cells: []gw.Directory{{
			Cell: gw.CellID{Service: "lookups", DataCentre: "holland-a"}, Region: "holland",
			Servers: []gw.DirectoryServer{{Name: "s1", Dispatcher: "h1", RelayAddress: "h1:1"}},
		}},
		Records: []record{{KeySpace: gw.KeySpace{Service: "lookups", Region: "holland"}, Owner: "s1", Token: 4}},
	})
	router := gwtable.NewRouter(gwtable.WithTable(table), gwtable.WithHost("h1", "holland"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request := gw.RouteRequest{Service: "lookups", Tenant: "t", Key: "k"}
	parts := testing.AllocsPerRun(100, func() {
		service, _ := table.State().Config.Service("lookups")
		gwtable.RegionOf(service, gw.Tenant{Name: "t"}, "k")
		gwtable.PositionOf("lookups", "t", "k")
	})
	whole := testing.AllocsPerRun(100, func() {
		_, refusal := router.Route(ctx, request)
		require.Nil(t, refusal)
	})
	t.Logf("allocations: residence and position %.0f, route %.0f", parts, whole)
	require.LessOrEqual(t, whole, parts+1)
}

// Guards against keys or tenants that share a position because the hash does not separate their names, and against a
// change of the hash, which would move every key of a running system.
func TestPositionsAreStable(t *testing.T) {
	require.NotEqual(t, gwtable.PositionOf("s", "ab", "c"), gwtable.PositionOf("s", "a", "bc"))
	require.Equal(t, "7caaa7f716604926", gwtable.PositionOf("lookups", "yards", "zeemeeuw").String())
}
