package gwforward_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
)

const (
	// readDelay is the time from the arrival of bytes until a host without processor time reads them.
	readDelay    = 150 * time.Millisecond
	stopTimeout  = 5 * time.Second
	arrivalPause = 30 * time.Millisecond
)

// slowListener returns connections whose reads return late.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return slowConn{conn}, err
}

type slowConn struct{ net.Conn }

func (c slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		time.Sleep(readDelay)
	}
	return n, err
}

// Guards against a stop that closes the connection of a request which has arrived and was not read yet, without an
// answer: on a new connection, and on one that has been used before.
func TestStopDropsUnreadRequests(t *testing.T) {
	for _, used := range []bool{false, true} {
		t.Run(fmt.Sprintf("used %v", used), func(t *testing.T) {
			var gate gwforward.Gate
			server := gwforward.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if !gate.Enter() {
					w.Header().Set("Connection", "close")
					gwforward.WriteRefusal(w, gwforward.NativeCallers{}, gw.Refuse(gw.ReasonStopping, "stopping"))
					return
				}
				gate.Leave()
			}), 1<<10)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			ended := make(chan error, 1)
			go func() { ended <- server.Serve(slowListener{listener}) }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			exchange := func() (*http.Response, error) {
				_, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
				require.NoError(t, err)
				time.Sleep(arrivalPause)
				return http.ReadResponse(reader, nil)
			}
			if used {
				resp, err := exchange()
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				require.Equal(t, http.StatusOK, resp.StatusCode)
			}
			gate.Stop()
			stopped := make(chan error, 1)
			time.AfterFunc(arrivalPause, func() {
				ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
				defer cancel()
				gwforward.StopAccepting(ctx, listener)
				stopped <- server.Shutdown(ctx)
			})
			resp, err := exchange()
			require.NoError(t, err, "the request got no answer")
			require.NoError(t, resp.Body.Close())
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.True(t, resp.Close)
			require.NoError(t, <-stopped)
			require.ErrorIs(t, <-ended, net.ErrClosed)
		})
	}
}
