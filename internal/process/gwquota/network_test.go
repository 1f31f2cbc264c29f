package gwquota

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwpeer"
)

type quotaHandler struct {
	gwpeer.Handler
	loop *Loop
}

func (h quotaHandler) ShareQuota(ctx context.Context, req gw.QuotaRequest) (gw.QuotaReply, error) {
	return h.loop.ShareQuota(ctx, req)
}

// Guards against hosts that agree in memory and not over the network.
func TestHostsShareAQuotaOverTheNetwork(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	var hosts []gw.HostEntry
	var listeners []net.Listener
	var loops []*Loop
	for i := range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, listener)
		hosts = append(hosts, gw.HostEntry{
			Name: gw.HostName(fmt.Sprintf("h%d", i)), DataCentre: "dc0", PeerAddress: listener.Addr().String(),
		})
	}
	for i, h := range hosts {
		client := gwpeer.NewClient()
		defer func() { require.NoError(t, client.Close()) }()
		loop := New(h, WithPeer(client), WithListing(func() (gw.Listing, uint64) { return gw.Listing{Hosts: hosts}, 1 }))
		loop.SetConfig(gw.Config{Tenants: []gw.Tenant{failing}})
		loops = append(loops, loop)
		server := gwpeer.NewServer(quotaHandler{loop: loop})
		go func() { ended <- server.Serve(ctx, listeners[i]) }()
		go func() { ended <- loop.Run(ctx) }()
	}
	admitted := func(loop *Loop) bool {
		_, refusal := loop.Admit(ctx, failing)
		return refusal == nil
	}
	require.Eventually(t, func() bool { return admitted(loops[0]) }, 10*time.Second, 10*time.Millisecond)
	for _, loop := range loops {
		require.Eventually(t, func() bool { return admitted(loop) }, 5*time.Second, 10*time.Millisecond)
	}
	cancel()
	for range 2 * len(hosts) {
		require.NoError(t, <-ended)
	}
}
