package gwpipeline

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var discard = slog.New(slog.DiscardHandler)

// readerConn is a connection that only reads.
type readerConn struct {
	net.Conn
	r io.Reader
}

func (c readerConn) Read(p []byte) (int, error) { return c.r.Read(p) }

func (readerConn) Close() error { return nil }

// Guards against a budget that does not see what a connection holds, or keeps counting it afterwards: a body in memory,
// and the head of a request that is worked on.
func TestBudgetCountsARequestUntilItsEnd(t *testing.T) {
	const body = 100 << 10
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	budget := NewBudget(Limits{Bytes: 1 << 20, HeaderBytes: 32 << 10, Connections: 10}, discard, nil)
	held := make(chan int64, 1)
	server := &http.Server{
		ReadHeaderTimeout: time.Second, ConnContext: WithConn,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			ctx, turn := Begin(r.Context())
			defer turn.End()
			HoldBody(ctx, body)
			n, _ := budget.Held()
			held <- n
		}),
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(Listener{Listener: listener, Budget: budget}) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	for range 3 {
		_, err = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: x\r\n%s\r\n", strings.Repeat("a:\r\n", 300))
		require.NoError(t, err)
		n := <-held
		require.Greater(t, n, int64(body+300*250))
		require.Less(t, n, int64(body+300*250+64<<10))
		require.Eventually(t, func() bool {
			n, connections := budget.Held()
			return n <= 16<<10+reportBytes && connections == 1
		}, 3*time.Second, time.Millisecond)
	}
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { n, _ := budget.Held(); return n == 0 }, 3*time.Second, time.Millisecond)
	require.NoError(t, server.Close())
	require.ErrorIs(t, <-ended, http.ErrServerClosed)
}
