package gwrelay_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
	"github.com/geraniumworks/geraniumworks/internal/request/gwrelay"
)

// singleServerDispatcher is a gw.Dispatcher with one server and unlimited slots.
type singleServerDispatcher struct {
	gw.Dispatcher
	server gw.DispatchServer
	// sendBefore is the time until which requests may be sent, one hour from now when it is zero.
	sendBefore time.Time

	// doneDelay is how long the end of an attempt takes.
	doneDelay time.Duration

	mu      sync.Mutex
	asked   []gw.SlotRequest
	results []gw.AttemptResult
}

func (d *singleServerDispatcher) Acquire(_ context.Context, req gw.SlotRequest) (gw.Slot, *gw.Refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asked = append(d.asked, req)
	return d, nil
}

func (d *singleServerDispatcher) Server() gw.DispatchServer { return d.server }

func (d *singleServerDispatcher) SendBefore() time.Time {
	if d.sendBefore.IsZero() {
		return time.Now().Add(time.Hour)
	}
	return d.sendBefore
}

func (d *singleServerDispatcher) Done(result gw.AttemptResult) {
	time.Sleep(d.doneDelay)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.results = append(d.results, result)
}

func newRelay(t *testing.T, server http.HandlerFunc) (*gwrelay.Relay, *singleServerDispatcher, *prometheus.Registry) {
	t.Helper()
	s := httptest.NewServer(server)
	t.Cleanup(s.Close)
	d := &singleServerDispatcher{server: gw.DispatchServer{
		Name: "s1", Address: s.Listener.Addr().String(), Slots: 4, Connections: 2,
	}}
	cfg := gw.Config{
		Version:  1,
		Tenants:  []gw.Tenant{{Name: "harbour"}, {Name: "yard", HomeRegions: []gw.RegionName{"friesland"}}},
		Services: []gw.Service{{Name: "lookups", Limits: gw.ServiceLimits{BodyBytes: 100}}},
	}
	registry := prometheus.NewRegistry()
	return gwrelay.New(
		gwrelay.WithConfig(func() gw.Config { return cfg }), gwrelay.WithDispatcher(d),
		gwrelay.WithRegion("holland"), gwrelay.WithRegisterer(registry),
	), d, registry
}

func relayRequest(body string, headers ...string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "/names/a", strings.NewReader(body))
	for name, value := range map[string]string{
		gw.HeaderRequestID: "id", gw.HeaderTimeout: "2000", gw.HeaderTenant: "harbour", gw.HeaderService: "lookups",
		gw.HeaderServer: "s1", gw.HeaderPosition: "000000000000002a", gw.HeaderToken: "7",
	} {
		r.Header.Set(name, value)
	}
	for i := 0; i < len(headers); i += 2 {
		if value := headers[i+1]; value == "" {
			r.Header.Del(headers[i])
		} else {
			r.Header.Add(headers[i], value)
		}
	}
	return r
}

