package gwquota

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

var errCut = errors.New("cut off")

// cluster is a set of hosts in four data centres and two regions, connected in memory, under the clock of synctest.
type cluster struct {
	t       *testing.T
	tenants []gw.Tenant
	mu      sync.Mutex
	entries []gw.HostEntry
	nodes   map[gw.HostName]*node
	// cut reports whether two hosts cannot reach each other, lost the share of messages that are lost.
	cut  func(x, y gw.HostEntry) bool
	lost float64
	// slow is added to the time that each message takes.
	slow time.Duration
	// rand draws the load, dice which messages are lost; each has one user at a time.
	rand *rand.Rand
	dice *rand.Rand
	// version is the number of the listing, listing what the hosts in a data centre see.
	version  uint64
	messages int
	admitted map[gw.TenantName][]time.Time
	refused  map[gw.TenantName]int
	requests sync.WaitGroup
}

type node struct {
	entry gw.HostEntry
	loop  *Loop
	stop  context.CancelFunc
	ended chan error
}

func newCluster(t *testing.T, hosts int, seed uint64, tenants ...gw.Tenant) *cluster {
	c := &cluster{
		t: t, tenants: tenants, nodes: map[gw.HostName]*node{},
		rand: rand.New(rand.NewPCG(seed, seed)), dice: rand.New(rand.NewPCG(seed, 0)),
		cut: func(gw.HostEntry, gw.HostEntry) bool { return false }, version: 1,
		admitted: map[gw.TenantName][]time.Time{}, refused: map[gw.TenantName]int{},
	}
	for i := range hosts {
		c.entries = append(c.entries, gw.HostEntry{
			Name: gw.HostName(fmt.Sprintf("h%d", i)), DataCentre: gw.DataCentreName(fmt.Sprintf("dc%d", i%4)),
			Region: gw.RegionName(fmt.Sprintf("r%d", i%2)), State: gw.EntryLive, PeerAddress: fmt.Sprintf("h%d", i),
		})
	}
	for _, e := range c.entries {
		c.start(e)
	}
	return c
}

func (c *cluster) listing() (gw.Listing, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return gw.Listing{Hosts: slices.Clone(c.entries)}, c.version
}

func (c *cluster) setEntries(entries []gw.HostEntry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries, c.version = entries, c.version+1
}

func (c *cluster) start(e gw.HostEntry) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{entry: e, stop: cancel, ended: make(chan error, 1)}
	n.loop = New(e, WithPeer(link{c: c, from: e}), WithListing(c.listing))
	n.loop.SetConfig(gw.Config{Tenants: c.tenants})
	c.mu.Lock()
	c.nodes[e.Name] = n
	c.mu.Unlock()
	go func() { n.ended <- n.loop.Run(ctx) }()
}

func (c *cluster) kill(name gw.HostName) gw.HostEntry {
	c.mu.Lock()
	n := c.nodes[name]
	delete(c.nodes, name)
	c.mu.Unlock()
	n.stop()
	require.NoError(c.t, <-n.ended)
	return n.entry
}

func (c *cluster) close() {
	c.requests.Wait()
	for _, e := range c.entries {
		if c.node(e.Name) != nil {
			c.kill(e.Name)
		}
	}
}

func (c *cluster) node(name gw.HostName) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[name]
}

// request makes one request of a tenant at a host, unless the host is down.
func (c *cluster) request(tenant gw.Tenant, at gw.HostName) {
	n := c.node(at)
	if n == nil {
		return
	}
	c.requests.Go(func() {
		_, refusal := n.loop.Admit(context.Background(), tenant)
		c.mu.Lock()
		defer c.mu.Unlock()
		if refusal == nil {
			c.admitted[tenant.Name] = append(c.admitted[tenant.Name], time.Now())
		} else {
			c.refused[tenant.Name]++
		}
	})
}

// load makes requests at random hosts for a time, at a rate that changes with the time, in lumps.
func (c *cluster) load(
	tenant gw.Tenant, d time.Duration, lump int, rate func(time.Duration) float64, at []gw.HostName,
) {
	start := time.Now()
	for time.Since(start) < d {
		time.Sleep(time.Duration(c.rand.ExpFloat64() * float64(lump) / rate(time.Since(start)) * float64(time.Second)))
		host := at[c.rand.IntN(len(at))]
		for range lump {
			c.request(tenant, host)
		}
	}
	time.Sleep(time.Second)
}

