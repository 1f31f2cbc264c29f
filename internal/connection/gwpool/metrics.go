package gwpool

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics are the counters of a pool.
type metrics struct {
	dials, dialErrors, reused, waits                 prometheus.Counter
	expired, peerClosed, discarded, silent, suspects prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	f := promauto.With(r)
	counter := func(name, help string) prometheus.Counter {
		return f.NewCounter(prometheus.CounterOpts{Namespace: "geraniumworks", Subsystem: "pool", Name: name, Help: help})
	}
	return &metrics{
		dials:      counter("dials_total", "Connections that were to be established."),
		dialErrors: counter("dial_errors_total", "Connections that could not be established."),
		reused:     counter("reused_total", "Requests that got an open connection."),
		waits:      counter("waits_total", "Requests that waited because the limit of connections was reached."),
		expired:    counter("expired_total", "Connections closed because they were unused."),
		peerClosed: counter("peer_closed_total", "Idle connections closed by the server."),
		discarded:  counter("discarded_total", "Connections closed after a request."),
		silent:     counter("silent_total", "Requests ended because the server was silent."),
		suspects:   counter("suspects_total", "Idle connections closed because one of the same age was silent."),
	}
}
