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

// CheckHead returns ErrBadHead for an answer that net/http accepts although its head does not follow HTTP.
func CheckHead(resp *http.Response) error {
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
