package gwentry_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// Guards against a planned stop that closes the connections of requests that outlast it instead of answering them.
func TestRequestsThatOutlastAStopAreAnswered(t *testing.T) {
	viaRelayAndLocal(t, func(t *testing.T, local bool) {
		running, release := make(chan struct{}), make(chan struct{})
		server := echoServer(t, func(http.ResponseWriter, *http.Request) {
			close(running)
			<-release
		})
		t.Cleanup(func() { close(release) })
		sys := newSystem(t, setup{
			local: local, servers: map[gw.ServerName]string{"s1": server},
			limits: gw.ServiceLimits{DeadlineMilliseconds: 60_000, ProgressMilliseconds: 60_000},
		})
		got := make(chan reply, 1)
		go func() { got <- sys.do(http.MethodPost, "/claims/1", nil) }()
		<-running
		sys.entry.Stop()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		require.ErrorIs(t, sys.entry.Wait(ctx), context.DeadlineExceeded)
		sys.entry.End()
		ctx, cancel = context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		require.NoError(t, sys.entry.Wait(ctx))
		r := <-got
		require.NoError(t, r.err)
		require.Equal(t, gw.OutcomeUnknown, r.outcome(), r.status)
	})
}

// Guards against a planned stop that cuts off an answer whose head has been passed on already.
func TestStreamedAnswerIsFinishedDuringAStop(t *testing.T) {
	viaRelayAndLocal(t, func(t *testing.T, local bool) {
		release := make(chan struct{})
		server := echoServer(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "first")
			_ = http.NewResponseController(w).Flush()
			<-release
			_, _ = io.WriteString(w, "second")
		})
		sys := newSystem(t, setup{local: local, servers: map[gw.ServerName]string{"s1": server}})
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, sys.url+"/claims/1", nil)
		require.NoError(t, err)
		r.Header.Set(gw.HeaderTenant, "harbour")
		resp, err := sys.client.Do(r)
		require.NoError(t, err)
		defer func() { require.NoError(t, resp.Body.Close()) }()
		sys.entry.Stop()
		sys.entry.End()
		time.AfterFunc(50*time.Millisecond, func() { close(release) })
		data, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, "firstsecond", string(data))
	})
}

// Guards against a planned stop that closes the connection of a request whose body is still arriving.
func TestBodyThatOutlastsAStopIsRefused(t *testing.T) {
	sys := newSystem(t, setup{local: true})
	conn := sys.dialTo(t)
	_, err := io.WriteString(conn,
		"POST /claims/1 HTTP/1.1\r\nHost: x\r\nGw-Tenant: harbour\r\nContent-Length: 10\r\n\r\nhalf")
	require.NoError(t, err)
	eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		return sys.entry.Wait(ctx) != nil
	}, "the request has arrived")
	sys.entry.Stop()
	sys.entry.End()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { require.NoError(t, resp.Body.Close()) }()
	require.Equal(t, string(gw.ReasonStopping), resp.Header.Get(gw.HeaderReason))
	require.NoError(t, sys.entry.Wait(t.Context()))
}
