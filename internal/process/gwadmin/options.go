package gwadmin

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwpreview"
	"github.com/geraniumworks/geraniumworks/internal/version/gwtable"
)

// Option configures an API. All options are required.
type Option func(*API)

// WithSelf sets the host list entry of this host and the instance id of this process.
func WithSelf(host gw.HostEntry, instance gw.InstanceID) Option {
	return func(a *API) {
		a.self = host
		a.instance = instance
	}
}

// WithTable sets the table of configuration, assignments and directories to serve.
func WithTable(t *gwtable.Table) Option {
	return func(a *API) { a.table = t }
}

// WithHosts sets a function that returns the hosts in the latest listing.
func WithHosts(hosts func() []gw.HostEntry) Option {
	return func(a *API) { a.hosts = hosts }
}

// WithPeer sets the client for probes of other hosts.
func WithPeer(p gw.Peer) Option {
	return func(a *API) { a.peer = p }
}

// WithHealth sets the source of readiness.
func WithHealth(h Health) Option {
	return func(a *API) { a.health = h }
}

// WithWhere sets the function that shows where a request would be sent.
func WithWhere(where func(context.Context, gwpreview.Request) gwpreview.Answer) Option {
	return func(a *API) { a.where = where }
}

// WithGatherer sets the metrics to serve.
func WithGatherer(g prometheus.Gatherer) Option {
	return func(a *API) { a.gatherer = g }
}
