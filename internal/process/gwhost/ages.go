package gwhost

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// neverConfirmed is reported instead of an age for information that has never been confirmed.
const neverConfirmed = -1

// registerAges registers metrics for the age of the information that decisions depend on, and for the version of the
// configuration.
func (h *Host) registerAges() {
	f := promauto.With(h.registry)
	age := func(belief string, at func() time.Time) {
		f.NewGaugeFunc(prometheus.GaugeOpts{
			Name:        "geraniumworks_belief_age_seconds",
			Help:        "Time since what this host believes was last confirmed, in seconds; -1 before the first time.",
			ConstLabels: prometheus.Labels{"belief": belief},
		}, func() float64 {
			if t := at(); !t.IsZero() {
				return time.Since(t).Seconds()
			}
			return neverConfirmed
		})
	}
	age("host-list", h.members.CurrentAt)
	age("feed", h.feed.HeardAt)
	f.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "geraniumworks_configuration_version",
		Help: "Version of the configuration in force at this host.",
	}, func() float64 { return float64(h.configInForce().Version) })
}
