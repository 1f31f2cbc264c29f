// Package gwstage records how long requests spend in each stage of processing.
package gwstage

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Stage is a stage of processing of a request.
type Stage string

// The stages. An attempt at another host includes the queue and server stages there and the hop between the hosts.
const (
	// StageRequest is at the entry host, from the head of the request to the head of the answer or the refusal.
	StageRequest Stage = "request"
	// StageAttempt is at the entry host, from the choice of a server to the head of its answer or the refusal.
	StageAttempt Stage = "attempt"
	// StageQueue is at the dispatcher, from the arrival of an attempt until it gets a slot or is refused one.
	StageQueue Stage = "queue"
	// StageServer is at the dispatcher, from the sending to a backend server to the head of its answer or the failure.
	StageServer Stage = "server"
)

// bounds are the upper bounds of the buckets in seconds. They are fine around the service times of servers and the
// objectives of the routes, 0.1 to 1.5 s on the users' sites, and reach up to the longest deadline.
var bounds = []float64{0.001, 0.005, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8}

// Times holds a histogram for each stage.
type Times struct {
	histograms *prometheus.HistogramVec
}

// New registers the histograms of a subsystem, with labels beside the stage. A nil registerer registers nothing.
func New(r prometheus.Registerer, subsystem string, labels ...string) *Times {
	return &Times{histograms: promauto.With(r).NewHistogramVec(prometheus.HistogramOpts{
		Namespace: "geraniumworks", Subsystem: subsystem, Name: "stage_seconds",
		Help: "Time that requests spend in each stage, in seconds.", Buckets: bounds,
	}, append([]string{"stage"}, labels...))}
}

// Since records the time from start until now, with the values of the labels.
func (t *Times) Since(start time.Time, stage Stage, values ...string) {
	t.histograms.WithLabelValues(append([]string{string(stage)}, values...)...).Observe(time.Since(start).Seconds())
}
