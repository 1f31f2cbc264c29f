package gwahead_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/geraniumworks/geraniumworks/internal/connection/gwahead"
)

// serve runs an HTTP server whose handler calls handle with the context that also ends when the caller has left, and
// returns its address.
func serve(t *testing.T, handle func(context.Context, http.ResponseWriter, *http.Request)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{
		ReadHeaderTimeout: time.Second, ConnContext: gwahead.WithConn,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := gwahead.WhenLeft(r.Context())
			defer cancel()
			handle(ctx, w, r)
		}),
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(gwahead.Listener{Listener: listener}) }()
	t.Cleanup(func() {
		require.NoError(t, server.Close())
		require.ErrorIs(t, <-ended, http.ErrServerClosed)
	})
	return listener.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return conn
}

const request = "GET /%d HTTP/1.1\r\nHost: x\r\n\r\n"

// Guards against servers that go on with a request whose caller has left, because it had sent a further one: GONE on
// trouble-2 of zverak-hire.
func TestCallerThatSentAheadAndLeaves(t *testing.T) {
	for name, further := range map[string]int{"no further request": 0, "one further request": 1, "many": 300} {
		t.Run(name, func(t *testing.T) {
			started, left := make(chan struct{}), make(chan struct{})
			address := serve(t, func(ctx context.Context, _ http.ResponseWriter, _ *http.Request) {
				close(started)
				<-ctx.Done()
				close(left)
			})
			conn := dial(t, address)
			_, err := fmt.Fprintf(conn, request, 0)
			require.NoError(t, err)
			<-started
			for i := range further {
				_, err := fmt.Fprintf(conn, request, i+1)
				require.NoError(t, err)
			}
			time.Sleep(50 * time.Millisecond)
			require.NoError(t, conn.Close())
			select {
			case <-left:
			case <-time.After(3 * time.Second):
				t.Fatal("the request goes on")
			}
		})
	}
}

// Guards against requests that are lost, cut or answered out of order because they were read ahead, in pieces and beyond
// what is read ahead, and against a connection that stays unusable after a timeout of net/http.
func TestRequestsSentAheadAreAnsweredInOrder(t *testing.T) {
	address := serve(t, func(_ context.Context, w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Millisecond)
		body, err := io.ReadAll(r.Body)
		if err == nil {
			_, _ = fmt.Fprintf(w, "%s %s", r.URL.Path, body)
		}
	})
	conn := dial(t, address)
	const n = 500
	go func() {
		for i := range n {
			head := fmt.Sprintf(request, i)
			if i%7 == 0 {
				head = fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: x\r\nContent-Length: 3000\r\n\r\n%s", i, strings.Repeat("b", 3000))
			}
			for len(head) > 0 {
				piece := head[:min(len(head), 1+(i*13)%977)]
				head = head[len(piece):]
				if _, err := io.WriteString(conn, piece); err != nil {
					return
				}
			}
			if i%50 == 0 {
				time.Sleep(20 * time.Millisecond)
			}
		}
	}()
	r := bufio.NewReader(conn)
	for i := range n {
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err, i)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		want := fmt.Sprintf("/%d ", i)
		if i%7 == 0 {
			want += strings.Repeat("b", 3000)
		}
		require.Equal(t, want, string(body))
	}
	time.Sleep(100 * time.Millisecond)
	_, err := fmt.Fprintf(conn, request, n)
	require.NoError(t, err)
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NoError(t, resp.Body.Close())
}
