// Package gwhost wires the components of a geraniumworks process and runs them.
package gwhost

import (
	"crypto/tls"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwpeer"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwpipeline"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwpool"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwsocket"
	"github.com/geraniumworks/geraniumworks/internal/process/gwadmin"
	"github.com/geraniumworks/geraniumworks/internal/process/gwcontrol"
	"github.com/geraniumworks/geraniumworks/internal/process/gwmembers"
	"github.com/geraniumworks/geraniumworks/internal/process/gwquota"
	"github.com/geraniumworks/geraniumworks/internal/process/gwreach"
	"github.com/geraniumworks/geraniumworks/internal/process/gwsettings"
	"github.com/geraniumworks/geraniumworks/internal/request/gwadmit"
	"github.com/geraniumworks/geraniumworks/internal/request/gwchoice"
	"github.com/geraniumworks/geraniumworks/internal/request/gwdispatch"
	"github.com/geraniumworks/geraniumworks/internal/request/gwentry"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
	"github.com/geraniumworks/geraniumworks/internal/request/gwpreview"
	"github.com/geraniumworks/geraniumworks/internal/request/gwrelay"
	"github.com/geraniumworks/geraniumworks/internal/request/gwretry"
	"github.com/geraniumworks/geraniumworks/internal/version/gwfeed"
	"github.com/geraniumworks/geraniumworks/internal/version/gwtable"
)

// serverDialTimeout limits a connection attempt at a server. Connecting takes 40 ms between regions.
const serverDialTimeout = 500 * time.Millisecond

// Host is one geraniumworks process.
type Host struct {
	// settings is replaced when the process reads its settings again.
	settings atomic.Pointer[gwsettings.Settings]
	self     gw.HostEntry
	instance gw.InstanceID
	log      *slog.Logger
	registry *prometheus.Registry
	tls      *tls.Config

	table        *gwtable.Table
	members      *gwmembers.Members
	backend      Backend
	client       *gwpeer.Client
	feed         *gwfeed.Feed
	dispatcher   *gwdispatch.Dispatcher
	admitter     *gwadmit.Admitter
	quota        *gwquota.Loop
	relay        *gwrelay.Relay
	pools        []*gwpool.Pool
	entry        *gwentry.Handler
	preview      *gwpreview.Previewer
	callers      *gwpipeline.Budget
	control      *gwcontrol.Loop
	admin        *gwadmin.API
	reach        *gwreach.Reach
	outOfService outOfServiceTimes
	distributed  distributedListing

	connectBackend func(self gw.HostEntry, log *slog.Logger, r prometheus.Registerer) Backend
	stopping       atomic.Bool
}

// Option configures a Host.
type Option func(*Host)

// WithBackend replaces the clients for the project's own protocols. connect is called once, with the entry of this host
// for the host list.
func WithBackend(connect func(self gw.HostEntry, log *slog.Logger, r prometheus.Registerer) Backend) Option {
	return func(h *Host) { h.connectBackend = connect }
}

// WithCollectors registers further metrics.
func WithCollectors(collectors ...prometheus.Collector) Option {
	return func(h *Host) { h.registry.MustRegister(collectors...) }
}

// New returns a Host for validated settings. It opens no connections.
func New(settings gwsettings.Settings, log *slog.Logger, opts ...Option) (*Host, error) {
	h := &Host{
		instance: gw.InstanceID(uuid.NewString()),
		registry: prometheus.NewRegistry(),
		table:    gwtable.NewTable(),
	}
	h.settings.Store(&settings)
	h.log = log.With(slog.String("host", string(settings.Host)), slog.String("instance", string(h.instance)))
	h.self = gw.HostEntry{
		Name:          settings.Host,
		Region:        settings.Region,
		DataCentre:    settings.DataCentre,
		State:         gw.EntryLive,
		CallerAddress: settings.Advertise.Callers,
		PeerAddress:   settings.Advertise.Peers,
		RelayAddress:  settings.Advertise.Relay,
		Cores:         settings.Cores,
		LinkMegabits:  settings.LinkMegabits,
	}
	h.registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	for _, opt := range opts {
		opt(h)
	}
	if err := h.connect(); err != nil {
		return nil, err
	}
	h.buildRequestPath()
	h.callers = h.callerBudget()
	h.buildControl()
	h.registerAges()
	return h, nil
}

// Metrics returns a collector that describes all metrics of this host, including those without a value yet.
func (h *Host) Metrics() prometheus.Collector {
	return h.registry
}

