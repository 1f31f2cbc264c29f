package gwrelay_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
	"github.com/geraniumworks/geraniumworks/internal/request/gwrelay"
)

// loadReportingServers is a protocol in which every answer reports a load.
type loadReportingServers struct{ gwforward.NativeServers }

func (s loadReportingServers) Decode(a gw.Attempt, sent http.Header, answer *http.Response) gw.ServerHead {
	head := s.NativeServers.Decode(a, sent, answer)
	head.Load = &gw.ServerUtilization{Running: 2, Slots: 4, WorkPercent: 300}
	return head
}

// Guards against a load that a server reports, in an answer or in a refusal, and that its dispatcher does not get.
func TestReportedLoadReachesDispatcher(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if status != http.StatusOK {
				w.Header().Set(gw.HeaderOutcome, string(gw.OutcomeNotRun))
			}
			w.WriteHeader(status)
		}))
		d := &singleServerDispatcher{server: gw.DispatchServer{Name: "s1", Address: s.Listener.Addr().String(), Slots: 4}}
		cfg := gw.Config{Version: 1, Tenants: []gw.Tenant{{Name: "harbour"}}, Services: []gw.Service{{Name: "lookups"}}}
		relay := gwrelay.New(gwrelay.WithConfig(func() gw.Config { return cfg }), gwrelay.WithDispatcher(d),
			gwrelay.WithForwarder(gwforward.New(gwforward.WithServerProtocol(loadReportingServers{}))))
		relay.ServeHTTP(httptest.NewRecorder(), relayRequest("x"))
		require.Eventually(t, func() bool {
			d.mu.Lock()
			defer d.mu.Unlock()
			return len(d.results) == 1
		}, time.Second, time.Millisecond)
		require.Equal(t, &gw.ServerUtilization{Running: 2, Slots: 4, WorkPercent: 300}, d.results[0].Load, status)
		s.Close()
	}
}
