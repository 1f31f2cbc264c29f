package gwadapter

import (
	"errors"
	"net/http"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// minStatus and maxStatus are the lowest and the highest status of a final answer.
const (
	minStatus = 200
	maxStatus = 599
)

// ErrBadHead reports an answer whose head does not follow HTTP.
var ErrBadHead = errors.New("bad head of an answer")

// RoundTrip makes a call. It returns ErrBadHead, and closes the body, for an answer that net/http accepts although its
// head does not follow HTTP. Nothing in such an answer may be used.
func RoundTrip(transport http.RoundTripper, req *http.Request) (*http.Response, error) {
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

func checkHead(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return eris.Wrapf(ErrBadHead, "version %q", resp.Proto)
	}
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return eris.Wrapf(ErrBadHead, "status %d", resp.StatusCode)
	}
	for name := range resp.Header {
		// net/http accepts names with blanks. It does not interpret such fields, so that a length in one of them does not
		// delimit the body.
		if !httpguts.ValidHeaderFieldName(name) {
			return eris.Wrapf(ErrBadHead, "header field %.40q", name)
		}
	}
	return nil
}
