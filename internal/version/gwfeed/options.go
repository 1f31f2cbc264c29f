package gwfeed

import (
	"context"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	gw "github.com/geraniumworks/geraniumworks"
)

// Source reads items from the store.
type Source interface {
	// Next waits until the store holds a newer version of an item than those in have and returns the newer
	// items. It returns gw.ErrNotFound when the store holds none at all.
	Next(ctx context.Context, have map[gw.Topic]gw.ItemVersion) ([]gw.Item, error)
	// Current returns the items in the store without waiting, or gw.ErrNotFound when it holds none.
	Current(ctx context.Context) ([]gw.Item, error)
}

// Option configures a Feed.
type Option func(*Feed)

// WithHub sets the hub that the feed fills. It is required.
func WithHub(h *Hub) Option {
	return func(f *Feed) { f.hub = h }
}

// WithPeer sets how other hosts are reached. It is required.
func WithPeer(p gw.Peer) Option {
	return func(f *Feed) { f.peer = p }
}

// WithSource sets how the store is read. It is required.
func WithSource(s Source) Option {
	return func(f *Feed) { f.source = s }
}

// WithSelf sets the entry of this host and the id of this process.
func WithSelf(host gw.HostEntry, instance gw.InstanceID) Option {
	return func(f *Feed) {
		f.self = host
		f.instance = instance
	}
}

// WithHosts sets a function that returns the hosts in the latest listing. It is required.
func WithHosts(hosts func() []gw.HostEntry) Option {
	return func(f *Feed) { f.hosts = hosts }
}

// WithSourceCurrent sets a function that reports whether the store answers this host. By default it always does.
func WithSourceCurrent(current func() bool) Option {
	return func(f *Feed) { f.sourceCurrent = current }
}

// WithSourceAge sets a function that returns how long ago the store last answered this host. By default it has just
// answered.
func WithSourceAge(age func() time.Duration) Option {
	return func(f *Feed) { f.sourceAge = age }
}

// WithMirroredSource says that the source keeps a copy of the store as ReadMode says, so that reading it costs no call.
// By default each reading is a call to the store.
func WithMirroredSource() Option {
	return func(f *Feed) { f.sourceMirrored = true }
}

// WithInterests limits what this host pulls, while it is no relay and all returns false, to topics that begin with
// one of the prefixes. By default it pulls all.
func WithInterests(prefixes []gw.Topic, all func() bool) Option {
	return func(f *Feed) { f.interests, f.wantsAll = prefixes, all }
}

// WithLogger sets the logger for changes of state.
func WithLogger(l *slog.Logger) Option {
	return func(f *Feed) { f.log = l }
}

// WithRegisterer registers the feed's counters.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(f *Feed) { r.MustRegister(f.counters.pulls, f.counters.offers, f.counters.reads, f.counters.items) }
}