// Guards against requests whose position, token, server, tenant or deadline was lost or changed on the way. They would
// run without fencing or in the wrong region.
func TestRelayRefusesDoubtfulRequests(t *testing.T) {
	var reached atomic.Int64
	relay, d, _ := newRelay(t, func(http.ResponseWriter, *http.Request) { reached.Add(1) })
	for _, c := range []struct {
		reason  gw.Reason
		headers []string
	}{
		{gw.ReasonBadRequest, []string{gw.HeaderServer, ""}},
		{gw.ReasonBadRequest, []string{gw.HeaderService, ""}},
		{gw.ReasonBadRequest, []string{gw.HeaderTenant, ""}},
		{gw.ReasonBadRequest, []string{gw.HeaderRequestID, ""}},
		{gw.ReasonBadRequest, []string{gw.HeaderTimeout, ""}},
		{gw.ReasonBadRequest, []string{gw.HeaderTimeout, "3000"}},
		{gw.ReasonBadRequest, []string{gw.HeaderToken, ""}},
		{gw.ReasonBadRequest, []string{gw.HeaderToken, "8"}},
		{gw.ReasonBadRequest, []string{gw.HeaderPosition, ""}},
		{gw.ReasonBadRequest, []string{gw.HeaderPosition, "", gw.HeaderPosition, "2a"}},
		{gw.ReasonBadRequest, []string{"Upgrade", "websocket"}},
		{gw.ReasonWrongRegion, []string{gw.HeaderTenant, "", gw.HeaderTenant, "yard"}},
		{gw.ReasonNotReady, []string{gw.HeaderTenant, "", gw.HeaderTenant, "unknown"}},
		{gw.ReasonNotReady, []string{gw.HeaderService, "", gw.HeaderService, "unknown"}},
		{gw.ReasonDeadlineTooShort, []string{gw.HeaderTimeout, "", gw.HeaderTimeout, "0"}},
	} {
		w := httptest.NewRecorder()
		relay.ServeHTTP(w, relayRequest("x", c.headers...))
		require.Equal(t, string(c.reason), w.Header().Get(gw.HeaderReason), c.headers)
		require.Equal(t, c.reason.Status(), w.Code)
		require.Equal(t, string(gw.OutcomeNotRun), w.Header().Get(gw.HeaderOutcome))
	}
	w := httptest.NewRecorder()
	relay.ServeHTTP(w, relayRequest(strings.Repeat("x", 101)))
	require.Equal(t, string(gw.ReasonBodyTooLarge), w.Header().Get(gw.HeaderReason))
	require.Zero(t, reached.Load())
	for _, req := range d.asked {
		require.True(t, req.HasKey)
		require.EqualValues(t, 7, req.Token)
	}
}

// Guards against more connections to a server than its limit, lost results, and results that do not match the answer of
// the server.
func TestRelayReportsResultsWithinConnectionLimit(t *testing.T) {
	var running, most atomic.Int64
	relay, d, registry := newRelay(t, func(w http.ResponseWriter, r *http.Request) {
		now := running.Add(1)
		defer running.Add(-1)
		for {
			seen := most.Load()
			if now <= seen || most.CompareAndSwap(seen, now) {
				break
			}
		}
		w.Header().Set(gw.HeaderIncarnation, "run-1")
		if r.Header.Get("X-Full") != "" {
			w.Header().Set(gw.HeaderOutcome, string(gw.OutcomeNotRun))
			w.Header().Set(gw.HeaderReason, string(gw.ReasonOverloaded))
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	ended := make(chan int, 20)
	for range cap(ended) {
		go func() {
			w := httptest.NewRecorder()
			relay.ServeHTTP(w, relayRequest("x"))
			ended <- w.Code
		}()
	}
	for range cap(ended) {
		require.Equal(t, http.StatusOK, <-ended)
	}
	require.LessOrEqual(t, most.Load(), int64(2))
	w := httptest.NewRecorder()
	relay.ServeHTTP(w, relayRequest("x", "X-Full", "1"))
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, string(gw.ReasonOverloaded), w.Header().Get(gw.HeaderReason))
	require.Len(t, d.results, 21)
	for _, result := range d.results[:20] {
		require.Equal(t, gw.OutcomeAnswered, result.Outcome)
		require.Equal(t, http.StatusOK, result.Status)
		require.Equal(t, gw.Incarnation("run-1"), result.Incarnation)
		require.False(t, result.FirstByte.IsZero() || result.End.Before(result.FirstByte))
	}
	last := d.results[20]
	require.Equal(t, gw.OutcomeNotRun, last.Outcome)
	require.True(t, last.Overloaded)
	require.Equal(t, http.StatusServiceUnavailable, last.Status)
	require.Equal(t, gw.Incarnation("run-1"), last.Incarnation)
	n, err := testutil.GatherAndCount(registry, "geraniumworks_relay_attempts_total")
	require.NoError(t, err)
	require.Equal(t, 2, n)
}

// Guards against a slot that stays occupied when the answer is closed before its end.
func TestDeliverGivesSlotBackWhenAnswerIsClosed(t *testing.T) {
	relay, d, _ := newRelay(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 1<<20))
	})
	r := relayRequest("")
	answer, refusal := relay.Deliver(context.Background(), &gwforward.Request{
		ID: "id", Tenant: "harbour", Method: http.MethodGet, URL: r.URL, Header: r.Header,
		Deadline: time.Now().Add(5 * time.Second),
	})
	require.Nil(t, refusal)
	require.True(t, answer.Streamed())
	require.Empty(t, d.results)
	answer.Close()
	answer.Close()
	require.Len(t, d.results, 1)
	require.Equal(t, gw.OutcomeUnknown, d.results[0].Outcome)
}

