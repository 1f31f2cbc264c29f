package gwquota

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	requests    *prometheus.CounterVec
	messages    *prometheus.CounterVec
	lent        prometheus.Counter
	coordinated prometheus.Gauge
}

func newMetrics() *metrics {
	return &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "geraniumworks_quota_requests_total",
			Help: "Requests of tenants with a quota by how they were decided.",
		}, []string{"verdict"}),
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "geraniumworks_quota_messages_total",
			Help: "Messages to coordinators of quotas, and checks by coordinators, by result.",
		}, []string{"kind", "result"}),
		lent: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "geraniumworks_quota_lent_total", Help: "Tokens that this host has lent as a coordinator.",
		}),
		coordinated: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "geraniumworks_quota_coordinated_tenants", Help: "Tenants whose quotas this host coordinates.",
		}),
	}
}

func (m *metrics) register(r prometheus.Registerer) {
	r.MustRegister(m.requests, m.messages, m.lent, m.coordinated)
}
