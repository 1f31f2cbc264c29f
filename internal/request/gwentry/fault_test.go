package gwentry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwentry"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
	"github.com/geraniumworks/geraniumworks/internal/standin/gwfakes"
)

// rawServer answers every request with the text that answer returns, nothing when it is empty, and closes the
// connection after a text that ends in "!".
func rawServer(t testing.TB, answer func(n int64, r *http.Request) string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var n atomic.Int64
	go gwfakes.ServeConns(l, func(conn net.Conn, in *bufio.Reader) {
		t.Cleanup(func() { _ = conn.Close() })
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			text := answer(n.Add(1), r)
			text, closing := strings.CutSuffix(text, "!")
			if _, err := io.WriteString(conn, text); err != nil || closing {
				return
			}
		}
	})
	return l.Addr().String()
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against a retry of a request that may have run, and against a not-run outcome that hides the unknown outcome
// of an earlier attempt.
func TestRetryFollowsOutcome(t *testing.T) {
	const (
		notRun   = "HTTP/1.1 503 No\r\nGw-Outcome: not-run\r\nGw-Reason: overloaded\r\nContent-Length: 0\r\n\r\n"
		plain503 = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
		falseRun = "HTTP/1.1 200 No\r\nGw-Outcome: not-run\r\nContent-Length: 2\r\n\r\nno"
	)
	cases := []struct {
		name, method, first, second string
		status                      int
		outcome                     gw.Outcome
		reason                      gw.Reason
	}{
		{"not-run is retried", "POST", notRun, okAnswer, 200, gw.OutcomeAnswered, ""},
		{"not-run twice", "POST", notRun, notRun, 503, gw.OutcomeNotRun, gw.ReasonOverloaded},
		{"lost is not retried", "POST", "!", okAnswer, 502, gw.OutcomeUnknown, gw.ReasonConnectionLost},
		{"lost read is retried", "GET", "!", okAnswer, 200, gw.OutcomeAnswered, ""},
		{"unknown stays unknown", "GET", "!", notRun, 502, gw.OutcomeUnknown, gw.ReasonConnectionLost},
		{"the server's own 503", "POST", plain503, okAnswer, 503, gw.OutcomeAnswered, ""},
		{"not-run needs a 503", "POST", falseRun, okAnswer, 200, gw.OutcomeAnswered, ""},
		{"nonsense", "POST", "nonsense\r\n\r\n", okAnswer, 502, gw.OutcomeUnknown, gw.ReasonBadAnswer},
	}
	viaRelayAndLocal(t, func(t *testing.T, local bool) {
		for _, c := range cases {
			t.Run(c.name, func(t *testing.T) {
				sys := newSystem(t, setup{
					local: local, limits: gw.ServiceLimits{RetryPercent: 10},
					servers: map[gw.ServerName]string{
						"s1": rawServer(t, func(int64, *http.Request) string { return c.first }),
						"s2": rawServer(t, func(int64, *http.Request) string { return c.second }),
					},
				})
				got := sys.do(c.method, "/claims/1", nil)
				require.NoError(t, got.err)
				require.Equal(t, c.status, got.status)
				require.Equal(t, c.outcome, got.outcome())
				require.Equal(t, c.reason, got.reason())
				if got.status == 200 {
					require.NotContains(t, got.header, "Content-Type", "the server sent none")
				}
			})
		}
	})
}

// Guards against a retry after a part of a streamed body was sent, and against a retry that loses a buffered body.
func TestOnlyBufferedBodiesAreSentAgain(t *testing.T) {
	refusing := rawServer(t, func(int64, *http.Request) string {
		return "HTTP/1.1 503 No\r\nGw-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"
	})
	var length atomic.Int64
	taking := echoServer(t, func(_ http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err == nil {
			length.Store(n)
		}
	})
	sys := newSystem(t, setup{
		limits:  gw.ServiceLimits{RetryPercent: 10},
		servers: map[gw.ServerName]string{"s1": refusing, "s2": taking},
	})
	largest := strings.Repeat("x", gwforward.MaxBufferedBytes)
	require.Equal(t, 200, sys.do("POST", "/claims/1", strings.NewReader(largest)).status)
	require.EqualValues(t, gwforward.MaxBufferedBytes, length.Load())
	got := sys.do("POST", "/claims/1", strings.NewReader(largest+"x"))
	require.Equal(t, 503, got.status)
	require.Equal(t, gw.OutcomeNotRun, got.outcome())
}