// Guards against a paused entry host that occupies a slot because it does not read the answer.
func TestEntryHostThatStopsReadingLosesSlot(t *testing.T) {
	relay, d, _ := newRelay(t, func(w http.ResponseWriter, _ *http.Request) {
		for range 1 << 10 {
			if _, err := w.Write(make([]byte, 256<<10)); err != nil {
				return
			}
		}
	})
	s := httptest.NewServer(relay)
	defer s.Close()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { require.NoError(t, conn.Close()) }()
	r := relayRequest("", gw.HeaderTimeout, "")
	r.Header.Set(gw.HeaderTimeout, "300")
	require.NoError(t, r.Write(conn))
	require.Eventually(t, func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.results) == 1 && d.results[0].Outcome == gw.OutcomeUnknown
	}, 5*time.Second, time.Millisecond)
}

// Guards against a request that is sent after the dispatcher's right to send has ended, and against a slot that is
// reused while the server may still be running a request whose connection was cut.
func TestRelayEndsSlotsTruthfully(t *testing.T) {
	var reached atomic.Int64
	relay, d, _ := newRelay(t, func(http.ResponseWriter, *http.Request) {
		reached.Add(1)
		panic(http.ErrAbortHandler)
	})
	d.sendBefore = time.Now()
	w := httptest.NewRecorder()
	relay.ServeHTTP(w, relayRequest("x"))
	require.Equal(t, string(gw.ReasonNoServer), w.Header().Get(gw.HeaderReason))
	require.Zero(t, reached.Load())
	require.Equal(t, gw.OutcomeNotRun, d.results[0].Outcome)
	require.NotZero(t, d.results[0].End)

	d.sendBefore = time.Time{}
	w = httptest.NewRecorder()
	relay.ServeHTTP(w, relayRequest("x"))
	require.Equal(t, string(gw.OutcomeUnknown), w.Header().Get(gw.HeaderOutcome))
	require.EqualValues(t, 1, reached.Load())
	require.Equal(t, gw.OutcomeUnknown, d.results[1].Outcome)
	require.Zero(t, d.results[1].End, "the server may still run the request")
}

// Guards against an answer that the dispatcher has in time and drops with the connection at the deadline.
func TestAnswerAtDeadlineIsPassedOn(t *testing.T) {
	relay, d, _ := newRelay(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(gw.HeaderRequestID, r.Header.Get(gw.HeaderRequestID))
		_, _ = w.Write([]byte("whole body"))
	})
	d.doneDelay = 150 * time.Millisecond
	s := httptest.NewServer(relay)
	t.Cleanup(s.Close)
	r := relayRequest("", gw.HeaderTimeout, "", gw.HeaderTimeout, "100")
	out, err := http.NewRequestWithContext(t.Context(), r.Method, s.URL+r.URL.Path, nil)
	require.NoError(t, err)
	out.Header = r.Header
	resp, err := s.Client().Do(out)
	require.NoError(t, err)
	defer func() { require.NoError(t, resp.Body.Close()) }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "whole body", string(data))
}
