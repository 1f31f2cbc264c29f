package gwrelay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
	"github.com/geraniumworks/geraniumworks/internal/request/gwrelay"
)

// Guards against a request that an entry host sends and the dispatcher's host refuses, or takes for another one,
// because of what a name or a time in it is.
func TestRelayReadsWhatEntryHostsSend(t *testing.T) {
	names := []string{
		"lookups", "vessel lookups", "opvragen-ë", " lookups", "lookups\t", "look\nups", "\"lookups\"", "a%20b",
	}
	hours := []time.Duration{time.Second, 25 * time.Hour, 400 * 24 * time.Hour}
	for _, name := range names {
		for _, left := range hours {
			relay, d := namedRelay(t, name)
			server := httptest.NewServer(relay)
			now := time.Now()
			req := &gwforward.Request{
				ID: "id", CallerID: "caller", Tenant: gw.TenantName(name), Repeatable: true, Relay: true, Connections: 1,
				Address: server.Listener.Addr().String(), Method: http.MethodGet, URL: &url.URL{Path: "/"}, Host: "registry",
				Deadline: now.Add(left), Objective: now.Add(-left), Priority: 1 << 30,
				Class: gw.CostClass("GET 1 " + name),
				Target: gw.Target{
					Service: gw.ServiceName(name), Server: gw.ServerName(name), HasKey: true, Position: ^gw.Position(0),
					Token: ^gw.Revision(0),
				},
			}
			ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
			_, failed := gwforward.New().Send(ctx, req)
			cancel()
			server.Close()
			require.NotNil(t, failed)
			require.Len(t, d.asked, 1, "name %q, %s left: %+v", name, left, failed)
			asked := d.asked[0]
			require.Equal(t, req.Target.Service, asked.Service)
			require.Equal(t, req.Target.Server, asked.Server)
			require.Equal(t, req.Tenant, asked.Tenant)
			require.Equal(t, req.Target.Position, asked.Position)
			require.Equal(t, req.Target.Token, asked.Token)
			require.Equal(t, req.Priority, asked.Priority)
			require.Equal(t, req.Class, asked.Class)
			const longest = gwforward.MaxTimeoutMilliseconds * time.Millisecond
			require.WithinDuration(t, now.Add(min(left, longest)), asked.Deadline, 200*time.Millisecond)
			require.WithinDuration(t, now.Add(-min(left, longest)), asked.Objective, 200*time.Millisecond)
		}
	}
}

// refusingDispatcher refuses all requests for want of a server.
type refusingDispatcher struct {
	gw.Dispatcher
	asked []gw.SlotRequest
}

func (d *refusingDispatcher) Acquire(_ context.Context, req gw.SlotRequest) (gw.Slot, *gw.Refusal) {
	d.asked = append(d.asked, req)
	return nil, gw.Refuse(gw.ReasonNoServer, "no server")
}

// namedRelay returns a relay whose service and tenant have a name.
func namedRelay(t *testing.T, name string) (*gwrelay.Relay, *refusingDispatcher) {
	t.Helper()
	d := &refusingDispatcher{}
	cfg := gw.Config{
		Version: 1, Tenants: []gw.Tenant{{Name: gw.TenantName(name)}}, Services: []gw.Service{{Name: gw.ServiceName(name)}},
	}
	return gwrelay.New(
		gwrelay.WithConfig(func() gw.Config { return cfg }), gwrelay.WithDispatcher(d), gwrelay.WithRegion("holland"),
	), d
}
