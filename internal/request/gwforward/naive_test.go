package gwforward_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
)

// delivered is the result of a request that a forwarder reports.
type delivered struct {
	outcome gw.Outcome
	reason  gw.Reason
	status  int
	body    string
	// cut is true when the caller can see that the answer is incomplete.
	cut bool
}

// naiveForwarder sends requests with a plain http.Client and believes its result. The real forwarder is compared with
// it.
type naiveForwarder struct{ client *http.Client }

func (n naiveForwarder) send(ctx context.Context, r *gwforward.Request, body io.Reader) delivered {
	target := url.URL{Scheme: "http", Host: r.Address, Path: r.URL.Path}
	out, err := http.NewRequestWithContext(ctx, r.Method, target.String(), body)
	if err != nil {
		return delivered{outcome: gw.OutcomeNotRun, reason: gw.ReasonBadRequest}
	}
	out.Header = r.Header.Clone()
	out.Header.Set(gw.HeaderRequestID, r.ID)
	resp, err := n.client.Do(out)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			return delivered{outcome: gw.OutcomeUnknown, reason: gw.ReasonDeadlineExceeded}
		}
		// The error does not tell a failure to connect from a lost connection.
		return delivered{outcome: gw.OutcomeNotRun, reason: gw.ReasonNoServer}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return delivered{outcome: gw.OutcomeAnswered, status: resp.StatusCode, body: string(data), cut: err != nil}
}