// connect creates the clients for external systems and other hosts.
func (h *Host) connect() error {
	var err error
	if h.tls, err = h.settings.Load().PeerTLS(); err != nil {
		return err
	}
	if h.connectBackend != nil {
		h.backend = h.connectBackend(h.self, h.log, h.registry)
	} else if h.backend, err = h.nativeBackend(); err != nil {
		return err
	}
	h.members = gwmembers.New(h.backend.HostList, gwmembers.WithLogger(h.log),
		gwmembers.WithNotify(h.distributeListing), gwmembers.WithReceivedAt(h.receivedAt),
		gwmembers.WithRegisterer(h.registry))
	clientOptions := []gwpeer.ClientOption{gwpeer.WithClientRegisterer(h.registry)}
	if h.tls != nil {
		clientOptions = append(clientOptions, gwpeer.WithClientTLS(h.tls))
	}
	h.client = gwpeer.NewClient(clientOptions...)
	return nil
}

// buildRequestPath creates the components that handle requests.
func (h *Host) buildRequestPath() {
	config := h.configInForce
	h.dispatcher = gwdispatch.New(gwdispatch.WithInstance(h.instance), gwdispatch.WithRegisterer(h.registry))
	h.admitter = gwadmit.New(gwadmit.WithRegisterer(h.registry))
	h.quota = gwquota.New(h.self, gwquota.WithPeer(h.client), gwquota.WithListing(h.members.Listing),
		gwquota.WithLogger(h.log), gwquota.WithRegisterer(h.registry))
	h.reach = gwreach.New(gwreach.WithOnChange(h.reachChanged))
	h.relay = gwrelay.New(
		gwrelay.WithDispatcher(h.dispatcher),
		gwrelay.WithForwarder(h.forwarder("server", gwpool.WithDial(gwsocket.Dialer(serverDialTimeout).DialContext))),
		gwrelay.WithConfig(config),
		gwrelay.WithRegion(h.self.Region),
		gwrelay.WithCallerProtocol(h.backend.CallerProtocol),
		gwrelay.WithBarred(h.blocked),
		gwrelay.WithLeaving(h.members.ReportLeaving),
		gwrelay.WithReach(h.reach),
		gwrelay.WithWait(h.dispatcher.ExpectedWait),
		gwrelay.WithBodyBytes(h.settings.Load().RelayBodyBytes()),
		gwrelay.WithLogger(h.log),
		gwrelay.WithRegisterer(h.registry),
	)
	chooser := chooserAdapter{gwchoice.New(
		gwchoice.WithLocation(h.self.DataCentre, h.self.Region),
		gwchoice.WithSeed(rand.Uint64()),
		gwchoice.WithOutliers(h.dispatcher.OutlierServers),
		gwchoice.WithLocalWait(h.dispatcher.ExpectedWait),
		gwchoice.WithRegisterer(h.registry),
	)}
	router := gwtable.NewRouter(
		gwtable.WithTable(h.table),
		gwtable.WithHost(h.self.Name, h.self.Region),
		gwtable.WithChooser(chooser),
		gwtable.WithScoringChooser(chooser),
	)
	h.preview = gwpreview.New(gwpreview.Options{
		Host: h.self.Name, Region: h.self.Region, Config: config, Table: h.table, Router: router,
		Candidates: chooser.chooser.Candidates, Preview: h.dispatcher.Preview, Clock: gw.SystemClock{},
		Dispatches: func(service gw.ServiceName, server gw.ServerName) bool {
			_, ok := h.dispatcher.ExpectedWait(service, server)
			return ok
		},
	})
	h.entry = gwentry.New(
		gwentry.WithForwarder(h.forwarder("relay", h.relayPoolOptions()...)),
		gwentry.WithConfig(config),
		gwentry.WithRouter(router),
		gwentry.WithRegion(h.self.Region),
		gwentry.WithLocal(h.relay),
		gwentry.WithRelayConnections(h.relayConnections()),
		gwentry.WithAdmission(admissionAdapter{h.admitter}),
		gwentry.WithQuota(h.quota),
		gwentry.WithObserver(chooser),
		gwentry.WithReports(chooser.report),
		gwentry.WithLeaving(h.members.ReportLeaving),
		gwentry.WithCallerProtocol(h.backend.CallerProtocol),
		gwentry.WithLogger(h.log),
		gwentry.WithPolicy(gwretry.New(h.retryOptions()...)),
		gwentry.WithRegisterer(h.registry),
	)
}

