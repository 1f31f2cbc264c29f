package gwentry_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// Guards against bodies that are buffered until their end: each line is answered before the next one is sent.
func TestBodiesStreamBothWaysAtOnce(t *testing.T) {
	viaRelayAndLocal(t, func(t *testing.T, local bool) {
		server := echoServer(t, func(w http.ResponseWriter, r *http.Request) {
			rc := http.NewResponseController(w)
			if rc.EnableFullDuplex() != nil {
				panic(http.ErrAbortHandler)
			}
			lines := bufio.NewScanner(r.Body)
			for lines.Scan() {
				fmt.Fprintln(w, "got", lines.Text())
				if rc.Flush() != nil {
					panic(http.ErrAbortHandler)
				}
			}
		})
		sys := newSystem(t, setup{local: local, servers: map[gw.ServerName]string{"s1": server}})
		conn := sys.dialTo(t)
		_, err := io.WriteString(conn, "POST /claims/1 HTTP/1.1\r\nHost: x\r\nGw-Tenant: harbour\r\n"+
			"Transfer-Encoding: chunked\r\n\r\n2\r\na\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		defer func() { require.NoError(t, resp.Body.Close()) }()
		lines := bufio.NewReader(resp.Body)
		for _, next := range []string{"2;extension=1\r\nb\n\r\n", "02\r\nc\n\r\n", "0\r\nX-Trailer: dropped\r\n\r\n"} {
			line, err := lines.ReadString('\n')
			require.NoError(t, err)
			require.Contains(t, line, "got ")
			_, err = io.WriteString(conn, next)
			require.NoError(t, err)
		}
		rest, err := io.ReadAll(lines)
		require.NoError(t, err)
		require.Empty(t, rest)
	})
}

// Guards against memory use that grows with the size of a body.
func TestLargeBodiesAreNotHeldInMemory(t *testing.T) {
	server := echoServer(t, func(w http.ResponseWriter, r *http.Request) {
		if http.NewResponseController(w).EnableFullDuplex() != nil {
			panic(http.ErrAbortHandler)
		}
		if _, err := io.Copy(w, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
	})
	const size = 64 << 20
	sys := newSystem(t, setup{
		limits:  gw.ServiceLimits{BodyBytes: size, DeadlineMilliseconds: 60_000},
		servers: map[gw.ServerName]string{"s1": server},
	})
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, sys.url+"/claims/1",
		io.LimitReader(zeroReader{}, size))
	require.NoError(t, err)
	r.Header.Set(gw.HeaderTenant, "harbour")
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	resp, err := sys.client.Do(r)
	require.NoError(t, err)
	defer func() { require.NoError(t, resp.Body.Close()) }()
	n, err := io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.EqualValues(t, size, n)
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(size/2))
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Guards against a chunked body above the limit that is passed on in full, or whose request is reported as not-run.
func TestChunkedBodyAboveLimitIsUnknown(t *testing.T) {
	viaRelayAndLocal(t, func(t *testing.T, local bool) {
		var whole atomic.Int64
		server := echoServer(t, func(_ http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err == nil {
				whole.Add(1)
			}
		})
		sys := newSystem(t, setup{
			local: local, limits: gw.ServiceLimits{BodyBytes: 100_000},
			servers: map[gw.ServerName]string{"s1": server},
		})
		got := sys.do("POST", "/claims/1", io.MultiReader(bytes.NewReader(make([]byte, 200_000))))
		if got.err == nil {
			require.Equal(t, 502, got.status)
			require.Equal(t, gw.OutcomeUnknown, got.outcome())
		}
		require.Zero(t, whole.Load(), "the server took the truncated body for a complete one")
	})
}

// Guards against a body that is requested although the server refuses the request, and against a 100 Continue that does
// not reach the caller.
func TestExpectContinueReachesTheServer(t *testing.T) {
	viaRelayAndLocal(t, func(t *testing.T, local bool) {
		server := echoServer(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/claims/full" {
				w.Header().Set(gw.HeaderOutcome, string(gw.OutcomeNotRun))
				w.Header().Set(gw.HeaderReason, string(gw.ReasonOverloaded))
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			if _, err := io.Copy(w, r.Body); err != nil {
				panic(http.ErrAbortHandler)
			}
		})
		sys := newSystem(t, setup{local: local, servers: map[gw.ServerName]string{"s1": server}})
		for path, want := range map[string]string{"full": "HTTP/1.1 503", "1": "HTTP/1.1 100 Continue"} {
			conn := sys.dialTo(t)
			in := bufio.NewReader(conn)
			_, err := fmt.Fprintf(conn, "POST /claims/%s HTTP/1.1\r\nHost: x\r\nGw-Tenant: harbour\r\n"+
				"Expect: 100-continue\r\nContent-Length: 4\r\n\r\n", path)
			require.NoError(t, err)
			line, err := in.ReadString('\n')
			require.NoError(t, err)
			require.Contains(t, line, want)
			if path == "full" {
				continue
			}
			_, err = in.ReadString('\n')
			require.NoError(t, err)
			_, err = io.WriteString(conn, "body")
			require.NoError(t, err)
			resp, err := http.ReadResponse(in, nil)
			require.NoError(t, err)
			data, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, "body", string(data))
		}
	})
}

