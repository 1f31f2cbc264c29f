package gwforward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwpool"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
)

// scriptServer executes one step of a script for each request.
type scriptServer struct {
	address string

	mu    sync.Mutex
	steps []string
	// seen counts the received requests by X-Case, runs those that were executed.
	seen, runs map[string]int
}

func newScriptServer(t *testing.T, steps []string) *scriptServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scriptServer{address: l.Addr().String(), steps: steps, seen: map[string]int{}, runs: map[string]int{}}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go s.serve(conn)
		}
	}()
	return s
}

func (s *scriptServer) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			break
		}
		step := s.next(r.Header.Get("X-Case"))
		if step != "cut-head" {
			if _, err = io.Copy(io.Discard, r.Body); err != nil {
				break
			}
		}
		answer, open := answerOf(step, r)
		if _, err = io.WriteString(conn, answer); err != nil || !open {
			break
		}
	}
	_ = conn.Close()
}

// next returns the next step and counts the request.
func (s *scriptServer) next(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	step := "serve"
	if len(s.steps) > 0 {
		step, s.steps = s.steps[0], s.steps[1:]
	}
	s.seen[name]++
	if step != "refuse" && step != "cut-head" {
		s.runs[name]++
	}
	return step
}

// answerOf returns the answer that a step sends, and whether the connection stays open.
func answerOf(step string, r *http.Request) (answer string, open bool) {
	id, text := r.Header.Get(gw.HeaderRequestID), "run "+r.Header.Get("X-Case")
	head := "HTTP/1.1 200 OK\r\nGw-Request-Id: " + id + "\r\n"
	switch step {
	case "serve":
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text), true
	case "stale":
		return "HTTP/1.1 200 OK\r\nGw-Request-Id: other\r\nContent-Length: 9\r\n\r\nrun other", true
	case "short":
		return head + "Content-Length: 10\r\n\r\nshort", false
	case "endless":
		return head + "Connection: close\r\n\r\nhalf a bo", false
	case "chunk-short":
		return head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false
	case "silent":
		return "", true
	case "refuse":
		return "HTTP/1.1 503 No\r\nGw-Request-Id: " + id + "\r\nGw-Outcome: not-run\r\nContent-Length: 0\r\n\r\n", true
	default:
		return "", false
	}
}

// realForwarder returns a function that sends a request with f and reports the result as a caller sees it.
func realForwarder(f *gwforward.Forwarder) func(context.Context, *gwforward.Request, io.Reader) delivered {
	return func(ctx context.Context, r *gwforward.Request, body io.Reader) delivered {
		if body != nil {
			data, err := io.ReadAll(body)
			if err != nil {
				return delivered{}
			}
			r.Body = gwforward.Buffered(data)
		}
		answer, failed := f.Send(ctx, r)
		if failed != nil {
			return delivered{outcome: failed.Reason.Outcome(), reason: failed.Reason}
		}
		w := httptest.NewRecorder()
		err := answer.Write(w, gwforward.NativeCallers{})
		return delivered{outcome: gw.OutcomeAnswered, status: w.Code, body: w.Body.String(), cut: err != nil}
	}
}

// Guards against a forwarder that violates its guarantees when the server or the connection fails. Each script lists
// the guarantees that a plain http.Client violates; the real forwarder must violate none.
func TestFaultScriptsAgainstNaiveForwarder(t *testing.T) {
	script, err := os.ReadFile("testdata/faults.txt")
	require.NoError(t, err)
	_, blocks, _ := strings.Cut(string(script), "\n\n")
	for block := range strings.SplitSeq(strings.TrimSpace(blocks), "\n\n") {
		lines := strings.Split(block, "\n")
		require.Len(t, lines, 3, block)
		name := strings.Fields(lines[0])[0]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pool := gwpool.New()
			defer pool.Close()
			broken := runScript(t, lines, realForwarder(gwforward.New(gwforward.WithPool(pool))))
			require.Empty(t, broken, "the real forwarder violates guarantees")
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			broken = runScript(t, lines, naiveForwarder{&http.Client{Transport: transport}}.send)
			want := strings.TrimPrefix(lines[2], "naive-breaks: ")
			require.Equal(t, want, strings.Join(append(broken, "-")[:max(len(broken), 1)], " "))
		})
	}
}

// runScript sends a warm-up request and one that meets the fault, and returns the violated guarantees.
func runScript(
	t *testing.T, lines []string, send func(context.Context, *gwforward.Request, io.Reader) delivered,
) (broken []string) {
	t.Helper()
	fields := strings.Fields(lines[0])
	steps := strings.Fields(lines[1])
	s := newScriptServer(t, steps)
	request := func(id string, timeout time.Duration) delivered {
		h := http.Header{"X-Case": {id}}
		for _, f := range fields[2:] {
			key, value, _ := strings.Cut(f, "=")
			h.Set(key, value)
		}
		r := &gwforward.Request{
			ID: "id-" + id, Tenant: "harbour", Method: fields[1], URL: &url.URL{Path: "/"}, Header: h,
			OperationID: h.Get("Idempotency-Key"), Deadline: time.Now().Add(timeout),
			Limits:  gw.ServiceLimits{ProgressMilliseconds: 200},
			Address: s.address, Connections: 1,
		}
		var body io.Reader
		if fields[1] != http.MethodGet {
			body = strings.NewReader("x")
		}
		ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
		defer cancel()
		return send(ctx, r, body)
	}
	require.Equal(t, http.StatusOK, request("warm-up", 5*time.Second).status)
	start := time.Now()
	got := request("case", 2*time.Second)
	elapsed := time.Since(start)
	s.mu.Lock()
	seen, runs := s.seen["case"], s.runs["case"]
	s.mu.Unlock()
	check := func(kept bool, promise string) {
		if !kept {
			broken = append(broken, promise)
		}
	}
	check(runs <= 1 && seen <= 1, "at-most-once")
	check(got.outcome != gw.OutcomeNotRun || seen == 0 || steps[1] == "refuse", "true-not-run")
	answered := got.outcome == gw.OutcomeAnswered && got.status == http.StatusOK && !got.cut
	check(!answered || !strings.HasPrefix(got.body, "run ") || got.body == "run case", "own-answer")
	check(!answered || strings.HasPrefix(got.body, "run "), "whole-answer")
	check(elapsed < time.Second, "progress")
	check(steps[1] != "refuse" || got.outcome == gw.OutcomeNotRun, "refusal-known")
	return broken
}
