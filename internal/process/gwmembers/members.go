// Package gwmembers keeps the latest reading of the platform's host list.
package gwmembers

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	gw "github.com/geraniumworks/geraniumworks"
)

const (
	// pollInterval is the mean time between readings of the host list.
	pollInterval = 2 * time.Second
	// pollTimeout bounds one reading.
	pollTimeout = time.Second
	// forgetLeaving is how long a server that has left is remembered. No lease names it for so long.
	forgetLeaving = time.Minute
	// oldestLeaving bounds how far back the leaving of a server is dated after an outage. It is longer than any server
	// that leaves is still sent requests, and shorter than forgetLeaving.
	oldestLeaving = 10 * time.Second
	// tellEqual is the time between equal listings that others are told of. Each heartbeat of a server makes a newer
	// reading, which every host would take in.
	tellEqual = time.Second
	// repeatAfter is the number of equal listings after which a listing gets a new number nevertheless. A controller
	// forgets a server that is no longer listed only when it is shown a listing, and may do so only once nobody
	// sends to the server, which can be later than the listing that dropped it.
	repeatAfter = 5
)

// Members holds the latest listing. It is safe for concurrent use.
type Members struct {
	list  gw.HostList
	log   *slog.Logger
	reads *prometheus.CounterVec

	// newer is told of each newer reading of this host.
	newer func(gw.Listing)

	mu      sync.Mutex
	listing gw.Listing
	number  uint64
	equal   int
	failing bool
	// readAt is when this host last read the list itself.
	readAt time.Time
	// toldAt is when the others were last told of a reading.
	toldAt time.Time
	// leaving is since when each server may have been leaving or no longer listed, as far as this host knows.
	leaving map[gw.ServerName]time.Time
}

// Option configures Members.
type Option func(*Members)

// WithLogger sets the logger for changes of state.
func WithLogger(l *slog.Logger) Option {
	return func(m *Members) { m.log = l }
}

// WithNewer sets a function that is told of each newer reading of this host.
func WithNewer(newer func(gw.Listing)) Option {
	return func(m *Members) { m.newer = newer }
}

// WithRegisterer registers the counters.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(m *Members) { r.MustRegister(m.reads) }
}

// New returns Members that read a host list.
func New(list gw.HostList, opts ...Option) *Members {
	m := &Members{
		list:    list,
		log:     slog.New(slog.DiscardHandler),
		newer:   func(gw.Listing) {},
		leaving: map[gw.ServerName]time.Time{},
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "geraniumworks_host_list_reads_total",
			Help: "Readings of the host list by result.",
		}, []string{"result"}),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Listing returns the latest listing and its number, which is zero while there is none. It increases with each
// listing that differs from the one before, and with each repeatAfter-th equal one.
func (m *Members) Listing() (gw.Listing, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listing, m.number
}