// Guards against a HEAD answer that loses its declared length, or after which the router waits for a body.
func TestHeadKeepsDeclaredLength(t *testing.T) {
	viaRelayAndLocal(t, func(t *testing.T, local bool) {
		server := echoServer(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "1000000") })
		sys := newSystem(t, setup{local: local, servers: map[gw.ServerName]string{"s1": server}})
		for range 2 {
			got := sys.do("HEAD", "/claims/1", nil)
			require.NoError(t, got.err)
			require.Equal(t, "1000000", got.header.Get("Content-Length"))
		}
		require.Equal(t, 1, sys.pool.Open(server))
	})
}

// Guards against an early answer that is held back until the rest of the request body arrives, and against the reuse of
// the server's connection after it.
func TestEarlyAnswerEndsBody(t *testing.T) {
	viaRelayAndLocal(t, func(t *testing.T, local bool) {
		server := rawHeadServer(t)
		sys := newSystem(t, setup{local: local, servers: map[gw.ServerName]string{"s1": server}})
		conn := sys.dialTo(t)
		start := time.Now()
		_, err := io.WriteString(conn, "POST /claims/1 HTTP/1.1\r\nHost: x\r\nGw-Tenant: harbour\r\n"+
			"Content-Length: 5000000\r\n\r\n"+strings.Repeat("x", 10_000))
		require.NoError(t, err)
		in := bufio.NewReader(conn)
		resp, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, 409, resp.StatusCode)
		// The entry host does not wait for the rest of the body, and closes the connection.
		_, err = in.ReadByte()
		require.Error(t, err)
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
		require.Less(t, time.Since(start), 3*time.Second)
		eventually(t, func() bool { return sys.pool.Open(server) == 0 }, "connection stays open")
		eventually(t, func() bool { open, _ := sys.dispatcher.state(); return open == 0 }, "slot is held")
	})
}

// rawHeadServer answers as soon as it has the head of a request, and keeps the connection open.
func rawHeadServer(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n")
			}
		}
	}()
	return l.Addr().String()
}

