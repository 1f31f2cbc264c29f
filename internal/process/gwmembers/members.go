// Package gwmembers maintains the latest listing of hosts and servers, as read from the host list.
package gwmembers

import (
	"cmp"
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
	// pollTimeout limits one reading.
	pollTimeout = time.Second
	// leavingRetention is how long a server that has left is remembered. No lease names such a server for so long.
	leavingRetention = time.Minute
	// maxLeavingAge limits how far in the past the leaving of a server is dated after an outage of the list. It is longer
	// than the time for which a leaving server is still sent requests, and shorter than leavingRetention.
	maxLeavingAge = 10 * time.Second
	// equalNotifyInterval is the minimum time between notifications of listings with equal entries. Each heartbeat of a
	// server creates a newer listing, which every other host would have to process.
	equalNotifyInterval = time.Second
	// renumberAfter is the number of equal listings after which a listing gets a new number nevertheless. A controller
	// drops a server that is no longer listed only when it receives a listing, and only once no host sends to the server
	// any more. This can be later than the listing that removed the server.
	renumberAfter = 5
)

// Members holds the latest listing. It is safe for concurrent use.
type Members struct {
	list  gw.HostList
	log   *slog.Logger
	reads *prometheus.CounterVec

	// notify is called with newer listings that this host has read, see applyReading.
	notify func(gw.Listing)

	mu            sync.Mutex
	listing       gw.Listing
	number        uint64
	equalReadings int
	failing       bool
	// readAt is when this host itself last read the list.
	readAt time.Time
	// notifiedAt is when notify was last due.
	notifiedAt time.Time
	// parts holds the revision of the servers of each data centre, which other hosts pass on apart.
	parts map[gw.DataCentreName]uint64
	// receivedAt returns the last time at which what other hosts pass on was known to be up to date.
	receivedAt func() time.Time
	// leaving holds for each server that is leaving or no longer listed since when this may have been so.
	leaving map[gw.ServerName]time.Time
	// told holds the run of each server that has said in an answer that it leaves. The list may still name it as live.
	told map[gw.ServerName]gw.Incarnation
}

// Option configures Members.
type Option func(*Members)

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(l *slog.Logger) Option {
	return func(m *Members) { m.log = l }
}

// WithNotify sets a function that is called with newer listings that this host has read: each one whose entries have
// changed, and at intervals one with equal entries.
func WithNotify(newer func(gw.Listing)) Option {
	return func(m *Members) { m.notify = newer }
}

// WithReceivedAt sets a function that returns the last time at which listings of other hosts were known to be up to
// date here. By default there is none.
func WithReceivedAt(at func() time.Time) Option {
	return func(m *Members) { m.receivedAt = at }
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
		notify:  func(gw.Listing) {},
		leaving: map[gw.ServerName]time.Time{},
		parts:   map[gw.DataCentreName]uint64{},
		told:    map[gw.ServerName]gw.Incarnation{},

		receivedAt: func() time.Time { return time.Time{} },
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

// Listing returns the latest listing and its number, which is zero while there is no listing. The number increases with
// each listing that differs from the previous one, and with each renumberAfter-th equal one.
func (m *Members) Listing() (gw.Listing, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listing, m.number
}

// CurrentAt returns the last time at which the listing was known to be up to date, zero before the first reading. It
// is the time that the host list reports, or that at which other hosts reported it to be up to date, or the time of
// the last reading if there is neither.
func (m *Members) CurrentAt() time.Time {
	if at := m.knownAt(); !at.IsZero() {
		return at
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.readAt
}

// knownAt returns the last time at which the list or other hosts reported the listing to be up to date.
func (m *Members) knownAt() time.Time {
	own, received := m.list.CurrentAt(), m.receivedAt()
	if received.After(own) {
		return received
	}
	return own
}

// Hosts returns the hosts in the latest listing.
func (m *Members) Hosts() []gw.HostEntry {
	listing, _ := m.Listing()
	return listing.Hosts
}

// HostCount returns the number of hosts in the latest listing.
func (m *Members) HostCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.listing.Hosts)
}

