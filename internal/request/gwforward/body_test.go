package gwforward_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwpool"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
)

// lateWrite is how late a write returns at a host without processor time.
const lateWrite = 50 * time.Millisecond

// lateConn delivers at once what is written, and reports it late.
type lateConn struct{ net.Conn }

func (c lateConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	time.Sleep(lateWrite)
	return n, err
}

// Guards against a second attempt that sends a body without its beginning, because the first attempt, which was refused
// before it had read any of the body, still read from it afterwards.
func TestRefusedAttemptReadsBody(t *testing.T) {
	refuse := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set(gw.HeaderRequestID, r.Header.Get(gw.HeaderRequestID))
		h.Set(gw.HeaderOutcome, string(gw.OutcomeNotRun))
		h.Set(gw.HeaderReason, string(gw.ReasonNoServer))
		h.Set("Connection", "close")
		w.WriteHeader(gw.ReasonNoServer.Status())
	}))
	defer refuse.Close()
	count := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(gw.HeaderRequestID, r.Header.Get(gw.HeaderRequestID))
		_, _ = io.WriteString(w, strconv.FormatInt(n, 10))
	}))
	defer count.Close()
	pool := gwpool.New(gwpool.WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		if err == nil && address == refuse.Listener.Addr().String() {
			conn = lateConn{conn}
		}
		return conn, err
	}))
	defer pool.Close()
	forwarder := gwforward.New(gwforward.WithPool(pool))
	const size = 100_000
	for _, length := range []int64{size, -1} {
		t.Run(strconv.FormatInt(length, 10), func(t *testing.T) {
			body := gwforward.Streamed(strings.NewReader(strings.Repeat("x", size)), length, size, false)
			request := func(address string, relay bool) *gwforward.Request {
				return &gwforward.Request{
					ID: address, Method: http.MethodPost, URL: &url.URL{Path: "/"}, Body: body,
					Deadline: time.Now().Add(5 * time.Second), Address: address, Connections: 1, Relay: relay,
				}
			}
			_, failed := forwarder.Send(t.Context(), request(refuse.Listener.Addr().String(), true))
			require.NotNil(t, failed)
			require.Equal(t, gw.ReasonNoServer, failed.Reason, failed.Detail)
			require.True(t, body.Replayable())
			time.Sleep(2 * lateWrite)
			answer, failed := forwarder.Send(t.Context(), request(count.Listener.Addr().String(), false))
			require.Nil(t, failed)
			w := httptest.NewRecorder()
			require.NoError(t, answer.Write(w, gwforward.NativeCallers{}))
			require.Equal(t, strconv.Itoa(size), w.Body.String(), "bytes of the body that the second server got")
		})
	}
}
