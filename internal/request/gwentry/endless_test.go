package gwentry_test

import (
	"context"
	"io"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/standin/gwendless"
)

// endlessAtOnce and endlessDeadline are the timeouts of requests that must end at once and at their deadline.
const (
	endlessAtOnce   = 5 * time.Second
	endlessDeadline = 600 * time.Millisecond
)

// endlessStatuses are the statuses that callers get for the results of the script.
var endlessStatuses = map[string]int{
	string(gw.ReasonBadAnswer): 502, string(gw.ReasonDeadlineExceeded): 504, string(gw.ReasonOverloaded): 503,
	"whole": 200, "unfinished": 200, "cut": 200,
}

// endlessCases returns the cases of the forwarder's script that the protocol permits.
func endlessCases(t *testing.T) []gwendless.Case {
	t.Helper()
	script, err := os.ReadFile("../gwforward/testdata/endless.txt")
	require.NoError(t, err)
	cases, err := gwendless.ParseCases(script, gw.HeaderRequestID)
	require.NoError(t, err)
	return slices.DeleteFunc(cases, func(c gwendless.Case) bool { return slices.Contains(c.Options, "until-close") })
}

// doEndless makes a request and reads the answer without keeping its body. n is the length of the body.
func (s *system) doEndless(ctx context.Context, method string, timeout time.Duration) (got reply, n int64) {
	r, err := http.NewRequestWithContext(ctx, method, s.url+"/claims/1", http.NoBody)
	if err != nil {
		return reply{err: err}, 0
	}
	r.Header.Set(gw.HeaderTenant, "harbour")
	r.Header.Set(gw.HeaderTimeout, strconv.FormatInt(timeout.Milliseconds(), 10))
	resp, err := s.client.Do(r)
	if err != nil {
		return reply{err: err}, 0
	}
	defer func() { _ = resp.Body.Close() }()
	n, err = io.Copy(io.Discard, resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, err: err}, n
}

// requireEnded checks that a request left no slot and no connection behind.
func (s *system) requireEnded(t *testing.T, server *gwendless.Server) {
	t.Helper()
	eventually(t, func() bool { open, _ := s.dispatcher.state(); return open == 0 }, "the slot is held")
	eventually(t, func() bool { return s.pool.Open(server.Address()) == 0 && server.Open() == 0 },
		"the connection stays open")
	require.Equal(t, 1, server.Served(), "the request was sent twice")
}

func endlessSystem(t *testing.T, c gwendless.Case, local bool) (*system, *gwendless.Server) {
	t.Helper()
	server, err := gwendless.Start(c.Answer)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, server.Close()) })
	return newSystem(t, setup{
		local: local, limits: gw.ServiceLimits{ProgressMilliseconds: 500},
		servers: map[gw.ServerName]string{"s1": server.Address()},
	}), server
}

// Guards against an answer without end that reaches the caller as a whole one, with the wrong outcome or late, and that
// keeps a slot, a connection or a goroutine of the hosts on its way.
func TestEndlessAnswersReachCallersAsTheirOutcome(t *testing.T) {
	before := runtime.NumGoroutine()
	viaRelayAndLocal(t, func(t *testing.T, local bool) {
		for _, c := range endlessCases(t) {
			t.Run(c.Name, func(t *testing.T) {
				t.Parallel()
				sys, server := endlessSystem(t, c, local)
				timeout := endlessAtOnce
				if c.Want[1] == "deadline" {
					timeout = endlessDeadline
				}
				start := time.Now()
				got, n := sys.doEndless(t.Context(), c.Options[0], timeout)
				elapsed := time.Since(start)
				if c.Want[1] == "deadline" {
					require.Less(t, elapsed, timeout+time.Second)
				} else {
					require.Less(t, elapsed, timeout/2)
				}
				if c.Want[0] == "cut" {
					require.Error(t, got.err, "the answer looks whole after %d bytes", n)
				} else {
					require.NoError(t, got.err)
				}
				if c.Want[0] == "empty" {
					require.Zero(t, n)
				} else {
					require.Equal(t, endlessStatuses[c.Want[0]], got.status)
				}
				if reason := gw.Reason(c.Want[0]); endlessStatuses[c.Want[0]] > 200 {
					require.Equal(t, reason, got.reason())
					require.Equal(t, reason.Outcome(), got.outcome())
				}
				sys.requireEnded(t, server)
			})
		}
	})
	for range 500 {
		if runtime.NumGoroutine() <= before {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	stacks := make([]byte, 1<<20)
	t.Fatalf("goroutines are left behind:\n%s", stacks[:runtime.Stack(stacks, true)])
}

// Guards against an answer without end that keeps its slot and its connection after the caller has left.
func TestCallerThatLeavesEndsAnEndlessAnswer(t *testing.T) {
	viaRelayAndLocal(t, func(t *testing.T, local bool) {
		for _, c := range endlessCases(t) {
			if c.Want[1] != "deadline" {
				continue
			}
			t.Run(c.Name, func(t *testing.T) {
				t.Parallel()
				sys, server := endlessSystem(t, c, local)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				ended := make(chan error, 1)
				go func() {
					got, _ := sys.doEndless(ctx, c.Options[0], 4*endlessAtOnce)
					ended <- got.err
				}()
				eventually(t, func() bool { return server.Served() == 1 }, "request")
				<-time.After(100 * time.Millisecond)
				cancel()
				require.Error(t, <-ended)
				sys.requireEnded(t, server)
			})
		}
	})
}