// forwarder returns a forwarder with its own connection pool. target is the value of the label in the metrics of both.
func (h *Host) forwarder(target string, options ...gwpool.Option) *gwforward.Forwarder {
	registerer := prometheus.WrapRegistererWith(prometheus.Labels{"target": target}, h.registry)
	pool := gwpool.New(append(options, gwpool.WithRegisterer(registerer))...)
	h.pools = append(h.pools, pool)
	return gwforward.New(gwforward.WithPool(pool), gwforward.WithServerProtocol(h.backend.ServerProtocol),
		gwforward.WithRegisterer(registerer))
}

// buildControl creates the feed, the control loop and the operators' API.
func (h *Host) buildControl() {
	feedOptions := []gwfeed.Option{
		gwfeed.WithHub(gwfeed.NewHub(h.apply)),
		gwfeed.WithPeer(h.client),
		gwfeed.WithSource(h.configSource()),
		gwfeed.WithSelf(h.self, h.instance),
		gwfeed.WithHosts(h.members.Hosts),
		gwfeed.WithInterests(h.interests(), func() bool { return h.control.StandsBy() }),
		gwfeed.WithLogger(h.log),
		gwfeed.WithRegisterer(h.registry),
	}
	if h.backend.SourceCurrent != nil {
		feedOptions = append(feedOptions, gwfeed.WithSourceCurrent(h.backend.SourceCurrent))
	}
	if h.backend.SourceAge != nil {
		feedOptions = append(feedOptions, gwfeed.WithSourceAge(h.backend.SourceAge))
	}
	if h.backend.SetReadMode != nil {
		feedOptions = append(feedOptions, gwfeed.WithMirroredSource())
	}
	h.feed = gwfeed.New(feedOptions...)
	h.control = gwcontrol.New(
		gwcontrol.WithSelf(h.self, h.instance),
		gwcontrol.WithStore(purposeStore{h.backend.Store, purposeAssignment}),
		gwcontrol.WithServers(watchedServers{h.backend.Servers, h.reach}),
		gwcontrol.WithCutOff(h.reach.CutOff),
		gwcontrol.WithTiming(h.backend.Timing),
		gwcontrol.WithPeer(h.client),
		gwcontrol.WithTable(h.table),
		gwcontrol.WithListing(h.members.Listing),
		gwcontrol.WithPublisher(h.feed),
		gwcontrol.WithReady(h.feed.Ready()),
		gwcontrol.WithPlacer(h.placer),
		gwcontrol.WithLogger(h.log),
		gwcontrol.WithRegisterer(h.registry),
	)
	if h.backend.SetReadMode != nil {
		h.backend.SetReadMode(h.feed.ReadMode)
	}
	h.admin = gwadmin.New(
		gwadmin.WithSelf(h.self, h.instance),
		gwadmin.WithTable(h.table),
		gwadmin.WithHosts(h.members.Hosts),
		gwadmin.WithPeer(h.client),
		gwadmin.WithHealth(h),
		gwadmin.WithGatherer(h.registry),
		gwadmin.WithWhere(h.preview.Where),
	)
}

// apply applies an item of the feed.
func (h *Host) apply(item gw.Item) error {
	if item.Topic == topicHosts || strings.HasPrefix(string(item.Topic), topicServersPrefix) {
		return h.applyRemoteListing(item)
	}
	if err := h.table.Apply(item); err != nil {
		return err
	}
	if item.Topic == gwtable.TopicConfig {
		cfg := h.table.State().Config
		h.dispatcher.SetConfig(cfg)
		h.admitter.SetConfig(cfg)
		h.quota.SetConfig(cfg)
		h.outOfService.update(cfg)
		h.log.Info("configuration in force", slog.Uint64("version", uint64(cfg.Version)),
			slog.String("label", cfg.Label))
	}
	return nil
}

// configInForce returns the configuration, or an empty one while it is not known to be in force: the first one that a
// new process receives may be outdated.
func (h *Host) configInForce() gw.Config {
	select {
	case <-h.feed.Ready():
		return h.table.State().Config
	default:
		return gw.Config{}
	}
}

// Ready implements gwadmin.Health.
func (h *Host) Ready() (ready bool, reason string) {
	if h.stopping.Load() {
		return false, "stopping"
	}
	select {
	case <-h.feed.Ready():
	default:
		return false, "no configuration that is known to be in force"
	}
	cfg := h.table.State().Config
	if cfg.IsOut(gw.OutHost, string(h.self.Name)) || cfg.IsOut(gw.OutDataCentre, string(h.self.DataCentre)) {
		return false, "out of service"
	}
	return true, ""
}
