package gwcontrol

import "github.com/prometheus/client_golang/prometheus"

type counters struct {
	events      *prometheus.CounterVec
	actions     *prometheus.CounterVec
	stepSeconds prometheus.Counter
	cells       prometheus.Gauge
	standby     prometheus.Gauge
	unreadable  *prometheus.CounterVec
}

func newCounters() counters {
	return counters{
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "geraniumworks_control_events_total",
			Help: "Changes of state of the cells this host controls or watches, by kind.",
		}, []string{"kind"}),
		actions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "geraniumworks_control_actions_total",
			Help: "Messages and store calls of the control loop, by kind and result.",
		}, []string{"kind", "result"}),
		stepSeconds: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "geraniumworks_control_step_seconds_total",
			Help: "Time spent in decisions of the control loop, in seconds.",
		}),
		cells: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "geraniumworks_control_cells",
			Help: "Cells that this host controls.",
		}),
		standby: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "geraniumworks_control_standby_cells",
			Help: "Cells of which this host keeps the state, because it controls them or may soon have to.",
		}),
		unreadable: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "geraniumworks_control_unreadable_records_total",
			Help: "Reads of a record of the store that cannot be decoded, as a whole or in some fields, by its key.",
		}, []string{"key"}),
	}
}

func (c counters) register(r prometheus.Registerer) {
	r.MustRegister(c.events, c.actions, c.stepSeconds, c.cells, c.standby, c.unreadable)
}

func (c counters) countAction(kind string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	c.actions.WithLabelValues(kind, result).Inc()
}
