package gwforward_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
)

var errClosed = errors.New("connection is closed")

// closedWriter takes an answer into its buffer and fails when the buffer is sent.
type closedWriter struct{ *httptest.ResponseRecorder }

func (closedWriter) FlushError() error { return errClosed }

// receiveAnswer sends a request to a server of its own and returns the answer. The server waits for release, unless it
// is nil, between the head of a chunked answer and its body.
func receiveAnswer(t *testing.T, deadline time.Time, release <-chan struct{}) *gwforward.Answer {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(gw.HeaderRequestID, r.Header.Get(gw.HeaderRequestID))
		if release != nil {
			_ = http.NewResponseController(w).Flush()
			<-release
		}
		_, _ = io.WriteString(w, "whole body")
	}))
	t.Cleanup(server.Close)
	f := gwforward.New()
	t.Cleanup(f.Pool().Close)
	answer, failed := f.Send(context.Background(), &gwforward.Request{
		ID: "r1", Deadline: deadline, Method: http.MethodGet, URL: &url.URL{Path: "/"}, Host: "names.example",
		Header: http.Header{}, Address: server.Listener.Addr().String(), Connections: 1,
	})
	require.Nil(t, failed)
	return answer
}

// Guards against an answer that never left the host and is neither logged nor counted as cut off.
func TestAnswerThatCannotBeSentIsReported(t *testing.T) {
	answer := receiveAnswer(t, time.Now().Add(time.Minute), nil)
	err := answer.Write(closedWriter{httptest.NewRecorder()}, gwforward.NativeCallers{})
	require.ErrorIs(t, err, errClosed)
}

// Guards against a connection that is closed without an answer because the deadline has passed before the body arrived.
func TestAnswerThatIsLateIsReplacedByARefusal(t *testing.T) {
	release := make(chan struct{})
	deadline := time.Now().Add(time.Minute)
	answer := receiveAnswer(t, deadline, release)
	defer close(release)
	require.Nil(t, answer.CloseExpired(deadline.Add(-time.Second)))
	refusal := answer.CloseExpired(deadline)
	require.NotNil(t, refusal)
	require.Equal(t, gw.ReasonDeadlineExceeded, refusal.Reason)
	require.False(t, answer.Streamed())

	answer = receiveAnswer(t, deadline, nil)
	require.Nil(t, answer.CloseExpired(deadline), "a complete answer is delivered")
}

// Guards against a request on a reused connection that is closed because the refusal before it took long to arrive.
func TestSlowRefusalDoesNotEndTheNextRequest(t *testing.T) {
	const (
		connections = 16
		rounds      = 25
		// bodyDelay is about the time for which the body of a refusal is waited for.
		bodyDelay = 20 * time.Millisecond
	)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(gw.HeaderRequestID, r.Header.Get(gw.HeaderRequestID))
		if r.URL.Path != "/refused" {
			_, _ = io.WriteString(w, "whole body")
			return
		}
		w.Header().Set(gw.HeaderOutcome, string(gw.OutcomeNotRun))
		w.Header().Set(gw.HeaderReason, string(gw.ReasonOverloaded))
		w.Header().Set("Content-Length", "4")
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(bodyDelay)
		_, _ = io.WriteString(w, "full")
	}))
	t.Cleanup(server.Close)
	var running sync.WaitGroup
	for range connections {
		f := gwforward.New()
		t.Cleanup(f.Pool().Close)
		send := func(path string) (*gwforward.Answer, *gwforward.Failure) {
			return f.Send(context.Background(), &gwforward.Request{
				ID: "r1", Deadline: time.Now().Add(time.Minute), Method: http.MethodGet, URL: &url.URL{Path: path},
				Host: "names.example", Header: http.Header{}, Address: server.Listener.Addr().String(), Connections: 1,
				Limits: gw.ServiceLimits{ProgressMilliseconds: 60_000},
			})
		}
		running.Go(func() {
			for range rounds {
				if _, failed := send("/refused"); failed == nil || failed.Reason != gw.ReasonOverloaded {
					t.Errorf("refusal: %+v", failed)
					return
				}
				answer, failed := send("/answered")
				if failed != nil {
					t.Errorf("the request after a refusal: %s, %s", failed.Reason, failed.Detail)
					return
				}
				answer.Close()
			}
		})
	}
	running.Wait()
}