// Guards against a hedged request that waits for the slow attempt, against hedges of requests that must not run twice,
// and against a losing attempt that keeps running.
func TestHedgeOvertakesStraggler(t *testing.T) {
	viaRelayAndLocal(t, func(t *testing.T, local bool) {
		var slow atomic.Bool
		var hedged, cancelled atomic.Int64
		first := echoServer(t, func(_ http.ResponseWriter, r *http.Request) {
			if slow.Load() {
				<-r.Context().Done()
				cancelled.Add(1)
			}
		})
		second := echoServer(t, func(http.ResponseWriter, *http.Request) { hedged.Add(1) })
		sys := newSystem(t, setup{
			local:   local,
			limits:  gw.ServiceLimits{HedgePercent: 50, ProgressMilliseconds: 3000, DeadlineMilliseconds: 4000},
			servers: map[gw.ServerName]string{"s1": first, "s2": second},
		})
		for range 150 {
			require.Equal(t, 200, sys.do("GET", "/claims/1", nil).status)
		}
		slow.Store(true)
		hedged.Store(0)
		// The quantile is calculated at most every 250 ms, so the first attempts may come before it.
		eventually(t, func() bool {
			start := time.Now()
			got := sys.do("GET", "/claims/1", nil, gw.HeaderTimeout, "500")
			return got.status == 200 && time.Since(start) < 400*time.Millisecond
		}, "no hedge")
		eventually(t, func() bool { return cancelled.Load() > 0 }, "the losing attempt was not cancelled")
		sent := hedged.Load()
		require.Positive(t, sent)
		require.Equal(t, 504, sys.do("POST", "/claims/1", nil, gw.HeaderTimeout, "300").status)
		require.Equal(t, sent, hedged.Load(), "a request that must not run twice was hedged")
		eventually(t, func() bool { open, _ := sys.dispatcher.state(); return open == 0 }, "losing attempt holds its slot")
	})
}

// Guards against a caller that does not read its answer and so occupies a slot without end.
func TestSlowReaderIsCutAtDeadline(t *testing.T) {
	viaRelayAndLocal(t, func(t *testing.T, local bool) {
		server := echoServer(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.Copy(w, io.LimitReader(zeroReader{}, 256<<20))
		})
		sys := newSystem(t, setup{local: local, servers: map[gw.ServerName]string{"s1": server}})
		conn := sys.dialTo(t)
		_, err := io.WriteString(conn, "GET /claims/1 HTTP/1.1\r\nHost: x\r\nGw-Tenant: harbour\r\n"+
			"Gw-Timeout-Milliseconds: 500\r\n\r\n")
		require.NoError(t, err)
		eventually(t, func() bool { open, results := sys.dispatcher.state(); return open == 0 && len(results) == 1 }, "slot")
		_, results := sys.dispatcher.state()
		require.Equal(t, gw.OutcomeUnknown, results[0].Outcome)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.Error(t, err, "the truncated answer looks complete")
		_ = resp.Body.Close()
	})
}

// Guards against the reuse of a fencing token that was refused as stale, and against a retry at an overloaded owner
// when only the owner may run the request.
func TestKeyedRequestFollowsOwner(t *testing.T) {
	server := echoServer(t, func(http.ResponseWriter, *http.Request) {})
	sys := newSystem(t, setup{
		divided: true, limits: gw.ServiceLimits{RetryPercent: 10},
		servers: map[gw.ServerName]string{"s1": server, "s2": server},
	})
	sys.router.targets[1].Token = 8
	sys.dispatcher.refusal["s1"] = gw.Refuse(gw.ReasonNoOwner, "released")
	got := sys.do("POST", "/names/a", strings.NewReader("x"))
	require.Equal(t, 200, got.status)
	require.Equal(t, "s2", got.header.Get(gw.HeaderServer))
	require.EqualValues(t, 7, sys.router.calls[1].Stale)
	require.EqualValues(t, 8, sys.dispatcher.asked[1].Token)

	sys.dispatcher.refusal["s1"] = gw.Refuse(gw.ReasonOverloaded, "full")
	got = sys.do("POST", "/names/a", strings.NewReader("x"))
	require.Equal(t, 503, got.status)
	require.Equal(t, gw.ReasonOverloaded, got.reason())
	require.Len(t, sys.router.calls, 3)
}

// Guards against an HTTP/1.0 answer without a declared length, whose end looks like a cut.
func TestHTTP10GetsOnlyDeclaredAnswers(t *testing.T) {
	server := echoServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/claims/declared" {
			w.Header().Set("Content-Length", "2")
		}
		_, _ = io.WriteString(w, "o")
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, "k")
	})
	sys := newSystem(t, setup{local: true, servers: map[gw.ServerName]string{"s1": server}})
	for path, want := range map[string]int{"declared": 200, "other": 502} {
		conn := sys.dialTo(t)
		_, err := fmt.Fprintf(conn, "GET /claims/%s HTTP/1.0\r\nGw-Tenant: harbour\r\n\r\n", path)
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, want, resp.StatusCode)
	}
}
