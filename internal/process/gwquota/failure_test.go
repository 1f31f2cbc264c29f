package gwquota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/version/gwrank"
)

var failing = gw.Tenant{Name: "a", QuotaPerSecond: 60, QuotaBurst: 30}

// coordinator returns the first host in the order of a tenant.
func (c *cluster) coordinator(tenant gw.Tenant) gw.HostName {
	return gwrank.First("quota "+string(tenant.Name), c.names())
}

// underFailure loads a cluster with a multiple of the quota, while fail does something to it. A multiple above 1 begins
// when fail does, so that the bucket is full then.
func underFailure(t *testing.T, multiple float64, fail func(c *cluster)) *cluster {
	var c *cluster
	synctest.Test(t, func(t *testing.T) {
		c = newCluster(t, 20, 1, failing)
		time.Sleep(5 * time.Second)
		c.requests.Go(func() {
			time.Sleep(6 * time.Second)
			fail(c)
		})
		c.load(failing, 25*time.Second, 1, func(d time.Duration) float64 {
			if multiple > 1 && d < 6*time.Second {
				return 0.3 * failing.QuotaPerSecond
			}
			return multiple * failing.QuotaPerSecond
		}, c.names())
		c.close()
		most := c.checkRule(failing)
		t.Logf("admitted %d, refused %d, fullest 5 s %d", len(c.admitted["a"]), c.refused["a"], most)
	})
	return c
}

// regionCut cuts the link between regions.
func regionCut(x, y gw.HostEntry) bool { return x.Region != y.Region }

func (c *cluster) setCut(cut func(x, y gw.HostEntry) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

// Guards against two coordinators, one on each side of a cut, that both lend the whole quota, while it lasts or when it
// ends.
func TestRegionsThatAreCutLendTheirShares(t *testing.T) {
	c := underFailure(t, 7.5, func(c *cluster) {
		c.setCut(regionCut)
		time.Sleep(10 * time.Second)
		c.setCut(func(gw.HostEntry, gw.HostEntry) bool { return false })
	})
	require.GreaterOrEqual(t, len(c.admitted["a"]), 1200, "both sides go on")
}

// Guards against a data centre that gets nothing because it cannot reach the coordinator, although others reach both.
func TestDataCentreThatCannotReachTheCoordinator(t *testing.T) {
	for _, multiple := range []float64{0.15, 7.5} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 20, 1, failing)
			time.Sleep(5 * time.Second)
			first := c.node(c.coordinator(failing)).entry
			var there []gw.HostName
			for _, e := range c.entries {
				if e.Region != first.Region && (len(there) == 0 || e.DataCentre == c.node(there[0]).entry.DataCentre) {
					there = append(there, e.Name)
				}
			}
			far := c.node(there[0]).entry.DataCentre
			c.setCut(func(x, y gw.HostEntry) bool {
				return x.DataCentre == far && y.DataCentre == first.DataCentre ||
					y.DataCentre == far && x.DataCentre == first.DataCentre
			})
			if multiple > 1 {
				there = c.names()
			}
			c.load(failing, 20*time.Second, 1, steady(multiple*failing.QuotaPerSecond), there)
			c.close()
			most := c.checkRule(failing)
			t.Logf("admitted %d, refused %d, fullest 5 s %d", len(c.admitted["a"]), c.refused["a"], most)
			require.GreaterOrEqual(t, len(c.admitted["a"]), 120)
		})
	}
}

// Guards against a side of a cut that takes the whole quota once the host list has dropped the other side.
func TestHostsThatVanishedFromTheListStillCount(t *testing.T) {
	for _, region := range []gw.RegionName{"r0", "r1"} {
		underFailure(t, 7.5, func(c *cluster) {
			c.setCut(regionCut)
			time.Sleep(3 * time.Second)
			var left []gw.HostEntry
			for _, e := range c.entries {
				if e.Region == region {
					left = append(left, e)
				}
			}
			all := c.entries
			c.setEntries(left)
			time.Sleep(10 * time.Second)
			c.setEntries(all)
		})
	}
}

// Guards against a host that is cut off alone and lends more than its own share.
func TestHostThatIsCutOffAloneLendsItsShare(t *testing.T) {
	underFailure(t, 7.5, func(c *cluster) {
		alone := c.coordinator(failing)
		c.setCut(func(x, y gw.HostEntry) bool { return x.Name == alone || y.Name == alone })
	})
}

// Guards against a coordinator that starts full after a restart, and against a long time without one.
func TestCoordinatorThatTerminates(t *testing.T) {
	for _, multiple := range []float64{0.8, 7.5} {
		c := underFailure(t, multiple, func(c *cluster) {
			down := c.kill(c.coordinator(failing))
			time.Sleep(5 * time.Second)
			c.start(down)
		})
		require.GreaterOrEqual(t, len(c.admitted["a"]), 900)
	}
}

