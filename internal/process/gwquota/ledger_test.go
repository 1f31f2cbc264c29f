package gwquota

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// soleLedger returns the ledger of a host that has coordinated the tenant for a minute before now.
func soleLedger(tenant gw.Tenant, now time.Time) *Ledger {
	self := gw.HostEntry{Name: "h0", DataCentre: "dc0", State: gw.EntryLive}
	l := NewLedger(self)
	l.SetHosts(now.Add(-time.Minute), []gw.HostEntry{self})
	l.SetTenants(now.Add(-time.Minute), []gw.Tenant{tenant})
	l.Tick(now)
	return l
}

func ask(l *Ledger, now time.Time, tokens, returned int) gw.QuotaGrant {
	asks := []gw.QuotaAsk{{Tenant: "a", Tokens: tokens, Returned: returned}}
	return l.Ask(now, gw.QuotaRequest{Host: "h0", Asks: asks})[0]
}

// Guards against a coordinator that was frozen, was replaced meanwhile, and lends what it had before.
func TestFrozenCoordinatorLendsNothingAtFirst(t *testing.T) {
	now := time.Now()
	l := soleLedger(gw.Tenant{Name: "a", QuotaPerSecond: 100, QuotaBurst: 50}, now)
	require.Equal(t, 5, ask(l, now, 5, 0).Tokens)
	now = now.Add(3 * time.Second)
	require.Zero(t, ask(l, now, 5, 0).Tokens)
	for range 5 {
		now = now.Add(tickInterval)
		l.Tick(now)
		require.Zero(t, ask(l, now, 5, 0).Tokens)
	}
}

// Guards against peers whose numbers are negative, absurd or too many, and that create tokens, state or long answers.
func TestOddMessagesCreateNothing(t *testing.T) {
	now := time.Now()
	tenant := gw.Tenant{Name: "a", QuotaPerSecond: 100, QuotaBurst: 50}
	l := soleLedger(tenant, now)
	require.Zero(t, ask(l, now, math.MinInt, math.MaxInt).Tokens)
	all := int(depth(tenant))
	require.Equal(t, all, ask(l, now, math.MaxInt, math.MaxInt).Tokens)
	require.Zero(t, ask(l, now, math.MaxInt, math.MinInt).Tokens)
	require.Equal(t, all, ask(l, now, math.MaxInt, math.MaxInt).Tokens, "no more is returned than was lent")
	req := gw.QuotaRequest{Host: "nobody"}
	for range 100 * maxAsks {
		req.Asks = append(req.Asks, gw.QuotaAsk{Tenant: "a", Tokens: 1})
		req.Claims = append(req.Claims, "b")
		req.Handovers = append(req.Handovers, gw.QuotaHandover{Tenant: "a", Tokens: math.NaN()},
			gw.QuotaHandover{Tenant: "b", Tokens: math.Inf(1)})
	}
	reply := l.Answer(now, req)
	require.Len(t, reply.Grants, maxAsks)
	require.Empty(t, reply.Claimed)
	require.Len(t, l.buckets, 1)
	require.Len(t, l.contacts.hosts, 1)
	share := NewShare()
	share.Answer(now, now, gw.QuotaGrant{Tenant: "a", Tokens: -5, WaitMilliseconds: math.MaxInt64})
	v, retry := share.Take(now, "a", now)
	require.Equal(t, Refused, v)
	require.LessOrEqual(t, retry.Sub(now), maxWait)
}

// Guards against tokens that are used after their deadline, and against unused ones that are lost.
func TestUnusedTokensAreReturned(t *testing.T) {
	now := time.Now()
	s := NewShare()
	v, _ := s.Take(now, "a", now.Add(admitTimeout))
	require.Equal(t, Waiting, v)
	wanted, ok := s.Ask(now, "a")
	require.True(t, ok)
	s.Answer(now, now, gw.QuotaGrant{Tenant: "a", Tokens: wanted.Tokens + 2})
	v, _ = s.TakeWaiting(now, "a", now.Add(admitTimeout))
	require.Equal(t, Admitted, v)
	now = now.Add(loanLife)
	v, _ = s.Take(now, "a", now.Add(admitTimeout))
	require.Equal(t, Waiting, v)
	wanted, ok = s.Ask(now, "a")
	require.True(t, ok)
	require.Equal(t, 2, wanted.Returned)
}

// Guards against a quota that does not bind after it was lowered, or that refuses requests when it is introduced.
func TestQuotaThatChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tenant := gw.Tenant{Name: "a", QuotaPerSecond: 200, QuotaBurst: 100}
		c := newCluster(t, 20, 1)
		time.Sleep(5 * time.Second)
		c.setTenants(tenant)
		c.load(tenant, 10*time.Second, 1, steady(150), c.names())
		require.LessOrEqual(t, c.refused["a"], 5)
		tenant.QuotaPerSecond, tenant.QuotaBurst = 20, 10
		c.setTenants(tenant)
		c.load(tenant, 5*time.Second, 1, steady(150), c.names())
		c.mu.Lock()
		c.admitted["a"] = nil
		c.mu.Unlock()
		c.load(tenant, 10*time.Second, 1, steady(150), c.names())
		c.close()
		t.Logf("fullest 5 s %d", c.checkRule(tenant))
	})
}

// Guards against a long time without tokens after all hosts have started together.
func TestAllHostsStartTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 20, 1, failing)
		time.Sleep(time.Second)
		c.load(failing, 5*time.Second, 1, steady(0.8*failing.QuotaPerSecond), c.names())
		c.close()
		t.Logf("admitted %d, refused %d", len(c.admitted["a"]), c.refused["a"])
		require.LessOrEqual(t, c.refused["a"], 5)
	})
}
