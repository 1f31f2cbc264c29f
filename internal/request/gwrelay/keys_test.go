package gwrelay_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
	"github.com/geraniumworks/geraniumworks/internal/request/gwrelay"
)

// Guards against a key that an entry host with an earlier configuration passes on, and that reaches a server, and
// against one that is removed although no keys are required.
func TestRelayRemovesCredentials(t *testing.T) {
	var got http.Header
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.Header
		w.Header().Set(gw.HeaderRequestID, r.Header.Get(gw.HeaderRequestID))
	}))
	t.Cleanup(s.Close)
	for _, required := range []bool{true, false} {
		cfg := gw.Config{
			Version: 1, Tenants: []gw.Tenant{{Name: "harbour"}}, KeysRequired: required,
			Services: []gw.Service{{Name: "lookups", Limits: gw.ServiceLimits{BodyBytes: 100}}},
		}
		relay := gwrelay.New(gwrelay.WithConfig(func() gw.Config { return cfg }),
			gwrelay.WithDispatcher(&singleServerDispatcher{server: gw.DispatchServer{
				Name: "s1", Address: s.Listener.Addr().String(), Slots: 4, Connections: 2,
			}}), gwrelay.WithCallerProtocol(gwforward.NativeCallers{}))
		w := httptest.NewRecorder()
		relay.ServeHTTP(w, relayRequest("x", "Authorization", "Bearer key-1"))
		require.Equal(t, http.StatusOK, w.Code)
		require.Equal(t, required, got.Get("Authorization") == "")
		require.Equal(t, "harbour", got.Get(gw.HeaderTenant))
	}
}

// Guards against a body that is read by a host in a region that the tenant or the route of the request excludes.
func TestRelayEnforcesRegionsOfTenantAndRoute(t *testing.T) {
	relay, _, _ := newRelay(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(gw.HeaderRequestID, r.Header.Get(gw.HeaderRequestID))
	})
	for regions, reason := range map[string]gw.Reason{
		"holland": "", "friesland,holland": "", "friesland": gw.ReasonWrongRegion, "%": gw.ReasonBadRequest,
	} {
		w := httptest.NewRecorder()
		relay.ServeHTTP(w, relayRequest("x", gw.HeaderRegions, regions))
		require.Equal(t, string(reason), w.Header().Get(gw.HeaderReason), regions)
	}
}
