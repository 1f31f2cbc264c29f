package gwentry_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// quota has a number of tokens, and counts those taken and given back.
type quota struct{ tokens, taken, back atomic.Int64 }

func (q *quota) Admit(context.Context, gw.Tenant) (func(), *gw.Refusal) {
	if q.tokens.Add(-1) < 0 {
		return nil, gw.Refuse(gw.ReasonTenantLimit, "no token").WithRetryAfter(70)
	}
	q.taken.Add(1)
	return func() { q.back.Add(1) }, nil
}

// Guards against retries that take tokens, against a token that is kept for a request that no server has run or given
// back for one that may have run, and against a refusal without a time to return.
func TestRequestTakesOneToken(t *testing.T) {
	q := &quota{}
	q.tokens.Store(3)
	server := echoServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/claims/cut" {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusOK)
	})
	sys := newSystem(t, setup{
		servers: map[gw.ServerName]string{"s1": server, "s2": server}, quota: q, limits: gw.ServiceLimits{RetryPercent: 100},
	})
	sys.dispatcher.refusal["s1"] = gw.Refuse(gw.ReasonNoServer, "not the dispatcher")
	require.Equal(t, http.StatusOK, sys.do("GET", "/claims/a", nil).status)
	require.Equal(t, http.StatusBadGateway, sys.do("POST", "/claims/cut", nil).status)
	require.EqualValues(t, 2, q.taken.Load())
	require.Zero(t, q.back.Load())
	sys.dispatcher.refusal["s2"] = sys.dispatcher.refusal["s1"]
	require.Equal(t, http.StatusServiceUnavailable, sys.do("GET", "/claims/a", nil).status)
	require.EqualValues(t, 3, q.taken.Load())
	require.EqualValues(t, 1, q.back.Load())
	refused := sys.do("GET", "/claims/a", nil)
	require.Equal(t, http.StatusTooManyRequests, refused.status)
	require.Equal(t, gw.ReasonTenantLimit, refused.reason())
	require.Equal(t, "1", refused.header.Get("Retry-After"))
	require.Equal(t, "70", refused.header.Get(gw.HeaderRetryAfter))
}
