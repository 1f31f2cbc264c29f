package gwforward_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwpool"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
	"github.com/geraniumworks/geraniumworks/internal/standin/gwfakes"
)

// FuzzServerAnswer sends arbitrary bytes as the answer of a server or relay. It guards against a crash, an answer
// with an invalid status, an incomplete answer that looks complete, and a not-run outcome that the server has not
// sent.
func FuzzServerAnswer(f *testing.F) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f, err)
	f.Cleanup(func() { _ = l.Close() })
	var answer atomic.Pointer[[]byte]
	go gwfakes.ServeConns(l, func(conn net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err == nil {
			_, _ = conn.Write(*answer.Load())
		}
	})
	pool := gwpool.New()
	f.Cleanup(pool.Close)
	forwarder := gwforward.New(gwforward.WithPool(pool))
	f.Fuzz(func(t *testing.T, data []byte, relay bool) {
		answer.Store(&data)
		r := &gwforward.Request{
			ID: "id", Tenant: "harbour", Method: http.MethodGet, URL: &url.URL{Path: "/"},
			Deadline: time.Now().Add(2 * time.Second), Address: l.Addr().String(), Connections: 4, Relay: relay,
		}
		got, failed := forwarder.Send(context.Background(), r)
		text := strings.ToLower(string(data))
		if failed != nil {
			if failed.Reason.Outcome() == gw.OutcomeNotRun {
				require.Contains(t, text, "gw-outcome")
				require.Contains(t, text, "not-run")
			}
			return
		}
		require.GreaterOrEqual(t, got.Status, http.StatusOK)
		w := httptest.NewRecorder()
		if err := got.Write(w, gwforward.NativeCallers{}); err != nil {
			return
		}
		if length := w.Header().Get("Content-Length"); length != "" {
			n, err := strconv.Atoi(length)
			require.NoError(t, err)
			require.Equal(t, n, w.Body.Len(), "the answer is not complete")
		} else if w.Body.Len() > 0 {
			require.Contains(t, text, "chunked")
			require.True(t, strings.Contains(text, "0\n") || strings.Contains(text, "0\r\n") ||
				strings.Contains(text, "0;") || strings.Contains(text, "0 ") || strings.Contains(text, "0\t"),
				"there is no last chunk")
		}
		for name := range w.Header() {
			if strings.HasPrefix(name, "Gw-") {
				require.Contains(t, []string{
					gw.HeaderOutcome, gw.HeaderRequestID, gw.HeaderServer, gw.HeaderIncarnation,
				}, name)
			}
		}
		_, err := io.Copy(io.Discard, w.Body)
		require.NoError(t, err)
	})
}
