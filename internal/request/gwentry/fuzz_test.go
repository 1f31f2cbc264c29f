package gwentry_test

import (
	"bufio"
	"bytes"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// FuzzEntry sends arbitrary bytes to the entry host. It guards against a crash, an answer without an outcome, requests
// without a route that reach a server, and headers of the router's own protocol that a caller forges.
func FuzzEntry(f *testing.F) {
	var forged atomic.Pointer[http.Request]
	server := echoServer(f, func(w http.ResponseWriter, r *http.Request) {
		routed := strings.HasPrefix(r.URL.Path, "/claims") || strings.HasPrefix(r.URL.Path, "/names")
		own := r.Header.Get(gw.HeaderPosition) == "" && len(r.Header[gw.HeaderRequestID]) == 1
		if !routed || !own || r.Header.Get("Idempotency-Key") != "" || r.Header.Get("Upgrade") != "" {
			forged.Store(r)
		}
		if _, err := io.Copy(w, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
	})
	sys := newSystem(f, setup{
		local: true, servers: map[gw.ServerName]string{"s1": server},
		limits: gw.ServiceLimits{DeadlineMilliseconds: 1000, BodyBytes: 1000},
	})
	var crash atomic.Bool
	sys.server.Config.ErrorLog = log.New(writerFunc(func(p []byte) {
		if bytes.Contains(p, []byte("panic serving")) {
			crash.Store(true)
		}
	}), "", 0)
	f.Fuzz(func(t *testing.T, data []byte) {
		conn, err := net.Dial("tcp", sys.server.Listener.Addr().String())
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
		// The entry host may close the connection before it has read everything.
		_, _ = conn.Write(data)
		_ = conn.(*net.TCPConn).CloseWrite()
		in := bufio.NewReader(conn)
		for {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				break
			}
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if err != nil || resp.StatusCode == http.StatusContinue {
				break
			}
			checkOutcome(t, resp)
		}
		require.False(t, crash.Load(), "the handler panicked")
		if r := forged.Load(); r != nil {
			t.Fatalf("a forged header or an unrouted request reached the server: %s %v", r.RequestURI, r.Header)
		}
	})
}

// checkOutcome checks that an answer has a valid outcome, unless net/http itself refused the request.
func checkOutcome(t *testing.T, resp *http.Response) {
	t.Helper()
	outcome := resp.Header.Get(gw.HeaderOutcome)
	if outcome == "" {
		require.GreaterOrEqual(t, resp.StatusCode, http.StatusBadRequest)
		if resp.StatusCode != http.StatusExpectationFailed {
			require.Contains(t, resp.Header.Get("Content-Type"), "text/plain")
		}
		return
	}
	reason := gw.Reason(resp.Header.Get(gw.HeaderReason))
	if reason == "" {
		require.Equal(t, string(gw.OutcomeAnswered), outcome)
		return
	}
	require.Equal(t, reason.Status(), resp.StatusCode)
	require.Equal(t, string(reason.Outcome()), outcome)
	require.False(t, strings.HasPrefix(string(reason), "bad-answer"), "the server sends valid answers only")
}

type writerFunc func([]byte)

func (f writerFunc) Write(p []byte) (int, error) {
	f(p)
	return len(p), nil
}
