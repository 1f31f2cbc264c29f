package gwhostlist

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/geraniumworks/geraniumworks/internal/connection/gwadapter"
)

const (
	resultOK          = "ok"
	resultUnavailable = "unavailable"
	resultBadListing  = "bad-listing"
)

func newCounter(r prometheus.Registerer) (*prometheus.CounterVec, error) {
	counter := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "geraniumworks_host_list_calls_total",
		Help: "Calls to the host list by result.",
	}, []string{"result"})
	return gwadapter.Counter(r, counter)
}

func (l *List) count(result string) {
	l.calls.WithLabelValues(result).Inc()
}
