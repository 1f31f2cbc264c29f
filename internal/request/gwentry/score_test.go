package gwentry

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// recordingRouter records what it is asked and gives one target.
type recordingRouter struct {
	asked  []gw.RouteRequest
	target gw.Target
}

func (r *recordingRouter) Route(_ context.Context, req gw.RouteRequest) (gw.Target, *gw.Refusal) {
	r.asked = append(r.asked, req)
	return r.target, nil
}

// Guards against probes over the link to another region, against a queue that was not asked, and against a change for
// services that are not cost-aware.
func TestSearchByScore(t *testing.T) {
	router := &recordingRouter{target: gw.Target{Server: "d", RemoteRegion: true}}
	c := &call{
		handler: New(WithRouter(router), WithRegion("r1")), service: gw.Service{CostAware: true},
		objective: time.Now().Add(time.Second), homes: []gw.RegionName{"r2"},
	}
	target, refusal := c.nextTarget(t.Context())
	require.Nil(t, refusal)
	require.Equal(t, []gw.RegionName{"r2"}, router.asked[0].HomeRegions)
	require.False(t, c.probesForSlot(target))
	require.True(t, c.probesForSlot(gw.Target{Server: "a"}))
	c.search.addBusy("a", 100)
	_, _ = c.nextTarget(t.Context())
	require.Equal(t, []gw.ServerName{"a"}, router.asked[1].Exclude)
	c.search.addBusy("b", 50)
	c.search.addBusy("c", 70)
	_, _ = c.nextTarget(t.Context())
	require.Equal(t, []gw.ServerName{"a", "b", "c"}, router.asked[2].Asked)
	require.Empty(t, router.asked[2].Exclude)

	c.service.CostAware, c.search = false, slotSearch{}
	require.True(t, c.probesForSlot(target))
	_, _ = c.nextTarget(t.Context())
	require.Equal(t, gw.RouteRequest{HomeRegions: []gw.RegionName{"r2"}, NoWait: true}, router.asked[3])
}
