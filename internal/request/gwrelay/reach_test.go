package gwrelay_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwpool"
	"github.com/geraniumworks/geraniumworks/internal/process/gwreach"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
	"github.com/geraniumworks/geraniumworks/internal/request/gwrelay"
)

// namedServers is a dispatcher that gives each request a slot of the server that it asks for.
type namedServers struct {
	singleServerDispatcher
	address string
}

func (d *namedServers) Acquire(_ context.Context, req gw.SlotRequest) (gw.Slot, *gw.Refusal) {
	slot := &singleServerDispatcher{server: gw.DispatchServer{
		Name: req.Server, Address: d.address, Slots: 4, Connections: 50,
	}}
	return slot, nil
}

// Guards against a host that is cut off from all servers and lets each request wait for a connection until its time is
// used up, although another host could send it.
func TestHostCutOffFromServersRefusesAtOnce(t *testing.T) {
	t.Parallel()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(gw.HeaderRequestID, r.Header.Get(gw.HeaderRequestID))
	}))
	t.Cleanup(server.Close)
	var cut atomic.Bool
	cut.Store(true)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if cut.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	pool := gwpool.New(gwpool.WithDial(dial), gwpool.WithDialMilliseconds(300))
	cfg := gw.Config{
		Version: 1, Tenants: []gw.Tenant{{Name: "harbour"}}, Services: []gw.Service{{Name: "lookups"}},
	}
	reach := gwreach.New(gwreach.WithDial(dial))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- reach.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})
	relay := gwrelay.New(
		gwrelay.WithConfig(func() gw.Config { return cfg }), gwrelay.WithRegion("holland"),
		gwrelay.WithDispatcher(&namedServers{address: server.Listener.Addr().String()}),
		gwrelay.WithForwarder(gwforward.New(gwforward.WithPool(pool))), gwrelay.WithReach(reach),
	)
	send := func(n int) int {
		w := httptest.NewRecorder()
		relay.ServeHTTP(w, relayRequest("", gw.HeaderServer, "", gw.HeaderServer, "s"+strconv.Itoa(n)))
		return w.Code
	}
	for n := range 3 {
		require.Equal(t, http.StatusServiceUnavailable, send(n))
	}
	require.Eventually(t, reach.CutOff, 300*time.Millisecond, time.Millisecond, "a suspicion is checked at once")
	begin := time.Now()
	require.Equal(t, http.StatusServiceUnavailable, send(4))
	require.Less(t, time.Since(begin), 100*time.Millisecond, "the host knows that it reaches no server")
	cut.Store(false)
	require.Eventually(t, func() bool { return send(5) == http.StatusOK }, time.Second, 10*time.Millisecond)
}