// Guards against refusals when a coordinator leaves as planned: it hands over.
func TestCoordinatorThatLeavesHandsOver(t *testing.T) {
	c := underFailure(t, 0.8, func(c *cluster) {
		c.leave(c.coordinator(failing))
	})
	require.LessOrEqual(t, c.refused["a"], 30)
}

// Guards against a new host that lends what the present coordinator lends too.
func TestNewHostTakesOver(t *testing.T) {
	for _, multiple := range []float64{0.8, 7.5} {
		c := underFailure(t, multiple, func(c *cluster) {
			name := gw.HostName("")
			for i := 100; name == ""; i++ {
				if n := gw.HostName(fmt.Sprintf("h%d", i)); gwrank.First("quota a", append(c.names(), n)) == n {
					name = n
				}
			}
			e := gw.HostEntry{Name: name, DataCentre: "dc0", Region: "r0", State: gw.EntryLive, PeerAddress: string(name)}
			c.setEntries(append(c.entries, e))
			c.start(e)
		})
		if multiple < 1 {
			require.LessOrEqual(t, c.refused["a"], 10)
		}
	}
}

// Guards against tokens that are lent twice because messages are lost, hosts restart, links are cut and the list of
// hosts changes, at random times and with random demand.
func TestRuleHoldsUnderRandomFailures(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 7))
			tenant := gw.Tenant{Name: "a", QuotaPerSecond: 5 + r.Float64()*95, QuotaBurst: r.Float64() * 50}
			c := newCluster(t, 6+int(seed%15), seed, tenant)
			c.requests.Go(func() { c.failAtRandom(r, tenant) })
			rate := func(d time.Duration) float64 {
				if seed%2 == 1 && int(d/(3*time.Second))%2 == 0 {
					return 0.2 * tenant.QuotaPerSecond
				}
				return tenant.QuotaPerSecond * (0.2 + 8*c.rand.Float64())
			}
			c.load(tenant, 40*time.Second, 1+int(seed%4), rate, c.names()[:1+seed%6])
			c.close()
			most := c.checkRule(tenant)
			t.Logf("seed %d: quota %.0f burst %.0f, admitted %d, refused %d, fullest 5 s %d", seed, tenant.QuotaPerSecond,
				tenant.QuotaBurst, len(c.admitted["a"]), c.refused["a"], most)
		})
	}
}

// leave stops a host as planned and starts it again.
func (c *cluster) leave(name gw.HostName) {
	c.node(name).loop.Stop()
	time.Sleep(time.Second)
	left := slices.Clone(c.entries)
	i := slices.IndexFunc(left, func(e gw.HostEntry) bool { return e.Name == name })
	left[i].State = gw.EntryLeaving
	c.setEntries(left)
	time.Sleep(time.Second)
	down := c.kill(name)
	c.drop(name)
	time.Sleep(3 * time.Second)
	c.setEntries(append(slices.Clone(c.entries), down))
	c.start(down)
}

// drop removes a host from the list.
func (c *cluster) drop(name gw.HostName) {
	c.setEntries(slices.DeleteFunc(slices.Clone(c.entries), func(e gw.HostEntry) bool { return e.Name == name }))
}

func (c *cluster) failAtRandom(r *rand.Rand, tenant gw.Tenant) {
	end := time.Now().Add(38 * time.Second)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(r.ExpFloat64() * float64(2*time.Second)))
		name := c.names()[r.IntN(len(c.names()))]
		if r.IntN(2) == 0 {
			name = c.coordinator(tenant)
		}
		switch r.IntN(7) {
		case 0:
			down := c.kill(name)
			time.Sleep(time.Duration(r.ExpFloat64() * float64(time.Second)))
			c.start(down)
		case 5:
			c.leave(name)
		case 6:
			down := c.kill(name)
			time.Sleep(time.Duration(r.ExpFloat64() * float64(time.Second)))
			c.drop(name)
			time.Sleep(time.Duration(r.ExpFloat64() * float64(3*time.Second)))
			c.setEntries(append(slices.Clone(c.entries), down))
			c.start(down)
		case 1:
			c.setCut(regionCut)
		case 2:
			c.setCut(func(x, y gw.HostEntry) bool { return x.Name == name || y.Name == name })
		case 3:
			c.setCut(func(gw.HostEntry, gw.HostEntry) bool { return false })
		case 4:
			c.mu.Lock()
			c.lost = r.Float64() * 0.3
			c.mu.Unlock()
		}
	}
}