// Guards against retries beyond their share of requests, which would multiply the load during an overload.
func TestRetriesStayWithinBudget(t *testing.T) {
	var sent atomic.Int64
	refusing := rawServer(t, func(int64, *http.Request) string {
		sent.Add(1)
		return "HTTP/1.1 503 No\r\nGw-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"
	})
	sys := newSystem(t, setup{
		local: true, limits: gw.ServiceLimits{RetryPercent: 10},
		servers: map[gw.ServerName]string{"s1": refusing, "s2": refusing},
	})
	for range 200 {
		require.Equal(t, 503, sys.do("POST", "/claims/1", nil).status)
	}
	require.LessOrEqual(t, sent.Load(), int64(200+20+10))
	require.GreaterOrEqual(t, sent.Load(), int64(200+20))
}

// Guards against an answer that is passed on although it belongs to another request.
func TestAnswerToAnotherRequestIsRefused(t *testing.T) {
	viaRelayAndLocal(t, func(t *testing.T, local bool) {
		server := rawServer(t, func(int64, *http.Request) string {
			return "HTTP/1.1 200 OK\r\nGw-Request-Id: other\r\nContent-Length: 2\r\n\r\nok"
		})
		sys := newSystem(t, setup{local: local, servers: map[gw.ServerName]string{"s1": server}})
		got := sys.do("POST", "/claims/1", nil)
		require.Equal(t, 502, got.status)
		require.Equal(t, gw.ReasonBadAnswer, got.reason())
		require.Equal(t, 0, sys.pool.Open(server), "the connection was not closed")
	})
}

// Guards against answers whose end cannot be told from a cut, against a change of protocol, and against answers that
// are not valid HTTP.
func TestAnswersThatCannotBeWholeAreRefused(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\n\r\nuntil the connection closes!",
		"HTTP/1.0 200 OK\r\n\r\nuntil the connection closes!",
		"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
		"HTTP/1.1 099 Low\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 70<<10) + "\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok",
	} {
		server := rawServer(t, func(int64, *http.Request) string { return answer })
		sys := newSystem(t, setup{local: true, servers: map[gw.ServerName]string{"s1": server}})
		got := sys.do("POST", "/claims/1", nil)
		require.Equal(t, 502, got.status, answer[:20])
		require.Equal(t, gw.ReasonBadAnswer, got.reason(), answer[:20])
		require.Equal(t, 0, sys.pool.Open(server), answer[:20])
	}
}

