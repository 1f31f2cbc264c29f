package gwstore

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/geraniumworks/geraniumworks/internal/connection/gwadapter"
)

// callKind is the kind label of the counter of calls.
type callKind string

const (
	kindGet            callKind = "get"
	kindList           callKind = "list"
	kindCompareAndSwap callKind = "compare-and-swap"
	kindWatch          callKind = "watch"
)

// callResult is the result label of the counter of calls.
type callResult string

const (
	resultOK           callResult = "ok"
	resultUnchanged    callResult = "unchanged"
	resultNotFound     callResult = "not-found"
	resultConflict     callResult = "conflict"
	resultTooLarge     callResult = "too-large"
	resultRefused      callResult = "refused"
	resultLimited      callResult = "limited"
	resultUnavailable  callResult = "unavailable"
	resultBadAnswer    callResult = "bad-answer"
	resultWriteUnknown callResult = "write-unknown"
	resultCallBudget   callResult = "call-budget"
	resultHeldBack     callResult = "held-back"
	resultCancelled    callResult = "cancelled"
)

// newCounter returns the counter of calls. Results call-budget, held-back and, for values above the limit,
// too-large count calls that were not made.
func newCounter(r prometheus.Registerer) (*prometheus.CounterVec, error) {
	counter := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "geraniumworks_store_calls_total",
		Help: "Calls to the store by kind, purpose and result.",
	}, []string{"kind", "purpose", "result"})
	return gwadapter.Counter(r, counter)
}
