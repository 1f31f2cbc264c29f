package gwpreview_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwchoice"
	"github.com/geraniumworks/geraniumworks/internal/request/gwdispatch"
	"github.com/geraniumworks/geraniumworks/internal/request/gwpreview"
	"github.com/geraniumworks/geraniumworks/internal/version/gwtable"
)

// Guards against a preview that contradicts what happens to a request: another route or owner, a server outside the
// home regions, a refusal that is not shown, or a preview that occupies a slot.
func TestWhere(t *testing.T) {
	cfg := gw.Config{
		Version: 3, Tenants: []gw.Tenant{{Name: "all"}},
		Services: []gw.Service{
			{Name: "labels", CostAware: true, Regions: []gw.RegionName{"r1", "r2"}, Limits: gw.ServiceLimits{BodyBytes: 100}},
			{Name: "names", DividedByKey: true, Regions: []gw.RegionName{"r1"}},
		},
		Routes: []gw.Route{
			{Name: "labels", PathPrefix: "/labels", Service: "labels", HomeRegions: []gw.RegionName{"r1"}},
			{Name: "names", PathPrefix: "/names", Service: "names", Key: &gw.KeySource{From: gw.KeyFromPathSegment}},
		},
	}
	table := gwtable.NewTable()
	item, err := gwtable.ConfigItem(cfg)
	require.NoError(t, err)
	require.NoError(t, table.Apply(item))
	for _, dc := range []gw.DataCentreName{"dc1", "dc2"} {
		d := gw.Directory{
			Cell: gw.CellID{Service: "labels", DataCentre: dc}, Region: gw.RegionName("r" + dc[2:]), Epoch: 1, Sequence: 1,
			Servers: []gw.DirectoryServer{{
				Name: gw.ServerName("s-" + dc), State: gw.ServerUp, Slots: 1, Dispatcher: "h1", RelayAddress: "h1:1",
			}},
		}
		item, err := gwtable.DirectoryItem(d)
		require.NoError(t, err)
		require.NoError(t, table.Apply(item))
	}
	dispatcher := gwdispatch.New(gwdispatch.WithInstance("i1"), gwdispatch.WithConfig(cfg))
	_, err = dispatcher.Renew(gw.DispatchLease{
		Cell: gw.CellID{Service: "labels", DataCentre: "dc1"}, Epoch: 1, Sequence: 1, To: "i1", Deadline: 1 << 40,
		Servers: []gw.DispatchServer{{Name: "s-dc1", Slots: 1}},
	})
	require.NoError(t, err)
	chooser := gwchoice.New(gwchoice.WithLocation("dc1", "r1"), gwchoice.WithLocalWait(dispatcher.ExpectedWait))
	p := gwpreview.New(gwpreview.Options{
		Host: "h1", Region: "r1", Config: func() gw.Config { return cfg }, Table: table, Candidates: chooser.Candidates,
		Router:  gwtable.NewRouter(gwtable.WithTable(table), gwtable.WithHost("h1", "r1")),
		Preview: dispatcher.Preview, Clock: gw.SystemClock{},
		Dispatches: func(service gw.ServiceName, name gw.ServerName) bool {
			_, ok := dispatcher.ExpectedWait(service, name)
			return ok
		},
	})
	where := func(req gwpreview.Request) gwpreview.Answer { return p.Where(context.Background(), req) }

	out := where(gwpreview.Request{Path: "/labels/7?x=1", Method: "GET"})
	require.Nil(t, out.Refusal)
	require.Equal(t, "labels", out.Route)
	require.True(t, out.ByScore)
	require.Len(t, out.Candidates, 1, "the other server is outside the home regions")
	require.Equal(t, gw.ServerName("s-dc1"), out.Candidates[0].Server)
	require.Zero(t, *out.Candidates[0].AgeMilliseconds)

	slot, refusal := dispatcher.Acquire(context.Background(), gw.SlotRequest{
		Service: "labels", Server: "s-dc1", Deadline: time.Now().Add(time.Minute),
	})
	require.Nil(t, refusal)
	slot.Done(gw.AttemptResult{Outcome: gw.OutcomeNotRun, PausedUntil: time.Now().Add(time.Hour), End: time.Now()})
	out = where(gwpreview.Request{Path: "/labels/7"})
	require.NotNil(t, out.Refusal, "the server has asked for a pause that is longer than the deadline")
	require.Equal(t, out.Candidates[0].Refusal, out.Refusal)

	require.Equal(t, gw.ReasonBodyTooLarge, where(gwpreview.Request{Path: "/labels", Bytes: 101}).Refusal.Reason)
	require.Equal(t, gw.ReasonNoRoute, where(gwpreview.Request{Path: "/other"}).Refusal.Reason)
	require.Equal(t, gw.ReasonUnknownTenant, where(gwpreview.Request{Path: "/labels", Tenant: "x"}).Refusal.Reason)
	require.Equal(t, gw.ReasonBadRequest, where(gwpreview.Request{Path: "/names"}).Refusal.Reason, "there is no key")
	require.Equal(t, gw.ReasonNoOwner, where(gwpreview.Request{Path: "/names/a"}).Refusal.Reason)
	cfg.Version = 0
	require.Equal(t, gw.ReasonNotReady, where(gwpreview.Request{Path: "/labels"}).Refusal.Reason)
}
