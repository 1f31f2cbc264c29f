package gwrelay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
	"github.com/geraniumworks/geraniumworks/internal/request/gwrelay"
)

// switchableReach is a gw.Reach that a test cuts off.
type switchableReach struct {
	gw.Reach
	cut atomic.Bool
}

func (r *switchableReach) CutOff() bool    { return r.cut.Load() }
func (r *switchableReach) Answered(string) {}

// Guards against an entry host that does not learn the expected wait from an answer or a refusal, and against headers
// that change for a service that is not cost-aware.
func TestExpectedWaitReachesEntryHost(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(5 * time.Millisecond)
		w.WriteHeader(http.StatusOK)
	}))
	defer server.Close()
	d := &singleServerDispatcher{server: gw.DispatchServer{Name: "s1", Address: server.Listener.Addr().String(), Slots: 4}}
	for _, aware := range []bool{false, true} {
		cfg := gw.Config{
			Version: 1, Tenants: []gw.Tenant{{Name: "harbour"}},
			Services: []gw.Service{{Name: "lookups", CostAware: aware}},
		}
		cutOff := &switchableReach{}
		relay := httptest.NewServer(gwrelay.New(gwrelay.WithConfig(func() gw.Config { return cfg }),
			gwrelay.WithDispatcher(d), gwrelay.WithReach(cutOff),
			gwrelay.WithWait(func(gw.ServiceName, gw.ServerName) (time.Duration, bool) {
				return 120 * time.Millisecond, true
			})))
		defer relay.Close()
		req := &gwforward.Request{
			ID: "1", Tenant: "harbour", Target: gw.Target{Service: "lookups", Server: "s1"},
			Deadline: time.Now().Add(time.Second), Method: http.MethodGet, URL: &url.URL{Path: "/"},
			Address: relay.Listener.Addr().String(), Connections: 1, Relay: true,
		}
		answer, failed := gwforward.New().Send(context.Background(), req)
		require.Nil(t, failed)
		cutOff.cut.Store(true)
		_, failed = gwforward.New().Send(context.Background(), req)
		require.Equal(t, gw.ReasonNoServer, failed.Reason)
		if !aware {
			require.Nil(t, answer.Report)
			require.Nil(t, failed.Report)
			continue
		}
		require.Equal(t, 120*time.Millisecond, answer.Report.Wait)
		require.GreaterOrEqual(t, answer.Report.Served, 5*time.Millisecond)
		require.Equal(t, 120*time.Millisecond, failed.Report.Wait)
		require.Zero(t, failed.Report.Served)
	}
}
