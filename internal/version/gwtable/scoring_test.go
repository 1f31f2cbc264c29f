package gwtable_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/version/gwtable"
)

// fixedChooser gives the first server by requests in flight and the last one by score.
type fixedChooser struct{}

func (fixedChooser) Choose(
	_ gw.ServiceName, cells []gw.Directory, _ []gw.ServerName,
) (server gw.DirectoryServer, remoteRegion bool, refusal *gw.Refusal) {
	return cells[0].Servers[0], false, nil
}

func (fixedChooser) ChooseByScore(
	cells []gw.Directory, _ gw.RouteRequest,
) (server gw.DirectoryServer, remoteRegion bool, refusal *gw.Refusal) {
	return cells[0].Servers[1], false, nil
}

// Guards against a choice by score for a service that is not cost-aware, and against the reverse.
func TestScoreIsUsedWhereConfigured(t *testing.T) {
	for aware, want := range map[bool]gw.ServerName{false: "s1", true: "s2"} {
		table := gwtable.NewTable()
		applyScript(t, table, routesScript{
			Config: gw.Config{
				Tenants:  []gw.Tenant{{Name: "t"}},
				Services: []gw.Service{{Name: "labels", CostAware: aware, Regions: []gw.RegionName{"holland"}}},
			},
			Cells: []gw.Directory{{
				Cell: gw.CellID{Service: "labels", DataCentre: "holland-a"}, Region: "holland",
				Servers: []gw.DirectoryServer{{Name: "s1"}, {Name: "s2"}},
			}},
		})
		router := gwtable.NewRouter(gwtable.WithTable(table), gwtable.WithHost("h1", "holland"),
			gwtable.WithChooser(fixedChooser{}), gwtable.WithScoringChooser(fixedChooser{}))
		target, refusal := router.Route(context.Background(), gw.RouteRequest{Service: "labels", Tenant: "t"})
		require.Nil(t, refusal)
		require.Equal(t, want, target.Server)
	}
}
