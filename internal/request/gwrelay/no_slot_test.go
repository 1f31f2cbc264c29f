package gwrelay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwrelay"
)

// dispatcherWithoutSlots is a gw.Dispatcher that never has a free slot. It reports when a request starts and stops
// waiting.
type dispatcherWithoutSlots struct {
	gw.Dispatcher
	waiting, stopped chan struct{}
	previewed        chan gw.SlotRequest
}

func (d *dispatcherWithoutSlots) Acquire(ctx context.Context, _ gw.SlotRequest) (gw.Slot, *gw.Refusal) {
	close(d.waiting)
	<-ctx.Done()
	close(d.stopped)
	return nil, gw.Refuse(gw.ReasonDeadlineTooShort, "the caller stopped waiting")
}

func (d *dispatcherWithoutSlots) Preview(req gw.SlotRequest) *gw.Refusal {
	d.previewed <- req
	return gw.Refuse(gw.ReasonOverloaded, "no slot is free").WithRetryAfter(120)
}

func startRelay(t *testing.T, d gw.Dispatcher) string {
	t.Helper()
	cfg := gw.Config{
		Version: 1, Tenants: []gw.Tenant{{Name: "harbour"}},
		Services: []gw.Service{{Name: "lookups", Limits: gw.ServiceLimits{BodyBytes: 1 << 20}}},
	}
	relay := gwrelay.New(gwrelay.WithConfig(func() gw.Config { return cfg }), gwrelay.WithDispatcher(d))
	s := httptest.NewServer(relay)
	t.Cleanup(s.Close)
	return s.URL
}

func post(ctx context.Context, t *testing.T, url, body string, headers ...string) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/names/a", strings.NewReader(body))
	require.NoError(t, err)
	r.Header = relayRequest("", headers...).Header
	return http.DefaultTransport.RoundTrip(r)
}

// Guards against a request with a body that keeps waiting for a slot after its caller has closed the connection, and
// then reaches a server. net/http notices a closed connection only after the end of the body. This happened to 15
// requests on scale-1 of muyiz-registry, which violated a rule there.
func TestCallerThatLeavesStopsWaiting(t *testing.T) {
	d := &dispatcherWithoutSlots{waiting: make(chan struct{}), stopped: make(chan struct{})}
	url := startRelay(t, d)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-d.waiting
		cancel()
	}()
	body := strings.Repeat("x", 100_000)
	_, err := post(ctx, t, url, body, gw.HeaderTimeout, "", gw.HeaderTimeout, "60000") //nolint:bodyclose // no answer
	require.Error(t, err)
	select {
	case <-d.stopped:
	case <-time.After(5 * time.Second):
		t.Fatal("the request still waits for a slot")
	}
}

// Guards against a large body that is sent to another region although the dispatcher refuses the request.
func TestRefusedBeforeTheBodyIsSent(t *testing.T) {
	d := &dispatcherWithoutSlots{previewed: make(chan gw.SlotRequest, 1)}
	url := startRelay(t, d)
	resp, err := post(context.Background(), t, url, strings.Repeat("x", 100_000),
		"Expect", "100-continue", gw.HeaderConsent, "true", gw.HeaderObjective, "250", gw.HeaderPriority, "2")
	require.NoError(t, err)
	defer func() { require.NoError(t, resp.Body.Close()) }()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, "120", resp.Header.Get(gw.HeaderRetryAfter))
	asked := <-d.previewed
	require.Equal(t, 2, asked.Priority)
	require.InDelta(t, 250, time.Until(asked.Objective).Milliseconds(), 200)
}
