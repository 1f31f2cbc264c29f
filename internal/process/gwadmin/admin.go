// Package gwadmin serves the operators' listener: health, metrics and the state of the system.
package gwadmin

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwpreview"
	"github.com/geraniumworks/geraniumworks/internal/version/gwtable"
)

const (
	// probeTimeout limits the probe for the version of one host.
	probeTimeout = time.Second
	// maxConcurrentProbes limits the probes in flight.
	maxConcurrentProbes = 64
)

// Health reports whether the process should get requests.
type Health interface {
	// Ready returns false and the reason while the balancer should not send callers here.
	Ready() (ready bool, reason string)
}

// API serves the operators' listener.
type API struct {
	self     gw.HostEntry
	instance gw.InstanceID
	table    *gwtable.Table
	hosts    func() []gw.HostEntry
	peer     gw.Peer
	health   Health
	gatherer prometheus.Gatherer
	where    func(context.Context, gwpreview.Request) gwpreview.Answer
}

// New returns an API.
func New(opts ...Option) *API {
	a := &API{}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// HostVersion is the version of the configuration that a host has in force. Instance is empty and Error set when it
// did not answer.
type HostVersion struct {
	Host          gw.HostName      `json:"host"`
	Instance      gw.InstanceID    `json:"instance,omitempty"`
	ConfigVersion gw.ConfigVersion `json:"config-version"`
	Error         string           `json:"error,omitempty"`
}

// Register adds the routes to e.
func (a *API) Register(e *echo.Echo) {
	metrics := promhttp.HandlerFor(a.gatherer, promhttp.HandlerOpts{})
	e.GET("/metrics", echo.WrapHandler(metrics))
	e.GET("/livez", a.live)
	e.GET("/readyz", a.ready)
	e.GET("/v1/versions", a.versions)
	e.GET("/v1/owner", a.owner)
	e.GET("/v1/assignments", a.assignments)
	e.GET("/v1/directories", a.directories)
	e.GET("/v1/config", a.config)
	e.GET("/v1/hosts", a.listedHosts)
	e.GET("/v1/where", a.whereTo)
}

func (a *API) live(ec echo.Context) error {
	return ec.NoContent(http.StatusNoContent)
}

func (a *API) ready(ec echo.Context) error {
	ready, reason := a.health.Ready()
	if !ready {
		return ec.JSON(http.StatusServiceUnavailable, struct {
			Reason string `json:"reason"`
		}{reason})
	}
	return ec.NoContent(http.StatusNoContent)
}

// versions returns the version of the configuration that each listed host has in force.
func (a *API) versions(ec echo.Context) error {
	hosts := a.hosts()
	found := make([]HostVersion, len(hosts))
	var group errgroup.Group
	group.SetLimit(maxConcurrentProbes)
	for i, host := range hosts {
		group.Go(func() error {
			found[i] = a.versionOf(ec.Request().Context(), host)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	slices.SortFunc(found, func(x, y HostVersion) int { return cmp.Compare(x.Host, y.Host) })
	return ec.JSON(http.StatusOK, struct {
		Hosts []HostVersion `json:"hosts"`
	}{found})
}

func (a *API) versionOf(ctx context.Context, host gw.HostEntry) HostVersion {
	version := HostVersion{Host: host.Name}
	if host.Name == a.self.Name {
		version.Instance = a.instance
		version.ConfigVersion = a.table.State().Config.Version
		return version
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := a.peer.Probe(ctx, host.PeerAddress, gw.ProbeRequest{From: a.instance})
	if err != nil {
		version.Error = "host did not answer"
		return version
	}
	version.Instance = reply.Instance
	version.ConfigVersion = reply.ConfigVersion
	return version
}

// owner returns the server that owns a tenant's key.
func (a *API) owner(ec echo.Context) error {
	state := a.table.State()
	service, ok := state.Config.Service(gw.ServiceName(ec.QueryParam("service")))
	if !ok || !service.DividedByKey {
		return echo.NewHTTPError(http.StatusNotFound, "no service of this name is divided by key")
	}
	tenant, ok := state.Config.Tenant(gw.TenantName(ec.QueryParam("tenant")))
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "no tenant has this name")
	}
	key := ec.QueryParam("key")
	space, position, ok := gwtable.Locate(service, tenant, key)
	if !ok {
		return echo.NewHTTPError(http.StatusBadRequest, "the service needs a key from 0 to 65535")
	}
	record, ok := state.Assignments[space]
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "the key space has no assignment yet")
	}
	assignment := record.Assignment
	i := assignment.Index(position)
	return ec.JSON(http.StatusOK, struct {
		KeySpace gw.KeySpace   `json:"key-space"`
		Position gw.Position   `json:"position"`
		Range    gw.Range      `json:"range"`
		Owner    gw.ServerName `json:"owner"`
		Token    gw.Revision   `json:"token"`
		Revision gw.Revision   `json:"revision"`
	}{space, position, assignment.Span(i), assignment.Ranges[i].Owner, assignment.Ranges[i].Token, assignment.Revision})
}

func (a *API) assignments(ec echo.Context) error {
	state := a.table.State()
	list := make([]gw.Assignment, 0, len(state.Assignments))
	for _, each := range state.Assignments {
		list = append(list, each.Assignment)
	}
	slices.SortFunc(list, func(x, y gw.Assignment) int { return cmp.Compare(x.KeySpace.String(), y.KeySpace.String()) })
	return ec.JSON(http.StatusOK, struct {
		Assignments []gw.Assignment `json:"assignments"`
	}{list})
}

func (a *API) directories(ec echo.Context) error {
	state := a.table.State()
	list := make([]gw.Directory, 0, len(state.Directories))
	for _, each := range state.Directories {
		list = append(list, each)
	}
	slices.SortFunc(list, func(x, y gw.Directory) int { return cmp.Compare(x.Cell.String(), y.Cell.String()) })
	return ec.JSON(http.StatusOK, struct {
		Directories []gw.Directory `json:"directories"`
	}{list})
}

func (a *API) config(ec echo.Context) error {
	state := a.table.State()
	if !state.Ready {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "this host has not received a configuration yet")
	}
	return ec.JSON(http.StatusOK, state.Config)
}

func (a *API) listedHosts(ec echo.Context) error {
	return ec.JSON(http.StatusOK, struct {
		Hosts []gw.HostEntry `json:"hosts"`
	}{a.hosts()})
}
