package gwstore

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumworks/geraniumworks/internal/connection/gwadapter"
)

// request is one call to the store, without its endpoint.
type request struct {
	kind  callKind
	path  string
	query string
	// probeQuery replaces query for the probe of the gate: a waiting watch would keep the gate closed for as
	// long as it waits.
	probeQuery string
	// body is set for a write.
	body    []byte
	timeout time.Duration
	// answerBytes bounds the body of the answer.
	answerBytes int64
}

// reply is a complete answer.
type reply struct {
	status int
	body   []byte
}

// exchange sends a request once and reads the whole answer. The transport is used without an http.Client,
// because a client would follow a redirect by sending the body again.
func (s *Store) exchange(ctx context.Context, endpoint string, req request) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, req.timeout)
	defer cancel()
	hr, err := newHTTPRequest(ctx, endpoint, req)
	if err != nil {
		return reply{}, err
	}
	resp, err := gwadapter.RoundTrip(s.transport, hr)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := readAnswer(resp, req.answerBytes)
	if err != nil {
		return reply{}, err
	}
	return reply{status: resp.StatusCode, body: body}, nil
}

func newHTTPRequest(ctx context.Context, endpoint string, req request) (*http.Request, error) {
	target := "http://" + endpoint + req.path
	if req.query != "" {
		target += "?" + req.query
	}
	if req.body == nil {
		return http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	}
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(req.body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot send the body a second time on another connection.
	hr.GetBody = nil
	hr.Header.Set("Content-Type", "application/json")
	return hr, nil
}

func readAnswer(resp *http.Response, limit int64) ([]byte, error) {
	if resp.ContentLength > limit {
		return nil, eris.Wrapf(errBadAnswer, "answer of %d bytes", resp.ContentLength)
	}
	if resp.ContentLength >= 0 {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, eris.Wrapf(errBadAnswer, "answer of more than %d bytes", limit)
	}
	return body, nil
}
