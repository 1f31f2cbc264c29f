package gwentry_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// cutServer is an HTTP server that closes one connection after a number of bytes set by a test, and counts the requests
// that it ran.
type cutServer struct {
	address string

	mu sync.Mutex
	// cutRequest and cutAnswer are the numbers of bytes of request and answer after which the connection of the next
	// request is closed, -1 for not at all. With reset it is closed by a TCP reset.
	cutRequest, cutAnswer int
	reset                 bool
	// answer formats the answer to a request.
	answer func(r *http.Request) string
	// runs and ids count the requests that arrived completely, by X-Case and by request id.
	runs map[string]int
	ids  map[string]int
	// received is the number of bytes read of the last request, requestBytes the length of the last complete one.
	received, requestBytes int
}

func newCutServer(t testing.TB) *cutServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &cutServer{
		address: l.Addr().String(), cutRequest: -1, cutAnswer: -1,
		runs: map[string]int{}, ids: map[string]int{},
	}
	var running sync.WaitGroup
	running.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			running.Go(func() { s.serve(conn) })
		}
	})
	t.Cleanup(running.Wait)
	t.Cleanup(func() { _ = l.Close() })
	return s
}

func (s *cutServer) arm(cutRequest, cutAnswer int, reset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutRequest, s.cutAnswer, s.reset, s.received = cutRequest, cutAnswer, reset, 0
}

// take returns the armed cut and disarms it.
func (s *cutServer) take() (cutRequest, cutAnswer int, reset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cutRequest, cutAnswer, reset = s.cutRequest, s.cutAnswer, s.reset
	s.cutRequest, s.cutAnswer = -1, -1
	return cutRequest, cutAnswer, reset
}

func (s *cutServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReaderSize(conn, 64<<10)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		cutRequest, cutAnswer, reset := s.take()
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		var raw bytes.Buffer
		source := io.TeeReader(in, &raw)
		if cutRequest >= 0 {
			source = io.LimitReader(source, int64(cutRequest))
		}
		// Reads one byte at a time, so that nothing beyond the request is taken from the connection.
		r, err := http.ReadRequest(bufio.NewReaderSize(oneByteReader{source}, 1))
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		s.record(r, err, raw.Len())
		if err != nil || cutRequest >= 0 {
			return
		}
		answer := s.answer(r)
		if cutAnswer >= 0 {
			answer = answer[:min(cutAnswer, len(answer))]
		}
		if _, err := io.WriteString(conn, answer); err != nil || cutAnswer >= 0 {
			return
		}
	}
}

func (s *cutServer) record(r *http.Request, err error, received int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = received
	if err == nil {
		s.requestBytes = received
		s.runs[r.Header.Get("X-Case")]++
		s.ids[r.Header.Get(gw.HeaderRequestID)]++
	}
}

func (s *cutServer) state(id string) (runs, requestBytes int, ids map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id], s.requestBytes, s.ids
}

// oneByte reads one byte at a time.
type oneByteReader struct{ r io.Reader }

func (o oneByteReader) Read(p []byte) (int, error) { return o.r.Read(p[:min(len(p), 1)]) }

func lengthAnswer(r *http.Request) string {
	head := "HTTP/1.1 200 OK\r\nGw-Request-Id: " + r.Header.Get(gw.HeaderRequestID) + "\r\nContent-Length: 11\r\n\r\n"
	if r.Method == http.MethodHead {
		return head
	}
	return head + "whole body\n"
}

func chunkedAnswer(r *http.Request) string {
	head := "HTTP/1.1 200 OK\r\nGw-Request-Id: " + r.Header.Get(gw.HeaderRequestID) +
		"\r\nTransfer-Encoding: chunked\r\n\r\n"
	if r.Method == http.MethodHead {
		return head
	}
	return head + "6\r\nwhole \r\n5\r\nbody\n\r\n0\r\n\r\n"
}

// Guards against a layer below that resends a request by itself, a request that ran and is reported as not-run, and an
// incomplete answer that looks complete. The connection to the server is cut at every byte of request and answer.
func TestCutAtEveryByte(t *testing.T) {
	kinds := []struct {
		method, key, body string
		answer            func(*http.Request) string
	}{
		{"GET", "", "", lengthAnswer},
		{"HEAD", "", "", lengthAnswer},
		{"GET", "Idempotency-Key", "", chunkedAnswer},
		{"POST", "Idempotency-Key", "name=geranium", lengthAnswer},
		{"PUT", "X-Idempotency-Key", "name=geranium", chunkedAnswer},
	}
	for _, hop := range []string{"local", "relay", "cut-to-relay"} {
		for _, k := range kinds {
			t.Run(hop+k.method+k.key, func(t *testing.T) {
				t.Parallel()
				server := newCutServer(t)
				server.answer = k.answer
				s := setup{servers: map[gw.ServerName]string{"s1": server.address}, local: hop == "local"}
				if hop == "cut-to-relay" {
					// The server takes the place of the relay, so that the connection between the hosts is cut.
					s.relay = server.address
					server.answer = func(r *http.Request) string {
						return strings.Replace(k.answer(r), "\r\n", "\r\nGw-Outcome: answered\r\n", 1)
					}
				}
				sys := newSystem(t, s)
				send := func(id string) reply {
					var body io.Reader
					if k.body != "" {
						body = strings.NewReader(k.body)
					}
					headers := []string{"X-Case", id}
					if k.key != "" {
						headers = append(headers, k.key, id)
					}
					return sys.do(k.method, "/claims/1", body, headers...)
				}
				require.Equal(t, http.StatusOK, send("warm-up-0000").status)
				_, requestBytes, _ := server.state("warm-up-0000")
				answerBytes := len(server.answer(&http.Request{Method: k.method, Header: http.Header{
					gw.HeaderRequestID: {strings.Repeat("x", 26)},
				}}))
				for n := range requestBytes + 1 {
					server.arm(n, -1, n%2 == 0)
					checkCut(t, sys, server, send, fmt.Sprintf("request-%04d", n), n == requestBytes, false)
				}
				for n := range answerBytes + 1 {
					server.arm(-1, n, n%2 == 0)
					checkCut(t, sys, server, send, fmt.Sprintf("answer-%05d", n), true, n == answerBytes)
				}
				eventually(t, func() bool { open, _ := sys.dispatcher.state(); return open == 0 }, "slots")
			})
		}
	}
}

// checkCut sends one request over a connection that is already open and will be cut.
func checkCut(
	t *testing.T, sys *system, server *cutServer, send func(string) reply, id string, ran, whole bool,
) {
	t.Helper()
	got := send(id)
	runs, _, ids := server.state(id)
	for requestID, n := range ids {
		require.Equal(t, 1, n, "request id %s ran more than once", requestID)
	}
	want := 0
	if ran {
		want = 1
	}
	require.Equal(t, want, runs, "%s: the server ran the request %d times", id, runs)
	if whole {
		require.NoError(t, got.err, id)
		require.Equal(t, http.StatusOK, got.status, id)
	} else if got.err == nil {
		require.Equal(t, http.StatusBadGateway, got.status, id)
		require.Equal(t, gw.OutcomeUnknown, got.outcome(), id)
	}
	eventually(t, func() bool { return sys.pool.Open(server.address) == 0 }, "a connection that was cut stays open")
	// Sends a request on a new connection, so that the next cut concerns a connection that was used before.
	require.Equal(t, http.StatusOK, send("warm-"+id).status)
}