// Guards against a silent connection that holds a request until its deadline, against idle connections to the same
// server that do so with the next requests, and against a slow caller that is mistaken for a silent server.
func TestSilenceEndsRequest(t *testing.T) {
	viaRelayAndLocal(t, func(t *testing.T, local bool) {
		var silent atomic.Bool
		release := make(chan struct{})
		server := echoServer(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/claims/wait" {
				select {
				case <-release:
				case <-r.Context().Done():
				}
			}
			data, err := io.ReadAll(r.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			if silent.Load() {
				<-r.Context().Done()
			}
			if _, err := w.Write(data); err != nil {
				panic(http.ErrAbortHandler)
			}
		})
		sys := newSystem(t, setup{
			local: local, limits: gw.ServiceLimits{ProgressMilliseconds: 300},
			servers: map[gw.ServerName]string{"s1": server},
		})
		// Opens several connections that become idle.
		ended := make(chan int, 3)
		for range cap(ended) {
			go func() { ended <- sys.do("GET", "/claims/wait", nil).status }()
		}
		eventually(t, func() bool { return sys.pool.Open(server) == cap(ended) }, "connections")
		close(release)
		for range cap(ended) {
			require.Equal(t, 200, <-ended)
		}
		eventually(t, func() bool { return sys.pool.Idle(server) == cap(ended) }, "idle connections")

		silent.Store(true)
		got := sys.do("POST", "/claims/1", strings.NewReader("x"))
		require.Equal(t, 504, got.status)
		require.Equal(t, gw.ReasonNoProgress, got.reason())
		require.Equal(t, gw.OutcomeUnknown, got.outcome())
		require.Equal(t, 0, sys.pool.Open(server), "idle connections to the silent server were not closed")
		eventually(t, func() bool {
			open, results := sys.dispatcher.state()
			return open == 0 && results[len(results)-1].Outcome == gw.OutcomeUnknown
		}, "result")

		// The caller pauses for longer than a server may be silent.
		silent.Store(false)
		body, feed := io.Pipe()
		go func() {
			for range 2 {
				time.Sleep(450 * time.Millisecond)
				fmt.Fprint(feed, "part")
			}
			_ = feed.Close()
		}()
		got = sys.do("POST", "/claims/1", body)
		require.NoError(t, got.err)
		require.Equal(t, "partpart", string(got.body))
	})
}

// Guards against a request that continues after its deadline, and against servers that do not receive the deadline.
func TestDeadlineIsPassedOnAndKept(t *testing.T) {
	viaRelayAndLocal(t, func(t *testing.T, local bool) {
		told := make(chan string, 1)
		server := echoServer(t, func(_ http.ResponseWriter, r *http.Request) {
			told <- r.Header.Get(gw.HeaderTimeout)
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		})
		sys := newSystem(t, setup{local: local, servers: map[gw.ServerName]string{"s1": server}})
		got := sys.do("POST", "/claims/1", strings.NewReader("x"), gw.HeaderTimeout, "200")
		require.Equal(t, 504, got.status)
		require.Equal(t, gw.ReasonDeadlineExceeded, got.reason())
		var left int
		_, err := fmt.Sscan(<-told, &left)
		require.NoError(t, err)
		require.LessOrEqual(t, left, 200)
		require.Positive(t, left)
		eventually(t, func() bool { open, _ := sys.dispatcher.state(); return open == 0 }, "slot is held")
		eventually(t, func() bool { return sys.pool.Open(server) == 0 }, "connection stays open")
	})
}

// Guards against a caller's connection that cannot be reused after the deadline of an earlier request has passed, for
// answers, refusals and the 100 Continue before a body.
func TestCallersConnectionOutlivesDeadlines(t *testing.T) {
	server := echoServer(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	sys := newSystem(t, setup{local: true, servers: map[gw.ServerName]string{"s1": server}})
	conn := sys.dialTo(t)
	in := bufio.NewReader(conn)
	const head = "POST /claims/1 HTTP/1.1\r\nHost: x\r\nGw-Tenant: harbour\r\nGw-Timeout-Milliseconds: 100\r\n"
	for _, c := range []struct {
		request string
		status  int
	}{
		{head + "Content-Length: 1\r\n\r\nx", 200},
		{"GET /other HTTP/1.1\r\nHost: x\r\n\r\n", 404},
		{head + "Content-Length: 1\r\n\r\nx", 200},
		{head + "Content-Length: 1\r\nExpect: 100-continue\r\n\r\n", 100},
		{"x", 200},
		{head + "Content-Length: 1\r\n\r\nx", 200},
	} {
		_, err := io.WriteString(conn, c.request)
		require.NoError(t, err)
		resp, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, c.status, resp.StatusCode)
		if c.status != 100 {
			<-time.After(150 * time.Millisecond) // The deadline of the request passes.
		}
	}
}

