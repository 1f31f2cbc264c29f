package gwdispatch

import (
	"unicode/utf8"

	"github.com/prometheus/client_golang/prometheus"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwcost"
)

type metrics struct {
	granted   *prometheus.CounterVec
	refusals  *prometheus.CounterVec
	doneTwice prometheus.Counter
	outliers  *prometheus.GaugeVec
	rules     *prometheus.CounterVec
	promises  *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		granted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "geraniumworks_dispatch_granted_total", Help: "Requests that got a slot of a backend server.",
		}, []string{"service"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "geraniumworks_dispatch_refused_total", Help: "Requests that the dispatcher refused, all not-run.",
		}, []string{"service", "reason"}),
		doneTwice: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "geraniumworks_dispatch_done_twice_total", Help: "Slots that were given back more than once.",
		}),
		outliers: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "geraniumworks_dispatch_outliers", Help: "Servers of this host that are slow, stuck or failing.",
		}, []string{"service"}),
	}
	m.rules = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "geraniumworks_dispatch_refused_by_rule_total",
		Help: "Requests of cost-aware services that the dispatcher refused for want of capacity, by the rule that decided.",
	}, []string{"service", "rule"})
	m.promises = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "geraniumworks_dispatch_promised_returns_total",
		Help: "Refused callers of cost-aware services for whose return capacity was set aside.",
	}, []string{"service"})
	if r != nil {
		r.MustRegister(m.granted, m.refusals, m.doneTwice, m.outliers, m.rules, m.promises)
	}
	return m
}

// refusedByRule counts a refusal of a request of a cost-aware service.
func (m *metrics) refusedByRule(r *request) {
	if r.rule == "" {
		return
	}
	m.rules.WithLabelValues(string(r.Service), r.rule).Inc()
	if r.returns {
		m.promises.WithLabelValues(string(r.Service)).Inc()
	}
}

// costCollector reports the costs of the models in use. There are at most as many series as models have classes.
type costCollector struct {
	models             func() map[gw.ServiceName]*gwcost.Model
	expected, observed *prometheus.Desc
}

func newCostCollector(models func() map[gw.ServiceName]*gwcost.Model) *costCollector {
	labels := []string{"class", "service"}
	return &costCollector{
		models: models,
		expected: prometheus.NewDesc("geraniumworks_dispatch_expected_cost_seconds_total",
			"Expected time in slots of the requests that ended, by cost class.", labels, nil),
		observed: prometheus.NewDesc("geraniumworks_dispatch_observed_cost_seconds_total",
			"Time in slots of the same requests, by cost class.", labels, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *costCollector) Describe(out chan<- *prometheus.Desc) {
	out <- c.expected
	out <- c.observed
}

// Collect implements prometheus.Collector.
func (c *costCollector) Collect(out chan<- prometheus.Metric) {
	for service, model := range c.models() {
		for _, t := range model.Totals() {
			class := string(t.Class)
			if !utf8.ValidString(class) {
				// Labels have to be valid, and a class arrives in a header.
				continue
			}
			out <- prometheus.MustNewConstMetric(
				c.expected, prometheus.CounterValue, t.Expected.Seconds(), class, string(service))
			out <- prometheus.MustNewConstMetric(
				c.observed, prometheus.CounterValue, t.Observed.Seconds(), class, string(service))
		}
	}
}

func (m *metrics) refused(service gw.ServiceName, reason gw.Reason) {
	m.refusals.WithLabelValues(string(service), string(reason)).Inc()
}
