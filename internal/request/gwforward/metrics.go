package gwforward

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	gw "github.com/geraniumworks/geraniumworks"
)

// metrics holds the counters of a forwarder.
type metrics struct {
	answered prometheus.Counter
	stale    prometheus.Counter
	refused  *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	f := promauto.With(r)
	name := func(n, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Namespace: "geraniumworks", Subsystem: "forward", Name: n, Help: help}
	}
	return &metrics{
		answered: f.NewCounter(name("answered_total", "Attempts that got the head of an answer.")),
		stale: f.NewCounter(name("stale_connections_total",
			"Connections found closed before a byte of a request was sent on them.")),
		refused: f.NewCounterVec(name("refused_total", "Attempts without an answer."), []string{"to", "reason"}),
	}
}

func (m *metrics) count(r *Request, reason gw.Reason) {
	to := "server"
	if r.Relay {
		to = "relay"
	}
	m.refused.WithLabelValues(to, string(reason)).Inc()
}
