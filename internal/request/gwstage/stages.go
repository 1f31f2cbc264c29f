// Package gwstage counts how long requests spend in each stage of their way.
package gwstage

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Stage is a part of a request's way.
type Stage string

// The stages. An attempt at another host takes the time of its queue and server there, and of the hop between them.
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

// bounds are the upper bounds of the buckets in seconds: fine around the times that servers take and the objectives of
// the routes, 0.1 to 1.5 s on the users' sites, and up to their longest deadline.
var bounds = []float64{0.001, 0.005, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8}

// Times is a histogram of each stage.
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

// Since adds the time from start until now, with the values of the labels.
func (t *Times) Since(start time.Time, stage Stage, values ...string) {
	t.histograms.WithLabelValues(append([]string{string(stage)}, values...)...).Observe(time.Since(start).Seconds())
}