// Guards against a cancelled request whose connection to the server stays in use or returns to the pool.
func TestCancelledRequestClosesItsConnection(t *testing.T) {
	viaRelayAndLocal(t, func(t *testing.T, local bool) {
		started := make(chan struct{}, 1)
		server := echoServer(t, func(_ http.ResponseWriter, r *http.Request) {
			started <- struct{}{}
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		})
		sys := newSystem(t, setup{local: local, servers: map[gw.ServerName]string{"s1": server}})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-started
			cancel()
		}()
		require.Error(t, sys.doContext(ctx, "POST", "/claims/1", strings.NewReader("x")).err)
		eventually(t, func() bool { return sys.pool.Open(server) == 0 }, "connection stays open")
		eventually(t, func() bool { open, _ := sys.dispatcher.state(); return open == 0 }, "slot is held")
	})
}

// Guards against a stop that cuts off running requests or accepts new ones.
func TestStopLetsRunningRequestsFinish(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	server := echoServer(t, func(http.ResponseWriter, *http.Request) {
		close(started)
		<-release
	})
	sys := newSystem(t, setup{servers: map[gw.ServerName]string{"s1": server}})
	first := make(chan reply, 1)
	go func() { first <- sys.do("POST", "/claims/1", nil) }()
	<-started
	sys.entry.Stop()
	sys.relay.Stop()
	got := sys.do("POST", "/claims/1", nil)
	require.Equal(t, 503, got.status)
	require.Equal(t, gw.ReasonStopping, got.reason())
	require.Equal(t, gw.OutcomeNotRun, got.outcome())
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, sys.entry.Wait(expired), context.Canceled)
	close(release)
	require.Equal(t, 200, (<-first).status)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	require.NoError(t, sys.entry.Wait(ctx))
	require.NoError(t, sys.relay.Wait(ctx))
}

// brokenListener accepts connections on which nothing can be written.
type brokenListener struct{ net.Listener }

type brokenConn struct{ net.Conn }

func (l brokenListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return brokenConn{conn}, err
}

func (brokenConn) Write([]byte) (int, error) { return 0, syscall.EPIPE }

// Guards against an answer that never left the entry host and is missing in its log.
func TestAnswerThatCannotBeWrittenIsLogged(t *testing.T) {
	server := echoServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole body") })
	viaRelayAndLocal(t, func(t *testing.T, local bool) {
		var lines strings.Builder
		sys := newSystem(t, setup{
			local: local, servers: map[gw.ServerName]string{"s1": server}, log: slog.New(slog.NewTextHandler(&lines, nil)),
		})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		callers := gwforward.NewServer(sys.entry, gwentry.DefaultHeaderBytes)
		ended := make(chan error, 1)
		go func() { ended <- callers.Serve(brokenListener{l}) }()
		sys.url = "http://" + l.Addr().String()
		require.Error(t, sys.do(http.MethodPost, "/claims/1", nil).err)
		sys.entry.Stop()
		require.NoError(t, sys.entry.Wait(t.Context()))
		require.NoError(t, callers.Close())
		require.ErrorIs(t, <-ended, http.ErrServerClosed)
		require.Contains(t, lines.String(), "answer was cut off")
	})
}

// Guards against an answer that arrives in time, is passed on after the deadline, and is dropped with the connection.
func TestAnswerAtDeadlineIsDelivered(t *testing.T) {
	const deadline = 200 * time.Millisecond
	server := echoServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole body") })
	viaRelayAndLocal(t, func(t *testing.T, local bool) {
		sys := newSystem(t, setup{
			local: local, servers: map[gw.ServerName]string{"s1": server},
			limits: gw.ServiceLimits{DeadlineMilliseconds: deadline.Milliseconds()},
		})
		sys.dispatcher.onDone = func() { time.Sleep(deadline + 50*time.Millisecond) }
		got := sys.do(http.MethodGet, "/claims/1", nil)
		require.NoError(t, got.err)
		if local {
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, "whole body", string(got.body))
		}
	})
}
