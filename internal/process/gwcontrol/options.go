package gwcontrol

import (
	"log/slog"

	"github.com/prometheus/client_golang/prometheus"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/process/gwlease"
	"github.com/geraniumworks/geraniumworks/internal/version/gwtable"
)

// Publisher distributes items to all hosts.
type Publisher interface {
	Publish(item gw.Item) error
}

// Option configures a Loop.
type Option func(*Loop)

// WithSelf sets the host list entry of this host and the instance id of this process.
func WithSelf(host gw.HostEntry, instance gw.InstanceID) Option {
	return func(l *Loop) {
		l.self = host
		l.instance = instance
	}
}

// WithStore sets the store that holds assignments. It is required.
func WithStore(s gw.Store) Option {
	return func(l *Loop) { l.store = s }
}

// WithServers sets the client for control calls to backend servers. It is required.
func WithServers(s gw.ServerControl) Option {
	return func(l *Loop) { l.servers = s }
}

// WithCutOff sets a function that reports whether this host reaches no server at the moment. By default it always
// reaches them.
func WithCutOff(cutOff func() bool) Option {
	return func(l *Loop) { l.cutOff = cutOff }
}

// WithPeer sets the client for calls to other hosts. It is required.
func WithPeer(p gw.Peer) Option {
	return func(l *Loop) { l.peer = p }
}

// WithTable sets the table from which the configuration, the assignments and the directories of other cells are read.
// It is required.
func WithTable(t *gwtable.Table) Option {
	return func(l *Loop) { l.table = t }
}

// WithListing sets a function that returns the latest listing of hosts and servers and its number, which is zero while
// there is no listing. It is required.
func WithListing(listing func() (gw.Listing, uint64)) Option {
	return func(l *Loop) { l.listing = listing }
}

// WithPublisher sets the publisher of assignments and directories. It is required.
func WithPublisher(p Publisher) Option {
	return func(l *Loop) { l.publisher = p }
}

// WithReady sets a channel that is closed when the configuration is known to be in force. Until then the loop starts no
// controllers. Without this option it acts on every configuration.
func WithReady(ready <-chan struct{}) Option {
	return func(l *Loop) { l.ready = ready }
}

// WithPlacer sets a function that returns a new placement policy for a cell. It is required.
func WithPlacer(newPlacer func(gw.CellID) gw.Placer) Option {
	return func(l *Loop) { l.newPlacer = newPlacer }
}

// WithTiming replaces the default timing of the controllers. All hosts must use the same timing.
func WithTiming(t gwlease.Timing) Option {
	return func(l *Loop) { l.timing = t }
}

// WithClock replaces the system clock.
func WithClock(c gw.Clock) Option {
	return func(l *Loop) { l.clock = c }
}

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(log *slog.Logger) Option {
	return func(l *Loop) { l.log = log }
}

// WithRegisterer registers the metrics of the loop.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(l *Loop) { l.counters.register(r) }
}
