package gwhost

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwhostlist"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwserver"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwstore"
	"github.com/geraniumworks/geraniumworks/internal/process/gwlease"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
	"github.com/geraniumworks/geraniumworks/internal/request/gwretry"
	"github.com/geraniumworks/geraniumworks/internal/version/gwfeed"
	"github.com/geraniumworks/geraniumworks/internal/version/gwplace"
	"github.com/geraniumworks/geraniumworks/internal/version/gwspread"
	"github.com/geraniumworks/geraniumworks/internal/version/gwtable"
)

// Backend holds the connections of a host to external systems: the store, the host list, the backend servers and the
// operators' configurations.
type Backend struct {
	Store    gw.Store
	HostList gw.HostList
	Servers  gw.ServerControl
	// Configs is the source of the operators' configurations. Nil means that they are published in the store.
	Configs        gw.ConfigSource
	CallerProtocol gw.CallerProtocol
	ServerProtocol gw.ServerProtocol
	Timing         gwlease.Timing
	// RetrySlack is the number of retries that all hosts together may send to a service in one burst, beside a share of
	// its requests. Zero means that there is no such limit.
	RetrySlack int
	// Run maintains the connections until its context ends; nil when nothing needs to run. Leave announces that this host
	// is leaving; it may be nil too.
	Run   func(ctx context.Context) error
	Leave func()
	// SetReadMode, if not nil, receives a function that returns what this host reads itself. SourceCurrent, if not nil,
	// reports whether it reads and its source answers.
	SetReadMode   func(mode func() gw.ReadMode)
	SourceCurrent func() bool
	// SourceAge, if not nil, returns how long ago the store last answered this host's readings.
	SourceAge func() time.Duration
}

// nativeBackend returns the clients for the project's own protocols.
func (h *Host) nativeBackend() (Backend, error) {
	store, err := gwstore.New(
		gwstore.WithEndpoints(h.settings.Load().StoreEndpoints...),
		gwstore.WithReadBudget(purposeAssignment, assignmentReadsPerSecond, assignmentReadBurst),
		gwstore.WithReadBudget(purposeConfiguration, configurationReadsPerSecond, configurationReadBurst),
		gwstore.WithRegisterer(h.registry),
	)
	if err != nil {
		return Backend{}, eris.Wrap(err, "set up the store client")
	}
	list, err := gwhostlist.New(
		gwhostlist.WithEndpoints(h.settings.Load().HostListEndpoints...),
		gwhostlist.WithRegisterer(h.registry),
	)
	if err != nil {
		return Backend{}, eris.Wrap(err, "set up the host list client")
	}
	servers, err := gwserver.New(gwserver.WithRegisterer(h.registry))
	if err != nil {
		return Backend{}, eris.Wrap(err, "set up the server client")
	}
	return Backend{
		Store: store, HostList: list, Servers: servers, Timing: gwlease.DefaultTiming(),
		CallerProtocol: gwforward.NativeCallers{}, ServerProtocol: gwforward.NativeServers{},
	}, nil
}

// placer returns the placement policy of a cell.
func (h *Host) placer(id gw.CellID) gw.Placer {
	if service, ok := h.table.State().Config.Service(id.Service); ok && service.OrderedKeys {
		return gwspread.New()
	}
	return gwplace.New()
}

// retryOptions returns the options of the retry policy.
func (h *Host) retryOptions() []gwretry.Option {
	options := []gwretry.Option{gwretry.WithRegisterer(h.registry)}
	if slack := h.backend.RetrySlack; slack > 0 {
		options = append(options, gwretry.WithSharedBurst(func() int { return max(slack/max(h.members.HostCount(), 1), 1) }))
	}
	return options
}

// configSource returns the source from which the feed reads configurations.
func (h *Host) configSource() gwfeed.Source {
	if h.backend.Configs != nil {
		return directSource{h.backend.Configs}
	}
	return newStoreSource(purposeStore{h.backend.Store, purposeConfiguration})
}

// directSource adapts a gw.ConfigSource, which returns whole configurations, to the feed.
type directSource struct{ configs gw.ConfigSource }

// currentWait bounds the wait for the first configuration.
const firstConfigTimeout = 500 * time.Millisecond

// Current implements gwfeed.Source.
func (s directSource) Current(ctx context.Context) ([]gw.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, firstConfigTimeout)
	defer cancel()
	cfg, err := s.configs.Current(ctx)
	if err != nil {
		return nil, err
	}
	return configItems(cfg)
}

// Next implements gwfeed.Source.
func (s directSource) Next(ctx context.Context, have map[gw.Topic]gw.ItemVersion) ([]gw.Item, error) {
	cfg, err := s.configs.Next(ctx, have[gwtable.TopicConfig])
	if err != nil {
		return nil, err
	}
	return configItems(cfg)
}