// Run reads the host list periodically, and whenever it reports a change, until ctx ends. While the list cannot be
// read, the latest listing stays in use.
func (m *Members) Run(ctx context.Context) error {
	for {
		m.read(ctx)
		// Jitter prevents hosts that were started together from reading at the same time.
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
	if m.applyReading(listing, err) {
		m.notify(listing)
	}
}

// applyReading applies a listing that this host has read, or a failure to read one. It reports whether to notify
// others: the listing has the highest revision known, and it differs from the previous one or equalNotifyInterval has
// passed.
func (m *Members) applyReading(listing gw.Listing, err error) bool {
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
	newest := listing.Revision > m.listing.Revision || listing.HostsRevision > m.listing.HostsRevision
	listing = m.withNewerParts(listing)
	if m.number > 0 {
		listing.Servers = m.withoutRemoved(listing.Servers)
	}
	// Each new number makes the controllers of all cells of the region sort the hosts again.
	m.equalReadings++
	if m.number > 0 && m.equalReadings < renumberAfter && equalListings(listing, m.listing) {
		m.listing.Revision, m.listing.HostsRevision = listing.Revision, listing.HostsRevision
		if now := time.Now(); newest && now.Sub(m.notifiedAt) >= equalNotifyInterval {
			m.notifiedAt = now
			return true
		}
		return false
	}
	m.equalReadings = 0
	m.notifiedAt = time.Now()
	m.recordLeaving(m.listing.Servers, listing.Servers, listing.ChangedAfter)
	m.listing = listing
	m.number++
	return newest
}

// withNewerParts returns a listing that this host has read in which what another host has read at a newer revision
// replaces older entries. The caller holds mu.
func (m *Members) withNewerParts(listing gw.Listing) gw.Listing {
	if listing.HostsRevision < m.listing.HostsRevision {
		listing.Hosts, listing.HostsRevision = m.listing.Hosts, m.listing.HostsRevision
	}
	if listing.Revision == 0 && len(m.parts) > 0 {
		// The list has told this host nothing about servers yet.
		listing.Servers, listing.Revision = m.listing.Servers, m.listing.Revision
		return listing
	}
	m.noteParts(listing)
	newer := func(s gw.ServerEntry) bool { return m.parts[s.DataCentre] > listing.Revision }
	if !slices.ContainsFunc(m.listing.Servers, newer) && !slices.ContainsFunc(listing.Servers, newer) {
		return listing
	}
	servers := slices.DeleteFunc(slices.Clone(listing.Servers), newer)
	for _, s := range m.listing.Servers {
		if newer(s) {
			servers = append(servers, s)
		}
	}
	listing.Servers = sortedByName(servers)
	listing.Revision = max(listing.Revision, m.listing.Revision)
	return listing
}

// noteParts records the revision of a listing for the data centres of its servers and of those known before, unless
// they have a newer one. The caller holds mu.
func (m *Members) noteParts(listing gw.Listing) {
	if listing.Revision == 0 {
		return
	}
	for dc, revision := range m.parts {
		m.parts[dc] = max(revision, listing.Revision)
	}
	for _, s := range listing.Servers {
		m.parts[s.DataCentre] = max(m.parts[s.DataCentre], listing.Revision)
	}
}

func sortedByName(servers []gw.ServerEntry) []gw.ServerEntry {
	slices.SortFunc(servers, func(x, y gw.ServerEntry) int { return cmp.Compare(x.Name, y.Name) })
	return servers
}

// withoutRemoved omits lapsed entries of servers that this host already knows to be removed: it may be only the
// reader of these entries that was cut off from the list. The caller holds mu.
func (m *Members) withoutRemoved(servers []gw.ServerEntry) []gw.ServerEntry {
	return slices.DeleteFunc(slices.Clone(servers), func(s gw.ServerEntry) bool {
		return s.Lapsed && !slices.ContainsFunc(m.listing.Servers, func(current gw.ServerEntry) bool {
			return current.Name == s.Name
		})
	})
}

// recordLeaving records which servers are leaving or no longer listed, and since when. A zero since means now. The
// caller holds mu.
func (m *Members) recordLeaving(before, after []gw.ServerEntry, since time.Time) {
	now := time.Now()
	if since.IsZero() {
		since = now
	}
	if oldest := now.Add(-maxLeavingAge); since.Before(oldest) {
		since = oldest
	}
	live := make(map[gw.ServerName]bool, len(after))
	for _, s := range after {
		if live[s.Name] = s.State == gw.EntryLive; live[s.Name] {
			if run, ok := m.told[s.Name]; ok && run == s.Incarnation {
				continue
			}
			delete(m.leaving, s.Name)
			delete(m.told, s.Name)
		} else if _, ok := m.leaving[s.Name]; !ok {
			m.leaving[s.Name] = since
		}
	}
	for _, s := range before {
		if _, ok := m.leaving[s.Name]; !ok && !live[s.Name] {
			m.leaving[s.Name] = since
		}
	}
	for name, at := range m.leaving {
		if now.Sub(at) > leavingRetention && !live[name] {
			delete(m.leaving, name)
			delete(m.told, name)
		}
	}
}

// LeavingSince returns since when a server may have been leaving or no longer listed, and false when it is not known to
// be either.
func (m *Members) LeavingSince(name gw.ServerName) (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	since, ok := m.leaving[name]
	return since, ok
}

// ReportLeaving records that a run of a server has said in an answer that it leaves. It counts until the list names
// another run of the server, whatever state it names for this one.
func (m *Members) ReportLeaving(name gw.ServerName, run gw.Incarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := slices.IndexFunc(m.listing.Servers, func(s gw.ServerEntry) bool { return s.Name == name })
	if i >= 0 && m.listing.Servers[i].Incarnation != run {
		// The answer of an earlier run says nothing about the present one.
		return
	}
	m.told[name] = run
	if _, ok := m.leaving[name]; !ok {
		m.leaving[name] = time.Now()
	}
}

// ApplyRemote takes over the hosts, and the servers of one data centre, of a listing that another host has read, as
// far as they are newer than the latest ones.
func (m *Members) ApplyRemote(listing gw.Listing) {
	// The source of this time has a lock of its own.
	knownAt := m.knownAt()
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := false
	if listing.HostsRevision > m.listing.HostsRevision {
		m.listing.Hosts, m.listing.HostsRevision = listing.Hosts, listing.HostsRevision
		changed = true
	}
	if listing.Revision > m.parts[listing.DataCentre] {
		others := slices.DeleteFunc(slices.Clone(m.listing.Servers), func(s gw.ServerEntry) bool {
			return s.DataCentre == listing.DataCentre
		})
		servers := sortedByName(append(others, m.withoutRemoved(listing.Servers)...))
		// The other host may have read the list long ago, but not before the time at which this host last knew its own
		// entries to be up to date.
		m.recordLeaving(m.listing.Servers, servers, knownAt)
		m.listing.Servers, m.listing.Revision = servers, max(m.listing.Revision, listing.Revision)
		m.parts[listing.DataCentre] = listing.Revision
		changed = true
	}
	if changed {
		m.number++
	}
}

// equalListings reports whether two listings have the same entries in the same order.
func equalListings(x, y gw.Listing) bool {
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
