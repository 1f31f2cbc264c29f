package gwentry_test

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwentry"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
)

func digestOf(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// requireKeys makes a configuration require keys. Route names is public.
func requireKeys(cfg *gw.Config) {
	cfg.KeysRequired = true
	cfg.Tenants = []gw.Tenant{
		{Name: "harbour"},
		{Name: "first", KeyDigests: []string{"", "not hexadecimal", digestOf("key-1"), digestOf("key-2")}},
		{Name: "second", KeyDigests: []string{digestOf("key-3"), digestOf("key-1")}},
	}
	cfg.Routes[0].Public = true
	cfg.Routes[0].Service = "claims"
}

// Guards against a request that is served without a known key, as a tenant that the caller only claims to be, or as
// another tenant than that of its key, and against a key that reaches a server or a log line.
func TestCallersAreKnownByTheirKeys(t *testing.T) {
	viaRelayAndLocal(t, func(t *testing.T, local bool) {
		var got http.Header
		server := echoServer(t, func(_ http.ResponseWriter, r *http.Request) { got = r.Header })
		var log bytes.Buffer
		sys := newSystem(t, setup{
			servers: map[gw.ServerName]string{"s1": server}, local: local, configure: requireKeys,
			log: slog.New(slog.NewJSONHandler(&log, nil)),
		})
		for _, c := range []struct {
			path, credential string
			tenant           string
			reason           gw.Reason
		}{
			{"/claims", "", "", gw.ReasonUnauthenticated},
			{"/claims", "Bearer", "", gw.ReasonUnauthenticated},
			{"/claims", "Bearer key-4", "", gw.ReasonUnauthenticated},
			{"/claims", "Basic key-1", "", gw.ReasonUnauthenticated},
			{"/claims", "Bearer " + digestOf("key-1"), "", gw.ReasonUnauthenticated},
			{"/claims", "Bearer key-1", "first", ""},
			{"/claims", "bearer  key-2", "first", ""},
			{"/claims", "Bearer key-3", "second", ""},
			{"/names", "", "harbour", ""},
			{"/names", "Bearer key-4", "harbour", ""},
			{"/names", "Bearer key-3", "second", ""},
		} {
			got = nil
			answer := sys.do("GET", c.path, nil, "Authorization", c.credential, "X-Other", "kept")
			require.Equal(t, c.reason, answer.reason(), c)
			if c.reason != "" {
				require.Nil(t, got, c)
				require.Equal(t, http.StatusUnauthorized, answer.status)
				require.Equal(t, gw.OutcomeNotRun, answer.outcome())
				require.Equal(t, "Bearer", answer.header.Get("WWW-Authenticate"))
				continue
			}
			require.Equal(t, http.StatusOK, answer.status, c)
			require.Equal(t, c.tenant, got.Get(gw.HeaderTenant), c)
			require.Empty(t, got["Authorization"], c)
			require.Equal(t, "kept", got.Get("X-Other"))
		}
		claimed := sys.do("GET", "/names", nil, gw.HeaderTenant, "first")
		require.Equal(t, gw.ReasonUnknownTenant, claimed.reason(), "the caller has no key of the tenant")
		require.NotRegexp(t, `key-[0-9]`, log.String())
	})
}

// Guards against a deployment without keys whose requests lose a header that its servers read.
func TestCredentialsPassUnchangedWithoutKeys(t *testing.T) {
	viaRelayAndLocal(t, func(t *testing.T, local bool) {
		var got http.Header
		server := echoServer(t, func(_ http.ResponseWriter, r *http.Request) { got = r.Header })
		sys := newSystem(t, setup{servers: map[gw.ServerName]string{"s1": server}, local: local})
		require.Equal(t, http.StatusOK, sys.do("GET", "/claims", nil, "Authorization", "Bearer key-1").status)
		require.Equal(t, []string{"Bearer key-1"}, got["Authorization"])
	})
}

// Guards against a 401 that no configuration justifies.
func TestHostWithoutConfigurationAnswers503(t *testing.T) {
	entry := gwentry.New(gwentry.WithConfig(func() gw.Config { return gw.Config{} }))
	w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/claims", nil)
	r.Header.Set("Authorization", "Bearer key-1")
	entry.ServeHTTP(w, r)
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
}

// Guards against a pipelined request that is begun without a key, or whose key reaches the server.
func TestPipelinedRequestsNeedKeys(t *testing.T) {
	keys := make(chan string, 3)
	server := echoServer(t, func(w http.ResponseWriter, r *http.Request) {
		keys <- r.Header.Get("Authorization") + r.Header.Get(gw.HeaderTenant)
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, r.URL.Path)
	})
	sys := newSystem(t, setup{servers: map[gw.ServerName]string{"s1": server}, local: true, configure: requireKeys})
	conn := sys.dialTo(t)
	const request = "GET /claims/%d HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-%d\r\n\r\n"
	_, err := fmt.Fprintf(conn, request+request+request, 1, 1, 2, 9, 3, 3)
	require.NoError(t, err)
	s := pipelineScene{reader: bufio.NewReader(conn)}
	require.Equal(t, http.StatusOK, s.read(t).status)
	require.Equal(t, http.StatusUnauthorized, s.read(t).status)
	require.Equal(t, "/claims/3", s.read(t).body)
	require.ElementsMatch(t, []string{"first", "second"}, []string{<-keys, <-keys})
	require.Empty(t, keys)
}

