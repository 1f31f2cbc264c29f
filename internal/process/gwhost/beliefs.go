package gwhost

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// neverHeard is the age in seconds of what this host has never heard.
const neverHeard = -1

// registerBeliefs serves how old the things are that decisions rest on.
func (h *Host) registerBeliefs() {
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
			return neverHeard
		})
	}
	age("host-list", h.members.CurrentAt)
	age("feed", h.feed.HeardAt)
	f.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "geraniumworks_configuration_version",
		Help: "Version of the configuration in force at this host.",
	}, func() float64 { return float64(h.configInForce().Version) })
}
