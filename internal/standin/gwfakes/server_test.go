package gwfakes_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwserver"
	"github.com/geraniumworks/geraniumworks/internal/standin/gwfakes"
)

// waitLimit bounds the waits of tests for a state that comes within milliseconds on an idle machine.
const waitLimit = 10 * time.Second

// liveServer is a server stand-in that listens, with an HTTP client that keeps connections.
type liveServer struct {
	*gwfakes.Server
	t       *testing.T
	ref     gw.ServerRef
	client  *http.Client
	control *gwserver.Client
	stop    context.CancelFunc
	ended   chan error
}

func startServer(t *testing.T, opts ...gwfakes.ServerOption) *liveServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	s := &liveServer{
		Server: gwfakes.NewServer(entry, append([]gwfakes.ServerOption{gwfakes.WithIncarnation("run-1")}, opts...)...),
		t:      t, ref: gw.ServerRef{Name: "s1", Address: l.Addr().String()},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}},
		stop:   stop, ended: make(chan error, 1),
	}
	s.control, err = gwserver.New()
	require.NoError(t, err)
	go func() { s.ended <- s.Serve(ctx, l) }()
	t.Cleanup(func() {
		s.ResetFaults()
		s.client.CloseIdleConnections()
		s.control.Close()
		stop()
		require.NoError(t, <-s.ended)
	})
	return s
}

// answer is the answer to work as far as it came.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (s *liveServer) work(ctx context.Context, path string, headers ...string) answer {
	return s.send(ctx, path, strings.NewReader("body"), headers...)
}

func (s *liveServer) send(ctx context.Context, path string, body io.Reader, headers ...string) answer {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.ref.Address+path, body)
	require.NoError(s.t, err)
	req.Header.Set(gw.HeaderRequestID, "request-1")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: data, err: err}
}

// begin sends work and returns when the server runs n requests.
func (s *liveServer) begin(path string, n int, headers ...string) <-chan answer {
	s.t.Helper()
	answers := make(chan answer, 1)
	go func() { answers <- s.work(context.Background(), path, headers...) }()
	s.await(func() bool { return s.State().Running == n })
	return answers
}

func (s *liveServer) await(condition func() bool) {
	s.t.Helper()
	require.Eventually(s.t, condition, waitLimit, time.Millisecond)
}

func (s *liveServer) grant(d time.Duration) {
	s.t.Helper()
	_, err := s.control.Grant(s.t.Context(), s.ref, gw.Grant{
		Server: "s1", Incarnation: "run-1", KeySpace: space, DataCentre: "haarlem", Epoch: 1, Revision: 1,
		Deadline: s.Status().Clock + gw.ClockMilliseconds(d.Milliseconds()), RangesIncluded: true,
		Ranges: []gw.GrantedRange{{Range: gw.Range{First: 0, Last: 99}, Token: 1}},
	})
	require.NoError(s.t, err)
}

var onRange = []string{gw.HeaderPosition, "0000000000000005", gw.HeaderToken, "1"}

func requireRefused(t *testing.T, a answer, reason gw.Reason) {
	t.Helper()
	require.NoError(t, a.err)
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.Equal(t, string(gw.OutcomeNotRun), a.header.Get(gw.HeaderOutcome))
	require.Equal(t, string(reason), a.header.Get(gw.HeaderReason))
}

