package gwentry_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/standin/gwbroken"
)

// Guards against an answer that does not follow HTTP and reaches the caller as one, or leaves its connection in the
// pool. It comes from a server, from a server behind a relay, or from the relay itself.
func TestBrokenAnswersDoNotReachCallers(t *testing.T) {
	forms, err := gwbroken.Forms()
	require.NoError(t, err)
	for _, hop := range []string{"local", "behind-relay", "relay"} {
		for _, form := range forms {
			t.Run(hop+"/"+form.Name, func(t *testing.T) {
				t.Parallel()
				fields := "Gw-Request-Id: {id}\r\n"
				if hop == "relay" {
					fields += "Gw-Outcome: answered\r\n"
				}
				server, err := gwbroken.Start(form.Write(gwbroken.Answer{
					Status: "200 OK", Fields: fields, Body: "whole body",
				}), gw.HeaderRequestID)
				require.NoError(t, err)
				t.Cleanup(func() { require.NoError(t, server.Close()) })
				s := setup{local: hop == "local", servers: map[gw.ServerName]string{"s1": server.Address()}}
				if hop == "relay" {
					s.relay = server.Address()
				}
				sys := newSystem(t, s)
				got := sys.do("POST", "/claims/1", nil)
				require.NoError(t, got.err)
				require.Equal(t, int64(1), server.Served(), "the request must not be sent again")
				if form.Name == gwbroken.Sound {
					require.Equal(t, 200, got.status)
					require.Equal(t, "whole body", string(got.body))
				} else {
					require.Equal(t, 502, got.status)
					require.Equal(t, gw.ReasonBadAnswer, got.reason())
				}
				eventually(t, func() bool { return sys.pool.Open(server.Address()) == 0 }, "the connection stays open")
			})
		}
	}
}
