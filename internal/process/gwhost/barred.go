package gwhost

import (
	"sync"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

const (
	// leavingGrace is how long after a server may have begun to leave this host still sends what the server's controller
	// lets it send. Leaving servers serve for 2.5 s at least.
	leavingGrace = 1900 * time.Millisecond
	// outGrace is the same for servers that operators took out, which must get nothing after 5 s.
	outGrace = 4 * time.Second
)

// outages remembers since when the servers of data centres are out of service.
type outages struct {
	mu    sync.Mutex
	since map[gw.DataCentreName]time.Time
}

// note takes over a configuration.
func (o *outages) note(cfg gw.Config) {
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

func (o *outages) longerThan(dc gw.DataCentreName, d time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	since, ok := o.since[dc]
	return ok && time.Since(since) > d
}

// barred reports whether a server must get nothing more. It is the last check before a request is sent, for hosts whose
// controllers learn late that the server leaves.
func (h *Host) barred(name gw.ServerName) bool {
	if since, ok := h.members.LeavingSince(name); ok && time.Since(since) > leavingGrace {
		return true
	}
	dc, ok := h.members.DataCentreOf(name)
	return ok && h.outages.longerThan(dc, outGrace)
}