// CurrentAt returns the time up to which the listing is known to be complete, zero before the first reading: what the
// host list says of itself, or else when it was last read.
func (m *Members) CurrentAt() time.Time {
	if at := m.list.CurrentAt(); !at.IsZero() {
		return at
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.readAt
}

// Hosts returns the hosts in the latest listing.
func (m *Members) Hosts() []gw.HostEntry {
	listing, _ := m.Listing()
	return listing.Hosts
}

// Run reads the host list at intervals, and when it is known to have changed, until ctx ends. While the list
// cannot be read, the latest listing stays in use.
func (m *Members) Run(ctx context.Context) error {
	for {
		m.read(ctx)
		// Jitter keeps a fleet that was started at once from reading in step.
		timer := time.NewTimer(pollInterval/2 + rand.N(pollInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-m.list.Changed():
			timer.Stop()
		case <-timer.C:
		}
	}
}

func (m *Members) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	listing, err := m.list.Hosts(ctx)
	if m.take(listing, err) {
		m.newer(listing)
	}
}

// take applies a reading and reports whether others are to be told of it: it is the newest one known, and differs from
// the one before or is the first equal one for a while.
func (m *Members) take(listing gw.Listing, err error) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.reads.WithLabelValues("failed").Inc()
		if !m.failing {
			m.log.Warn("host list cannot be read", "error", err)
		}
		m.failing = true
		return false
	}
	m.reads.WithLabelValues("ok").Inc()
	m.readAt = time.Now()
	if m.failing {
		m.log.Info("host list can be read again")
	}
	m.failing = false
	if listing.Revision < m.listing.Revision {
		// Another host has read newer entries of servers.
		listing.Servers, listing.Revision = m.listing.Servers, m.listing.Revision
	}
	if m.number > 0 {
		listing.Servers = m.withoutGone(listing.Servers)
	}
	// Each new number makes the controllers of all cells of the region order the hosts again.
	m.equal++
	newest := listing.Revision > m.listing.Revision
	if m.number > 0 && m.equal < repeatAfter && same(listing, m.listing) {
		m.listing.Revision = listing.Revision
		if now := time.Now(); newest && now.Sub(m.toldAt) >= tellEqual {
			m.toldAt = now
			return true
		}
		return false
	}
	m.equal = 0
	m.toldAt = time.Now()
	m.noteLeaving(m.listing.Servers, listing.Servers, listing.ChangedAfter)
	m.listing = listing
	m.number++
	return newest
}

// withoutGone leaves out the lapsed entries that this host already knows to be gone: the reader of the list may
// have been cut off from it alone. The caller holds mu.
func (m *Members) withoutGone(servers []gw.ServerEntry) []gw.ServerEntry {
	return slices.DeleteFunc(slices.Clone(servers), func(s gw.ServerEntry) bool {
		return s.Lapsed && !slices.ContainsFunc(m.listing.Servers, func(known gw.ServerEntry) bool {
			return known.Name == s.Name
		})
	})
}

// noteLeaving remembers since when servers are leaving or gone. A zero since means now. The caller holds mu.
func (m *Members) noteLeaving(before, after []gw.ServerEntry, since time.Time) {
	now := time.Now()
	if since.IsZero() {
		since = now
	}
	if oldest := now.Add(-oldestLeaving); since.Before(oldest) {
		since = oldest
	}
	stays := make(map[gw.ServerName]bool, len(after))
	for _, s := range after {
		if stays[s.Name] = s.State == gw.EntryLive; stays[s.Name] {
			delete(m.leaving, s.Name)
		} else if _, ok := m.leaving[s.Name]; !ok {
			m.leaving[s.Name] = since
		}
	}
	for _, s := range before {
		if _, ok := m.leaving[s.Name]; !ok && !stays[s.Name] {
			m.leaving[s.Name] = since
		}
	}
	for name, at := range m.leaving {
		if now.Sub(at) > forgetLeaving {
			delete(m.leaving, name)
		}
	}
}

// LeavingSince returns since when a server may have been leaving or gone, and false when this host does not know that
// it is.
func (m *Members) LeavingSince(name gw.ServerName) (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	since, ok := m.leaving[name]
	return since, ok
}

// Offer takes over the servers in a reading of another host when it is newer than the own one.
func (m *Members) Offer(listing gw.Listing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if listing.Revision <= m.listing.Revision {
		return
	}
	servers := m.withoutGone(listing.Servers)
	// The other host may have read it long before, but not before this one knew the servers to be live.
	m.noteLeaving(m.listing.Servers, servers, m.list.CurrentAt())
	m.listing.Servers, m.listing.Revision = servers, listing.Revision
	m.number++
}

// same reports whether two listings have the same entries in the same order.
func same(x, y gw.Listing) bool {
	return slices.Equal(x.Hosts, y.Hosts) && slices.Equal(x.Servers, y.Servers)
}

// DataCentreOf returns the data centre of a listed server.
func (m *Members) DataCentreOf(name gw.ServerName) (gw.DataCentreName, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.listing.Servers {
		if s.Name == name {
			return s.DataCentre, true
		}
	}
	return "", false
}
