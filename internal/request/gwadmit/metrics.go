package gwadmit

import (
	"github.com/prometheus/client_golang/prometheus"

	gw "github.com/geraniumworks/geraniumworks"
)

type metrics struct {
	admitted *prometheus.CounterVec
	refusals *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		admitted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "geraniumworks_admit_admitted_total", Help: "Requests that the entry host accepted.",
		}, []string{"service"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "geraniumworks_admit_refused_total", Help: "Requests that the entry host refused, all not-run.",
		}, []string{"service", "reason"}),
	}
	if r != nil {
		r.MustRegister(m.admitted, m.refusals)
	}
	return m
}

func (m *metrics) refused(service gw.ServiceName, reason gw.Reason) {
	m.refusals.WithLabelValues(string(service), string(reason)).Inc()
}
