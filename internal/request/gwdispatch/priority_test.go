package gwdispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

func tenantRequest(tenant gw.TenantName, priority int) *request {
	return &request{SlotRequest: gw.SlotRequest{Tenant: tenant, Priority: gw.CombinePriorities(priority, 5)}}
}

// Guards against a less urgent tenant that starves beside urgent ones, or is served before them out of turn, and
// against tenants of one priority that are not served evenly. Replays a load in which every tenant always waits.
func TestUrgentTenantsFirstWithoutStarvation(t *testing.T) {
	q := &fairQueue{}
	tenants := map[gw.TenantName]int{"urgent-1": 0, "urgent-2": 0, "later-1": 1, "later-2": 1, "last": 9}
	for name, priority := range tenants {
		for range 4 {
			q.push(tenantRequest(name, priority))
		}
	}
	served := map[gw.TenantName]int{}
	const slots = 8 * 60
	for range slots {
		r := q.pop(time.Time{}, 0)
		served[r.Tenant]++
		q.push(tenantRequest(r.Tenant, tenants[r.Tenant]))
	}
	require.InDelta(t, served["urgent-1"], served["urgent-2"], 1)
	require.Equal(t, slots*7/8, served["urgent-1"]+served["urgent-2"])
	for _, name := range []gw.TenantName{"later-1", "later-2", "last"} {
		require.InDelta(t, slots/8/3, served[name], 1, name)
	}
}

// Guards against priorities of routes that change the order between tenants, which have none where keys are not
// required, and against priorities that are combined so that one of a route goes before one of a tenant.
func TestCombinedPriorities(t *testing.T) {
	q := &fairQueue{}
	for _, r := range []gw.SlotRequest{{Tenant: "a", Priority: 100}, {Tenant: "b"}, {Tenant: "b"}, {Tenant: "a"}} {
		q.push(&request{SlotRequest: r})
	}
	for _, want := range []gw.TenantName{"a", "b", "a", "b"} {
		require.Equal(t, want, q.pop(time.Time{}, 0).Tenant)
	}
	require.Less(t, gw.CombinePriorities(0, 1_000_000), gw.CombinePriorities(1, 0))
	require.Less(t, gw.CombinePriorities(1, 1), gw.CombinePriorities(1, 2))
	require.Zero(t, gw.TenantPriority(gw.CombinePriorities(0, 1_000_000)))
}

// Guards against an urgent request that is refused while less urgent ones hold the places in the queue, and against a
// tenant that loses its last place to an urgent one and so has no request when its turn comes.
func TestUrgentTenantDisplacesOthers(t *testing.T) {
	q := &fairQueue{}
	for range 3 {
		q.push(tenantRequest("later", 1))
	}
	for range 4 {
		q.push(tenantRequest("urgent", 0))
	}
	urgent := gw.CombinePriorities(0, 0)
	require.Equal(t, gw.TenantName("later"), q.displace("urgent", urgent).Tenant)
	require.Equal(t, gw.TenantName("later"), q.displace("urgent", urgent).Tenant)
	require.Nil(t, q.displace("urgent", urgent), "its last place stays")
	later := gw.CombinePriorities(1, 0)
	require.Nil(t, q.displace("later", later))
	require.Equal(t, gw.TenantName("urgent"), q.displace("other", later).Tenant, "for its turn")
	require.Equal(t, 1, q.ahead("first", urgent), "one of each tenant of the priority in a round")
	require.Equal(t, 4, q.ahead("other", later), "all urgent ones, and one of the tenant of the priority")
}