// Guards against a tenant's priority that is lost on the way to the dispatcher, and against a route's priority that is
// changed where keys are not required.
func TestTenantPriorityReachesDispatcher(t *testing.T) {
	viaRelayAndLocal(t, func(t *testing.T, local bool) {
		for _, required := range []bool{true, false} {
			server := echoServer(t, func(http.ResponseWriter, *http.Request) {})
			sys := newSystem(t, setup{
				servers: map[gw.ServerName]string{"s1": server}, local: local, configure: func(cfg *gw.Config) {
					requireKeys(cfg)
					cfg.KeysRequired, cfg.Tenants[1].Priority, cfg.Routes[1].Priority = required, 3, 4
				},
			})
			require.Equal(t, http.StatusOK, sys.do("GET", "/claims", nil, "Authorization", "Bearer key-1").status)
			want := 4
			if required {
				want = gw.CombinePriorities(3, 4)
			}
			require.Equal(t, want, sys.dispatcher.asked[0].Priority)
		}
	})
}

// Guards against a request that may be served in regions that either its tenant or its route excludes, and against one
// that is refused although a home region can serve it from a host elsewhere. The host stands in holland.
func TestRegionsOfTenantAndRouteBothApply(t *testing.T) {
	for _, c := range []struct {
		tenant, route, want []gw.RegionName
		reason              gw.Reason
	}{
		{nil, nil, nil, ""},
		{[]gw.RegionName{"friesland"}, nil, []gw.RegionName{"friesland"}, ""},
		{nil, []gw.RegionName{"friesland"}, []gw.RegionName{"friesland"}, ""},
		{[]gw.RegionName{"holland", "a, b"}, []gw.RegionName{"a, b", "x"}, []gw.RegionName{"a, b"}, ""},
		{[]gw.RegionName{"friesland"}, []gw.RegionName{"holland"}, nil, gw.ReasonWrongRegion},
	} {
		var regions []string
		relay := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			regions = r.Header[gw.HeaderRegions]
			w.Header().Set(gw.HeaderRequestID, r.Header.Get(gw.HeaderRequestID))
			w.Header().Set(gw.HeaderOutcome, string(gw.OutcomeAnswered))
		}))
		t.Cleanup(relay.Close)
		sys := newSystem(t, setup{
			servers: map[gw.ServerName]string{"s1": ""}, relay: relay.Listener.Addr().String(),
			configure: func(cfg *gw.Config) {
				requireKeys(cfg)
				cfg.Tenants[1].HomeRegions, cfg.Routes[1].HomeRegions = c.tenant, c.route
			},
		})
		answer := sys.do("GET", "/claims", nil, "Authorization", "Bearer key-1")
		require.Equal(t, c.reason, answer.reason(), c)
		if c.reason != "" {
			require.Empty(t, sys.router.calls)
			continue
		}
		for _, req := range sys.router.calls[len(sys.router.calls)-1:] {
			if len(c.want) > 0 {
				require.Equal(t, c.want, req.HomeRegions)
			}
		}
		if len(c.want) == 0 {
			require.Empty(t, regions)
			continue
		}
		got, ok := gwforward.DecodeRegions(regions[0])
		require.True(t, ok)
		require.Equal(t, c.want, got)
	}
}
