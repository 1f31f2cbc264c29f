package gwhost

import (
	"sync"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

const (
	// leavingGrace is how long this host goes on sending to a server as its controller permits, counted from the earliest
	// time at which the server may have begun to leave. Leaving servers serve for at least 2.5 s.
	leavingGrace = 1900 * time.Millisecond
	// outOfServiceGrace is the same for servers that operators took out of service. They must get no requests after 5 s,
	// counted from the operators' change, of which a loaded host hears up to 2 s later.
	outOfServiceGrace = 3 * time.Second
)

// outOfServiceTimes records since when the servers of data centres are out of service.
type outOfServiceTimes struct {
	mu    sync.Mutex
	since map[gw.DataCentreName]time.Time
}

// update applies a configuration. Data centres that were out of service before keep their times.
func (o *outOfServiceTimes) update(cfg gw.Config) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	since := make(map[gw.DataCentreName]time.Time)
	for _, region := range cfg.Regions {
		for _, dc := range region.DataCentres {
			if !cfg.ServersOut("", dc) {
				continue
			}
			since[dc] = now
			if earlier, ok := o.since[dc]; ok {
				since[dc] = earlier
			}
		}
	}
	o.since = since
}

// longerThan reports whether the servers of a data centre have been out of service for longer than d.
func (o *outOfServiceTimes) longerThan(dc gw.DataCentreName, d time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	since, ok := o.since[dc]
	return ok && time.Since(since) > d
}

// blocked reports whether a server must not get any more requests. It is the last check before a request is sent, for
// the case that the server's controller learns late that the server is leaving.
func (h *Host) blocked(name gw.ServerName) bool {
	if since, ok := h.members.LeavingSince(name); ok && time.Since(since) > leavingGrace {
		return true
	}
	dc, ok := h.members.DataCentreOf(name)
	return ok && h.outOfService.longerThan(dc, outOfServiceGrace)
}
