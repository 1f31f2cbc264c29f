package gwstore_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwstore"
	"github.com/geraniumworks/geraniumworks/internal/standin/gwfakes"
)

// rawStore accepts connections and passes each request to answer with its number, counted over all
// connections. The connection is closed when answer returns false.
func rawStore(t *testing.T, answer func(n int64, r *http.Request, conn net.Conn) bool) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var requests atomic.Int64
	go gwfakes.ServeConns(l, func(conn net.Conn, in *bufio.Reader) {
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil || !answer(requests.Add(1), r, conn) {
				return
			}
		}
	})
	return l.Addr().String(), &requests
}

func reply(conn net.Conn, status, headers, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
	return err == nil
}

func connectTo(t *testing.T, addresses ...string) *gwstore.Store {
	t.Helper()
	f := fixture{address: addresses[0], registry: prometheus.NewRegistry()}
	store, err := f.connect(gwstore.WithEndpoints(addresses[1:]...))
	require.NoError(t, err)
	t.Cleanup(store.Close)
	return store
}

// Guards against a transport that sends a write again: on a reused connection that the store closes without an
// answer, after a redirect, or when the answer is not the store's.
func TestWriteIsSentOnce(t *testing.T) {
	for name, second := range map[string]func(net.Conn) bool{
		"closed after reading": func(net.Conn) bool { return false },
		"cut in the status":    func(c net.Conn) bool { _, _ = io.WriteString(c, "HTTP/1.1 2"); return false },
		"cut in the body": func(c net.Conn) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"version\"")
			return false
		},
		"redirect":      func(c net.Conn) bool { return reply(c, "307 Temporary Redirect", "Location: /other\r\n", "") },
		"bad gateway":   func(c net.Conn) bool { return reply(c, "502 Bad Gateway", "", "") },
		"503 of others": func(c net.Conn) bool { return reply(c, "503 Service Unavailable", "", "busy") },
		"503 other code": func(c net.Conn) bool {
			return reply(c, "503 Service Unavailable", "", `{"error":"conflict"}`)
		},
		"not JSON":       func(c net.Conn) bool { return reply(c, "200 OK", "", "yes") },
		"version of old": func(c net.Conn) bool { return reply(c, "200 OK", "", `{"version":7}`) },
	} {
		t.Run(name, func(t *testing.T) {
			address, requests := rawStore(t, func(n int64, _ *http.Request, conn net.Conn) bool {
				if n == 1 {
					return reply(conn, "200 OK", "", `{"version":7}`)
				}
				return second(conn)
			})
			store := connectTo(t, address, "127.0.0.1:1")
			// The first write leaves an idle connection, which the transport would consider worth a resend.
			_, err := store.CompareAndSwap(t.Context(), "k", 0, []byte("one"))
			require.NoError(t, err)
			_, err = store.CompareAndSwap(t.Context(), "k", 7, []byte("two"))
			require.ErrorIs(t, err, gw.ErrWriteUnknown)
			require.Equal(t, int64(2), requests.Load())
		})
	}
}

// Guards against a write reported as unknown, or not tried elsewhere, although nothing was sent.
func TestWriteGoesToNextEndpointWhenNothingWasSent(t *testing.T) {
	f := newFixture(t)
	store := connectTo(t, "127.0.0.1:1", f.address)
	_, err := store.CompareAndSwap(t.Context(), "k", 0, nil)
	require.NoError(t, err)
	require.Equal(t, int64(1), f.fake.Calls().Total)

	store = connectTo(t, "127.0.0.1:1", "127.0.0.1:2")
	_, err = store.CompareAndSwap(t.Context(), "k", 0, nil)
	require.ErrorIs(t, err, gw.ErrStoreUnavailable)
	require.NotErrorIs(t, err, gw.ErrWriteUnknown)
}

// Guards against writes that all go to an endpoint that does not answer.
func TestNextWriteGoesToAnotherEndpointAfterAFailure(t *testing.T) {
	f := newFixture(t)
	closing, requests := rawStore(t, func(int64, *http.Request, net.Conn) bool { return false })
	store := connectTo(t, closing, f.address)
	_, err := store.CompareAndSwap(t.Context(), "k", 0, nil)
	require.ErrorIs(t, err, gw.ErrWriteUnknown)
	_, err = store.CompareAndSwap(t.Context(), "k", 0, nil)
	require.NoError(t, err)
	require.Equal(t, int64(1), requests.Load())
}

// Guards against a write that is reported as cancelled, which promises no effect, although it was sent.
func TestCancelledWriteIsUnknown(t *testing.T) {
	sent := make(chan struct{})
	address, _ := rawStore(t, func(int64, *http.Request, net.Conn) bool {
		close(sent)
		return true
	})
	store := connectTo(t, address)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-sent
		cancel()
	}()
	_, err := store.CompareAndSwap(ctx, "k", 0, nil)
	require.ErrorIs(t, err, gw.ErrWriteUnknown)
	require.ErrorIs(t, err, context.Canceled)

	_, err = store.CompareAndSwap(ctx, "k", 0, nil)
	require.ErrorIs(t, err, context.Canceled)
	require.NotErrorIs(t, err, gw.ErrWriteUnknown, "nothing was sent")
}

// Guards against reads that stick to an endpoint that fails, or that accept a bad answer.
func TestReadsTryEndpointsInTurn(t *testing.T) {
	f := newFixture(t)
	_, err := f.store.CompareAndSwap(t.Context(), "k", 0, []byte("one"))
	require.NoError(t, err)
	bad := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"key":"other","version":9}`)
	}))
	defer bad.Close()
	silent, silentCalls := rawStore(t, func(int64, *http.Request, net.Conn) bool { return true })
	store := connectTo(t, "127.0.0.1:1", bad.Listener.Addr().String(), silent, f.address)
	for range 3 {
		v, err := store.Get(t.Context(), "k")
		require.NoError(t, err)
		require.Equal(t, "one", string(v.Data))
	}
	require.Equal(t, int64(1), silentCalls.Load(), "the endpoint that answered is used first")
}
