package gwtable_test

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/version/gwrank"
	"github.com/geraniumworks/geraniumworks/internal/version/gwtable"
)

// init fixes the seed of property tests, so that CI gives the same verdict each time.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

// reference routes a key by linear search through all configuration, assignments and directories.
type reference struct {
	region      gw.RegionName
	cfg         gw.Config
	assignments []gw.Assignment
	directories []gw.Directory
}

func (n reference) route(req gw.RouteRequest) (server gw.ServerName, relay string, reason gw.Reason) {
	var service *gw.Service
	for i := range n.cfg.Services {
		if n.cfg.Services[i].Name == req.Service {
			service = &n.cfg.Services[i]
		}
	}
	if service == nil {
		return "", "", gw.ReasonNoRoute
	}
	var tenant *gw.Tenant
	for i := range n.cfg.Tenants {
		if n.cfg.Tenants[i].Name == req.Tenant {
			tenant = &n.cfg.Tenants[i]
		}
	}
	if tenant == nil {
		return "", "", gw.ReasonUnknownTenant
	}
	if !n.cfg.KeysRequired && len(tenant.HomeRegions) > 0 && !slices.Contains(tenant.HomeRegions, n.region) {
		return "", "", gw.ReasonWrongRegion
	}
	var eligible []gw.RegionName
	for _, r := range service.Regions {
		if len(tenant.HomeRegions) == 0 || slices.Contains(tenant.HomeRegions, r) {
			eligible = append(eligible, r)
		}
	}
	if len(eligible) == 0 {
		return "", "", gw.ReasonNoServer
	}
	region := gwrank.Order(string(req.Tenant)+"/"+req.Key, eligible)[0]
	owner, ok := n.owner(service.Name, region, gwtable.PositionOf(req.Service, req.Tenant, req.Key), req.Stale)
	if !ok {
		return "", "", gw.ReasonNoOwner
	}
	for _, d := range n.directories {
		for _, s := range d.Servers {
			if d.Cell.Service == service.Name && d.Region == region && s.Name == owner && s.RelayAddress != "" {
				return owner, s.RelayAddress, ""
			}
		}
	}
	return "", "", gw.ReasonNoOwner
}

func (n reference) owner(
	service gw.ServiceName, region gw.RegionName, p gw.Position, stale gw.Revision,
) (gw.ServerName, bool) {
	for _, a := range n.assignments {
		if a.KeySpace.Service != service || a.KeySpace.Region != region {
			continue
		}
		for i, r := range a.Ranges {
			if a.Span(i).Contains(p) {
				return r.Owner, r.Owner != "" && r.Token > stale
			}
		}
	}
	return "", false
}

// Guards against an index or a search that finds another owner, relay or refusal than the linear search.
func TestRouterAgreesWithNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := []gw.RegionName{"r1", "r2", "r3"}
		some := func(label string) []gw.RegionName {
			return rapid.SliceOfDistinct(rapid.SampledFrom(regions), rapid.ID).Draw(t, label)
		}
		n := reference{region: "r1", cfg: gw.Config{Version: 1, KeysRequired: rapid.Bool().Draw(t, "keys")}}
		for _, name := range []gw.ServiceName{"s1", "s2"} {
			n.cfg.Services = append(n.cfg.Services, gw.Service{Name: name, DividedByKey: true, Regions: some("regions")})
		}
		for _, name := range []gw.TenantName{"t1", "t2", "t3"} {
			n.cfg.Tenants = append(n.cfg.Tenants, gw.Tenant{Name: name, HomeRegions: some("home regions")})
		}
		n.drawOwners(t, regions)
		table := gwtable.NewTable()
		n.fill(t, table)
		router := gwtable.NewRouter(gwtable.WithTable(table), gwtable.WithHost("h", n.region), gwtable.WithWait(0))
		for range 20 {
			req := gw.RouteRequest{
				Service: rapid.SampledFrom([]gw.ServiceName{"s1", "s2", "s3"}).Draw(t, "service"),
				Tenant:  rapid.SampledFrom([]gw.TenantName{"t1", "t2", "t3", "t4"}).Draw(t, "tenant"),
				Key:     rapid.StringN(1, 8, -1).Draw(t, "key"),
				Stale:   gw.Revision(rapid.IntRange(0, 5).Draw(t, "stale")),
			}
			target, refusal := router.Route(context.Background(), req)
			server, relay, reason := n.route(req)
			if refusal != nil {
				require.Equal(t, reason, refusal.Reason)
				continue
			}
			require.Empty(t, reason)
			require.Equal(t, server, target.Server)
			require.Equal(t, relay, target.RelayAddress)
		}
	})
}

// drawOwners makes assignments and directories in which some ranges, servers and relays are missing.
func (n *reference) drawOwners(t *rapid.T, regions []gw.RegionName) {
	for _, service := range n.cfg.Services {
		for _, region := range regions {
			if rapid.IntRange(0, 5).Draw(t, "missing") == 0 {
				continue
			}
			a := gw.NewAssignment(gw.KeySpace{Service: service.Name, Region: region}).WithRevision(9, "w")
			for range rapid.IntRange(0, 6).Draw(t, "splits") {
				a = a.WithSplit(gw.Position(rapid.Uint64().Draw(t, "split")))
			}
			d := gw.Directory{
				Cell: gw.CellID{Service: service.Name, DataCentre: gw.DataCentreName(region)}, Region: region, Epoch: 1,
			}
			for i := range a.Ranges {
				name := gw.ServerName(fmt.Sprintf("%s-%s-%d", service.Name, region, rapid.IntRange(0, 2).Draw(t, "owner")))
				owner := rapid.SampledFrom([]gw.ServerName{name, name, ""}).Draw(t, "owned")
				a, _ = a.WithOwner(a.Ranges[i].First, owner, gw.Revision(rapid.IntRange(1, 6).Draw(t, "token")))
			}
			for i := range 3 {
				name := gw.ServerName(fmt.Sprintf("%s-%s-%d", service.Name, region, i))
				relay := rapid.SampledFrom([]string{"h:1", "h:2", ""}).Draw(t, "relay")
				d.Servers = append(d.Servers, gw.DirectoryServer{Name: name, Dispatcher: "h", RelayAddress: relay})
			}
			n.assignments = append(n.assignments, a)
			n.directories = append(n.directories, d)
		}
	}
}

func (n reference) fill(t *rapid.T, table *gwtable.Table) {
	put := func(item gw.Item, err error) {
		require.NoError(t, err)
		require.NoError(t, table.Apply(item))
	}
	put(gwtable.ConfigItem(n.cfg))
	for _, a := range n.assignments {
		put(gwtable.AssignmentItem(gwtable.Record{Assignment: a}), nil)
	}
	for _, d := range n.directories {
		put(gwtable.DirectoryItem(d))
	}
}
