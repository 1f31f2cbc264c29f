package gwforward_test

import (
	"context"
	"net/http"
	"net/url"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwpool"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
	"github.com/geraniumworks/geraniumworks/internal/standin/gwendless"
)

// untilClose is the native protocol without its rule that an answer must have a length.
type untilClose struct {
	gwforward.NativeServers
}

func (p untilClose) Decode(a gw.Attempt, sent http.Header, answer *http.Response) gw.ServerHead {
	head := p.NativeServers.Decode(a, sent, answer)
	if !gwforward.Delimited(answer) {
		head.Contradiction = ""
	}
	return head
}

// countingWriter counts the bytes of an answer and keeps the first ones.
type countingWriter struct {
	header http.Header
	first  []byte
	n      int64
}

func (w *countingWriter) Header() http.Header { return w.header }
func (w *countingWriter) WriteHeader(int)     {}
func (w *countingWriter) Flush()              {}

func (w *countingWriter) Write(p []byte) (int, error) {
	if len(w.first) < 64 {
		w.first = append(w.first, p[:min(len(p), 64)]...)
	}
	w.n += int64(len(p))
	return len(p), nil
}

// sendEndless sends one request to the server, and returns the result in the words of the script without the time.
func sendEndless(ctx context.Context, f *gwforward.Forwarder, address, method string, deadline time.Time) string {
	answer, failed := f.Send(ctx, &gwforward.Request{
		ID: "id-1", Tenant: "harbour", Method: method, URL: &url.URL{Path: "/"}, Header: http.Header{},
		Body: gwforward.Buffered(nil), Deadline: deadline, Limits: gw.ServiceLimits{ProgressMilliseconds: 500},
		Address: address, Connections: 1,
	})
	if failed != nil {
		return string(failed.Reason)
	}
	w := &countingWriter{header: http.Header{}}
	switch err := answer.Write(w, gwforward.NativeCallers{}); {
	case err != nil:
		return "cut"
	case w.n == 0:
		return "empty"
	case string(w.first) == "ok":
		return "whole"
	case w.n == 30_000 && strings.Trim(string(w.first), "x") == "":
		return "unfinished"
	}
	return "wrong: " + string(w.first)
}

func endlessForwarder(c gwendless.Case) (*gwforward.Forwarder, *gwpool.Pool) {
	pool := gwpool.New()
	opts := []gwforward.Option{gwforward.WithPool(pool)}
	if slices.Contains(c.Options, "until-close") {
		opts = append(opts, gwforward.WithServerProtocol(untilClose{}))
	}
	return gwforward.New(opts...), pool
}

func endlessCases(t *testing.T) []gwendless.Case {
	t.Helper()
	script, err := os.ReadFile("testdata/endless.txt")
	require.NoError(t, err)
	cases, err := gwendless.ParseCases(script, gw.HeaderRequestID)
	require.NoError(t, err)
	return cases
}

func startEndless(t *testing.T, answer gwendless.Answer) *gwendless.Server {
	t.Helper()
	s, err := gwendless.Start(answer)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, s.Close()) })
	return s
}

// Guards against an answer without end that is passed on as a whole one, that holds a request although it can no longer
// become an answer or beyond the deadline, or that leaves its connection in use or in the pool.
func TestEndlessAnswersEndTheRequest(t *testing.T) {
	const timeout = 1500 * time.Millisecond
	before := runtime.NumGoroutine()
	t.Run("cases", func(t *testing.T) {
		for _, c := range endlessCases(t) {
			t.Run(c.Name, func(t *testing.T) {
				t.Parallel()
				server := startEndless(t, c.Answer)
				forwarder, pool := endlessForwarder(c)
				defer pool.Close()
				start := time.Now()
				result := sendEndless(context.Background(), forwarder, server.Address(), c.Options[0], start.Add(timeout))
				elapsed := time.Since(start)
				require.Equal(t, c.Want[0], result)
				if c.Want[1] == "at-once" {
					require.Less(t, elapsed, timeout/2)
				} else {
					require.GreaterOrEqual(t, elapsed, timeout-50*time.Millisecond)
					require.Less(t, elapsed, timeout+time.Second)
				}
				require.Eventually(t, func() bool { return pool.Open(server.Address()) == 0 && server.Open() == 0 },
					5*time.Second, time.Millisecond, "the connection stays open")
				require.Equal(t, 1, server.Served(), "the request was sent twice")
			})
		}
	})
	if !waitForGoroutines(before) {
		stacks := make([]byte, 1<<20)
		t.Fatalf("goroutines are left behind:\n%s", stacks[:runtime.Stack(stacks, true)])
	}
}