// Guards against a server that was frozen while it ran a request and then has the effect after its session.
func TestFrozenServerHasNoEffectAfterItsSession(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	s := startServer(t, gwfakes.WithServiceTime(300*time.Millisecond), gwfakes.WithServerClock(clock))
	s.grant(time.Second)
	running := s.begin("/k", 1, onRange...)
	s.Freeze(600 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := s.control.Describe(ctx, s.ref)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	clock.advance(time.Second)
	requireRefused(t, <-running, gwserver.ReasonNoSession)
	require.Zero(t, s.Executions(false).Total)
	s.grant(time.Minute)
	require.Equal(t, http.StatusOK, s.work(t.Context(), "/k", onRange...).status)
}

// Guards against a release that is acknowledged while work for its ranges is running, or that stops work for
// other ranges.
func TestReleaseWaitsForRunningWork(t *testing.T) {
	s := startServer(t, gwfakes.WithServiceTime(500*time.Millisecond))
	s.grant(time.Minute)
	running := s.begin("/k", 1, onRange...)
	released := make(chan int64, 1)
	go func() {
		_, err := s.control.Release(context.Background(), s.ref, gw.Release{
			Server: "s1", Incarnation: "run-1", KeySpace: space, Epoch: 1, Revision: 2,
			Ranges: []gw.Range{{First: 0, Last: 9}},
		})
		if err != nil {
			released <- -1
			return
		}
		released <- s.Executions(false).Total
	}()
	s.await(func() bool { return s.Ranges()[0].First == 10 })
	requireRefused(t, s.work(t.Context(), "/k", onRange...), gwserver.ReasonWrongRange)
	require.Equal(t, http.StatusOK, (<-running).status)
	require.Equal(t, int64(1), <-released)
	require.Equal(t, http.StatusOK, s.work(t.Context(), "/k", gw.HeaderPosition, "000000000000000a", gw.HeaderToken, "1").
		status)
}

// Guards against a server stand-in that accepts more than its slots, forgets the excess, or frees a slot only
// after the caller has the whole answer.
func TestSlotsAndColdStart(t *testing.T) {
	s := startServer(t, gwfakes.WithoutFencing(), gwfakes.WithSlots(4), gwfakes.WithServiceTime(time.Second),
		gwfakes.WithColdStart(50, time.Hour))
	a, b := s.begin("/a", 1), s.begin("/b", 2)
	requireRefused(t, s.work(t.Context(), "/c"), gw.ReasonOverloaded)
	require.Equal(t, 1, s.Executions(false).HighestExcess)
	s.TurnCold(100, time.Hour)
	c, d := s.begin("/c", 3), s.begin("/d", 4)
	s.TurnCold(1, time.Hour)
	requireRefused(t, s.work(t.Context(), "/e"), gw.ReasonOverloaded)
	require.Equal(t, 4, s.Executions(false).HighestExcess, "5 requests at a limit of 1")
	for _, running := range []<-chan answer{a, b, c, d} {
		require.Equal(t, http.StatusOK, (<-running).status)
	}
	require.Equal(t, int64(2), s.Executions(false).Refused[gw.ReasonOverloaded])

	quick := gwfakes.NewServer(entry, gwfakes.WithoutFencing(), gwfakes.WithSlots(1))
	w := &slotWriter{ResponseRecorder: httptest.NewRecorder(), server: quick}
	quick.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/k?answer-bytes=70000", nil))
	require.Equal(t, http.StatusOK, w.Code)
	require.Equal(t, []int{1, 1, 1, 0}, w.running)
}

// slotWriter records the requests that the server counts as running when it writes each piece of an answer.
type slotWriter struct {
	*httptest.ResponseRecorder
	server  *gwfakes.Server
	running []int
}

// Write implements http.ResponseWriter.
func (w *slotWriter) Write(p []byte) (int, error) {
	w.running = append(w.running, w.server.State().Running)
	return w.ResponseRecorder.Write(p)
}

// Guards against a request that has its effect after the time that its caller gave it, or keeps its slot.
func TestRequestEndsAtItsTimeout(t *testing.T) {
	s := startServer(t, gwfakes.WithoutFencing(), gwfakes.WithServiceTime(time.Hour))
	requireRefused(t, s.work(t.Context(), "/k", gw.HeaderTimeout, "20"), gwserver.ReasonTimedOut)
	require.Zero(t, s.State().Running)
	require.Zero(t, s.Executions(false).Total)
}

// Guards against counts that miss a repeated execution, and against a body that is not hashed as a whole.
func TestExecutionsAndBodies(t *testing.T) {
	s := startServer(t, gwfakes.WithoutFencing())
	body := bytes.Repeat([]byte("0123456789"), 800_000)
	for range 2 {
		a := s.send(t.Context(), "/k", bytes.NewReader(body), gw.HeaderOperationID, "twice")
		require.Contains(t, string(a.body), fmt.Sprintf(`"bytes":%d,"hash":"%016x"`, len(body), xxhash.Sum64(body)))
	}
	s.work(t.Context(), "/k", gw.HeaderOperationID, "once", gw.HeaderRequestID, "request-2")
	report := s.Executions(true)
	require.Equal(t, int64(3), report.Total)
	require.Equal(t, map[string]int{"twice": 2}, report.ByOperation)
	require.Equal(t, map[string]int{"request-1": 2}, report.ByRequest)
}

// Guards against an endless answer that ends by itself or looks whole when the fault ends.
func TestEndlessAnswerFault(t *testing.T) {
	s := startServer(t, gwfakes.WithoutFencing())
	for _, pause := range []time.Duration{0, time.Millisecond} {
		s.AnswerEndlessly(pause)
		timer := time.AfterFunc(100*time.Millisecond, s.ResetFaults)
		defer timer.Stop()
		a := s.work(t.Context(), "/k")
		require.ErrorIs(t, a.err, io.ErrUnexpectedEOF)
		require.True(t, strings.HasPrefix(string(a.body), "moremore"))
	}
	require.NoError(t, s.work(t.Context(), "/k").err)
}

// Guards against faults that do not show, or that show without the effect that they say the request had.
func TestAnswerFaults(t *testing.T) {
	s := startServer(t, gwfakes.WithoutFencing())
	s.CutAnswers(40_000)
	a := s.work(t.Context(), "/k?answer-bytes=100000")
	require.ErrorIs(t, a.err, io.ErrUnexpectedEOF)
	require.Len(t, a.body, 40_000)
	s.CutAnswers(0)
	require.ErrorIs(t, s.work(t.Context(), "/k").err, io.EOF)
	require.Equal(t, int64(2), s.Executions(false).Total)

	s.ResetFaults()
	s.AnswerLate(time.Hour)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, s.work(ctx, "/k").err, context.DeadlineExceeded)
	require.Equal(t, int64(3), s.Executions(false).Total)

	s.ResetFaults()
	s.AnswerWrongID()
	a = s.work(t.Context(), "/k")
	require.NotEqual(t, "request-1", a.header.Get(gw.HeaderRequestID))
	require.NotEmpty(t, a.header.Get(gw.HeaderRequestID))
}