// setTenants applies a configuration at all hosts.
func (c *cluster) setTenants(tenants ...gw.Tenant) {
	c.tenants = tenants
	for _, name := range c.names() {
		c.node(name).loop.SetConfig(gw.Config{Tenants: tenants})
	}
}

func (c *cluster) names() []gw.HostName {
	var names []gw.HostName
	for _, e := range c.entries {
		names = append(names, e.Name)
	}
	return names
}

// checkRule checks that no window of 5 s has more requests than the rule permits, and returns the fullest one.
func (c *cluster) checkRule(tenant gw.Tenant) int {
	at := c.admitted[tenant.Name]
	slices.SortFunc(at, time.Time.Compare)
	most, first := 0, 0
	for i := range at {
		for at[i].Sub(at[first]) > 5*time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	require.LessOrEqual(c.t, float64(most), (tenant.QuotaPerSecond*5+tenant.QuotaBurst)*1.1+20)
	return most
}

// link is the gw.Peer of one host.
type link struct {
	gw.Peer
	c    *cluster
	from gw.HostEntry
}

func (l link) ShareQuota(ctx context.Context, address string, req gw.QuotaRequest) (gw.QuotaReply, error) {
	l.c.mu.Lock()
	l.c.messages++
	n, lost := l.c.nodes[gw.HostName(address)], [2]bool{l.c.dice.Float64() < l.c.lost, l.c.dice.Float64() < l.c.lost}
	delay := time.Millisecond
	if n != nil && n.entry.Region != l.from.Region {
		delay = 20 * time.Millisecond
	}
	delay += l.c.slow
	cut := n == nil || l.c.cut(l.from, n.entry)
	l.c.mu.Unlock()
	if cut || lost[0] {
		<-ctx.Done()
		return gw.QuotaReply{}, errCut
	}
	time.Sleep(delay)
	reply, err := n.loop.ShareQuota(ctx, req)
	if lost[1] {
		<-ctx.Done()
		return gw.QuotaReply{}, errCut
	}
	time.Sleep(delay)
	return reply, err
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Guards against refusals of a tenant below its quota whose few requests arrive in lumps at 85 hosts, and of one whose
// rate rises 7.5 times at once.
func TestTenantBelowItsQuotaIsNotRefused(t *testing.T) {
	for _, k := range []struct {
		name   string
		tenant gw.Tenant
		lump   int
		rate   func(time.Duration) float64
	}{
		{"lumps", gw.Tenant{Name: "a", QuotaPerSecond: 10, QuotaBurst: 10}, 3, steady(6)},
		{"few", gw.Tenant{Name: "b", QuotaPerSecond: 4, QuotaBurst: 4}, 1, steady(3)},
		{"rise", gw.Tenant{Name: "c", QuotaPerSecond: 160, QuotaBurst: 160}, 1, func(d time.Duration) float64 {
			if d > 10*time.Second {
				return 150
			}
			return 20
		}},
	} {
		t.Run(k.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 85, 1, k.tenant)
				time.Sleep(5 * time.Second)
				c.load(k.tenant, 30*time.Second, k.lump, k.rate, c.names())
				c.close()
				most := c.checkRule(k.tenant)
				n := len(c.admitted[k.tenant.Name])
				t.Logf("admitted %d, refused %d, fullest 5 s %d, messages %d",
					n, c.refused[k.tenant.Name], most, c.messages)
				require.LessOrEqual(t, c.refused[k.tenant.Name], n/200)
			})
		})
	}
}

// Guards against a tenant far above its quota that gets more than the rule permits, or less than its quota.
func TestTenantAboveItsQuotaGetsTheQuota(t *testing.T) {
	for _, hosts := range []int{1, 40} {
		synctest.Test(t, func(t *testing.T) {
			tenant := gw.Tenant{Name: "a", QuotaPerSecond: 50, QuotaBurst: 20}
			c := newCluster(t, 85, 1, tenant)
			time.Sleep(5 * time.Second)
			c.load(tenant, 20*time.Second, 1, steady(375), c.names()[:hosts])
			c.close()
			most := c.checkRule(tenant)
			t.Logf("admitted %d, refused %d, fullest 5 s %d, messages %d",
				len(c.admitted["a"]), c.refused["a"], most, c.messages)
			require.GreaterOrEqual(t, len(c.admitted["a"]), 950)
		})
	}
}