// waitForGoroutines reports whether the number of goroutines falls to n within 5 s.
func waitForGoroutines(n int) bool {
	for range 500 {
		if runtime.NumGoroutine() <= n {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// endlessMemoryBytes bounds all that is allocated for one request. The bound of a head also holds for the informational
// answers before it, and the shortest of them takes 25 bytes, for which net/http builds an answer of less than 64 times
// as many.
const endlessMemoryBytes = 64 * gwpool.DefaultHeaderBytes

// Guards against memory that grows with the length of an answer.
func TestEndlessAnswersUseBoundedMemory(t *testing.T) {
	for _, c := range endlessCases(t) {
		if c.Answer.Slow {
			continue
		}
		t.Run(c.Name, func(t *testing.T) {
			server := startEndless(t, c.Answer)
			forwarder, pool := endlessForwarder(c)
			defer pool.Close()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			sendEndless(context.Background(), forwarder, server.Address(), c.Options[0],
				time.Now().Add(200*time.Millisecond))
			runtime.ReadMemStats(&after)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(endlessMemoryBytes))
		})
	}
}

// Guards against an answer without end that is read on after its request was cancelled.
func TestCancelledRequestEndsAnEndlessAnswer(t *testing.T) {
	for _, c := range endlessCases(t) {
		if c.Want[1] != "deadline" {
			continue
		}
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			server := startEndless(t, c.Answer)
			forwarder, pool := endlessForwarder(c)
			defer pool.Close()
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan string, 1)
			go func() {
				ended <- sendEndless(ctx, forwarder, server.Address(), c.Options[0], time.Now().Add(20*time.Second))
			}()
			require.Eventually(t, func() bool { return server.Served() == 1 }, 5*time.Second, time.Millisecond)
			<-time.After(100 * time.Millisecond)
			cancel()
			select {
			case result := <-ended:
				require.Contains(t, []string{"cut", string(gw.ReasonConnectionLost)}, result)
			case <-time.After(2 * time.Second):
				t.Fatal("the request goes on")
			}
			require.Eventually(t, func() bool { return pool.Open(server.Address()) == 0 && server.Open() == 0 },
				5*time.Second, time.Millisecond, "the connection stays open")
		})
	}
}

// Guards against bytes after the end of an answer that become the answer to the next request, and against the loss of
// the next request to them when they came with the answer. Bytes that come later may meet a request that was sent.
func TestBytesAfterAnAnswerAnswerNoOtherRequest(t *testing.T) {
	for _, c := range endlessCases(t) {
		if !strings.HasPrefix(c.Name, "after-") && !strings.HasPrefix(c.Name, "refusal-garbage") {
			continue
		}
		t.Run(c.Name, func(t *testing.T) {
			server := startEndless(t, c.Answer)
			forwarder, pool := endlessForwarder(c)
			defer pool.Close()
			for range 200 {
				result := sendEndless(context.Background(), forwarder, server.Address(), c.Options[0],
					time.Now().Add(5*time.Second))
				if c.Answer.Slow && result != c.Want[0] {
					require.Equal(t, string(gw.ReasonBadAnswer), result)
					break
				}
				require.Equal(t, c.Want[0], result)
			}
		})
	}
}