// Guards against a silent connection that still answers or runs requests, or that makes new connections silent.
func TestSilenceConcernsOpenConnections(t *testing.T) {
	s := startServer(t, gwfakes.WithoutFencing())
	require.Equal(t, http.StatusOK, s.work(t.Context(), "/k").status)
	s.Silence()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, s.work(ctx, "/k").err, context.DeadlineExceeded)
	require.Equal(t, int64(1), s.Executions(false).Total)
	s.await(func() bool { return s.State().OpenConnections == 0 })
	require.Equal(t, http.StatusOK, s.work(t.Context(), "/k").status, "a new connection works")
}

// Guards against a straggling server that is not slower.
func TestStraggle(t *testing.T) {
	s := startServer(t, gwfakes.WithoutFencing(), gwfakes.WithServiceTime(10*time.Millisecond))
	s.Straggle(20)
	start := time.Now()
	require.Equal(t, http.StatusOK, s.work(t.Context(), "/k").status)
	require.GreaterOrEqual(t, time.Since(start), 200*time.Millisecond)
}

// Guards against a limit of connections that is not kept, or that counts closed ones.
func TestConnectionLimit(t *testing.T) {
	s := startServer(t, gwfakes.WithoutFencing(), gwfakes.WithConnections(2))
	var conns []net.Conn
	for range 2 {
		conn, err := net.Dial("tcp", s.ref.Address)
		require.NoError(t, err)
		conns = append(conns, conn)
	}
	s.await(func() bool { return s.State().OpenConnections == 2 })
	require.Error(t, s.work(t.Context(), "/k").err)
	require.Equal(t, int64(1), s.Executions(false).RefusedConnections)
	for _, conn := range conns {
		require.NoError(t, conn.Close())
	}
	s.await(func() bool { return s.State().OpenConnections == 0 })
	require.Equal(t, http.StatusOK, s.work(t.Context(), "/k").status)
}

// Guards against a restart after which a request of the former run has its effect or keeps a slot.
func TestRestartEndsRunningWork(t *testing.T) {
	s := startServer(t, gwfakes.WithoutFencing(), gwfakes.WithServiceTime(500*time.Millisecond))
	running := s.begin("/k", 1)
	s.Restart("run-2")
	require.Error(t, (<-running).err)
	require.Zero(t, s.State().Running)
	require.Equal(t, http.StatusOK, s.work(t.Context(), "/k").status)
	require.Equal(t, int64(1), s.Executions(false).Total, "only the request of the second run")
}

// Guards against a planned stop that does not announce itself, or that ends before the ranges are released.
func TestStopAnnouncesThatTheServerIsLeaving(t *testing.T) {
	s := startServer(t, gwfakes.WithLeavingPeriod(time.Minute))
	s.grant(time.Minute)
	s.stop()
	s.await(func() bool { return s.Status().Draining })
	require.Equal(t, http.StatusOK, s.work(t.Context(), "/k", onRange...).status)
	_, err := s.control.Release(t.Context(), s.ref, gw.Release{
		Server: "s1", Incarnation: "run-1", KeySpace: space, Epoch: 1, Revision: 2,
		Ranges: []gw.Range{{First: 0, Last: ^gw.Position(0)}},
	})
	require.NoError(t, err)
	select {
	case err := <-s.ended:
		require.NoError(t, err)
		s.ended <- err
	case <-time.After(waitLimit):
		require.Fail(t, "the server did not stop")
	}
}

// Guards against a clock error that does not show, and against load reports that are not late.
func TestClockAndLoadErrors(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	s := gwfakes.NewServer(entry, gwfakes.WithServerClock(clock), gwfakes.WithClockError(1.5, -time.Minute))
	require.Equal(t, gw.ClockMilliseconds(-60_000), s.Status().Clock)
	clock.advance(time.Second)
	require.Equal(t, gw.ClockMilliseconds(-58_500), s.Status().Clock)

	live := startServer(t, gwfakes.WithoutFencing(), gwfakes.WithServiceTime(500*time.Millisecond),
		gwfakes.WithLoadError(time.Hour, 3))
	load := func() gw.LoadReport {
		report, err := live.control.Load(t.Context(), live.ref)
		require.NoError(t, err)
		return report
	}
	require.Zero(t, load().InFlight)
	running := live.begin("/k", 1)
	require.Zero(t, load().InFlight, "the report is up to an hour old")
	<-running
}

// manualClock advances only when a test says so.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

// Now implements gw.Clock.
func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}
