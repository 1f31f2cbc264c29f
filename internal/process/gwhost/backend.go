package gwhost

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
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

// Backend is what a host needs of the outside: the store, the host list, the backend servers and the operators.
type Backend struct {
	Store    gw.Store
	HostList gw.HostList
	Servers  gw.ServerControl
	// Configs is where operators publish. Nil means that they publish through the store.
	Configs        gw.ConfigSource
	CallerProtocol gw.CallerProtocol
	ServerProtocol gw.ServerProtocol
	Timing         gwlease.Timing
	// RetryBurst is how many retries of a service may come at once from this host, zero for the default.
	RetryBurst int
	// Run keeps the connection to the outside, nil when nothing needs to run. Leave says that this host is leaving.
	Run   func(ctx context.Context) error
	Leave func()
	// ReadPromptly is given a function that says whether other hosts rely on what this one reads.
	ReadPromptly func(prompt func() bool)
}

// ownBackend returns the project's own interfaces to the outside.
func (h *Host) ownBackend() (Backend, error) {
	store, err := gwstore.New(
		gwstore.WithEndpoints(h.settings.StoreEndpoints...),
		gwstore.WithReadBudget(purposeAssignment, assignmentReadsPerSecond, assignmentReadBurst),
		gwstore.WithReadBudget(purposeConfiguration, configurationReadsPerSecond, configurationReadBurst),
		gwstore.WithRegisterer(h.registry),
	)
	if err != nil {
		return Backend{}, eris.Wrap(err, "set up the store client")
	}
	list, err := gwhostlist.New(
		gwhostlist.WithEndpoints(h.settings.HostListEndpoints...),
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
func (b Backend) retryOptions(r prometheus.Registerer) []gwretry.Option {
	options := []gwretry.Option{gwretry.WithRegisterer(r)}
	if b.RetryBurst > 0 {
		options = append(options, gwretry.WithBurst(b.RetryBurst))
	}
	return options
}

// configSource returns where the feed reads configurations.
func (h *Host) configSource() gwfeed.Source {
	if h.backend.Configs != nil {
		return directSource{h.backend.Configs}
	}
	return newSource(purposeStore{h.backend.Store, purposeConfiguration})
}

// directSource reads configurations that operators publish whole.
type directSource struct{ configs gw.ConfigSource }

// currentWait bounds the wait for the first configuration.
const currentWait = 500 * time.Millisecond

// Current implements gwfeed.Source.
func (s directSource) Current(ctx context.Context) ([]gw.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, currentWait)
	defer cancel()
	cfg, err := s.configs.Current(ctx)
	if err != nil {
		return nil, err
	}
	return configItems(cfg)
}

// Next implements gwfeed.Source.
func (s directSource) Next(ctx context.Context, have map[gw.Topic]gw.ItemVersion) ([]gw.Item, error) {
	cfg, err := s.configs.Next(ctx, gw.ConfigVersion(have[gwtable.TopicConfig].Sequence))
	if err != nil {
		return nil, err
	}
	return configItems(cfg)
}
