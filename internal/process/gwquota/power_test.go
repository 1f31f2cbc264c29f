package gwquota

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a long time without tokens after all hosts have lost power together. They start within half a second,
// and for a second their messages are late, since each of them has little processor time beside its callers.
func TestAllHostsLosePower(t *testing.T) {
	for _, slow := range []time.Duration{0, 150 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 40, 1, failing)
			time.Sleep(5 * time.Second)
			var back time.Time
			c.requests.Go(func() {
				time.Sleep(6 * time.Second)
				for _, e := range c.entries {
					c.kill(e.Name)
				}
				time.Sleep(2 * time.Second)
				back = time.Now()
				for i, e := range c.entries {
					c.requests.Go(func() {
						time.Sleep(500 * time.Millisecond * time.Duration(i) / 40)
						c.start(e)
					})
				}
				c.setSlow(slow)
				time.Sleep(1500 * time.Millisecond)
				c.setSlow(0)
			})
			c.load(failing, 15*time.Second, 1, steady(0.8*failing.QuotaPerSecond), c.names())
			c.close()
			c.checkRule(failing)
			soon := 0
			for _, at := range c.admitted["a"] {
				if after := at.Sub(back); after >= 0 && after < 2*time.Second {
					soon++
				}
			}
			t.Logf("messages late by %s: %d admitted in 2 s, refused %d", slow, soon, c.refused["a"])
			// 96 are asked for in 2 s, about 12 of them at hosts that have not started.
			require.GreaterOrEqual(t, soon, 40)
		})
	}
}

func (c *cluster) setSlow(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slow = d
}
