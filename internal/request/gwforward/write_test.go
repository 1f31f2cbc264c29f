package gwforward_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
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

// receiveAnswer sends a request to a server of its own and returns the answer.
func receiveAnswer(t *testing.T, deadline time.Time) *gwforward.Answer {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(gw.HeaderRequestID, r.Header.Get(gw.HeaderRequestID))
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
	answer := receiveAnswer(t, time.Now().Add(time.Minute))
	err := answer.Write(closedWriter{httptest.NewRecorder()}, gwforward.NativeCallers{})
	require.ErrorIs(t, err, errClosed)
}
