package gwfeed

import "github.com/prometheus/client_golang/prometheus"

type counters struct {
	pulls  *prometheus.CounterVec
	offers *prometheus.CounterVec
	reads  *prometheus.CounterVec
	items  *prometheus.CounterVec
}

func newCounters() counters {
	vec := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
	}
	return counters{
		pulls:  vec("geraniumworks_feed_pulls_total", "Pulls of items from relays by result.", "result"),
		offers: vec("geraniumworks_feed_offers_total", "Offers of own items to relays by result.", "result"),
		reads:  vec("geraniumworks_feed_store_reads_total", "Reads of items from the store by result.", "result"),
		items:  vec("geraniumworks_feed_items_total", "Newer items received by where they came from.", "from"),
	}
}

func result(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}
