package gwserver

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwadapter"
)

// answerBytes bounds the answer to a control message.
const answerBytes = 64 << 10

// call is one call to a control path.
type call struct {
	method  string
	name    string
	message any
	timeout time.Duration
}

// reply is a complete answer.
type reply struct {
	status int
	body   []byte
}

// exchange makes a call. Control messages may be sent twice by the transport: a grant that is repeated
// extends nothing, and the other messages are idempotent.
func (c *Client) exchange(ctx context.Context, server gw.ServerRef, cl call) (reply, error) {
	callCtx, cancel := context.WithTimeout(ctx, cl.timeout)
	defer cancel()
	req, err := newRequest(callCtx, server.Address, cl)
	if err != nil {
		return reply{}, err
	}
	resp, err := gwadapter.RoundTrip(c.transport, req)
	if err != nil {
		return reply{}, unreachable(ctx, server, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, answerBytes+1))
	if err != nil {
		return reply{}, unreachable(ctx, server, err)
	}
	if len(body) > answerBytes {
		return reply{}, eris.Wrapf(ErrBadAnswer, "answer of more than %d bytes", answerBytes)
	}
	return reply{status: resp.StatusCode, body: body}, nil
}

func newRequest(ctx context.Context, address string, cl call) (*http.Request, error) {
	var body io.Reader = http.NoBody
	if cl.message != nil {
		data, err := json.Marshal(cl.message)
		if err != nil {
			return nil, eris.Wrapf(err, "encode %s", cl.name)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, cl.method, "http://"+address+"/gw/"+cl.name, body)
	if err != nil {
		return nil, eris.Wrapf(err, "server address %q", address)
	}
	if cl.message != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// unreachable returns the error of ctx when it has ended, and ErrUnreachable otherwise.
func unreachable(ctx context.Context, server gw.ServerRef, cause error) error {
	if ctx.Err() != nil {
		return eris.Wrapf(ctx.Err(), "server %s", server.Name)
	}
	return eris.Wrapf(ErrUnreachable, "%s at %s: %v", server.Name, server.Address, cause)
}
