package gwtable

import (
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// Chooser chooses a server of a service that is not divided by key.
type Chooser interface {
	// Choose returns a server of the cells that is not excluded, and whether it is in another region, or a refusal
	// with gw.ReasonNoServer.
	Choose(
		service gw.ServiceName, cells []gw.Directory, exclude []gw.ServerName,
	) (server gw.DirectoryServer, remoteRegion bool, refusal *gw.Refusal)
}

// ScoringChooser chooses a server of a cost-aware service by the expected time to finish a request there.
type ScoringChooser interface {
	// ChooseByScore returns a server of the cells that req does not exclude, and whether it is in another region, or a
	// refusal with gw.ReasonNoServer.
	ChooseByScore(
		cells []gw.Directory, req gw.RouteRequest,
	) (server gw.DirectoryServer, remoteRegion bool, refusal *gw.Refusal)
}

// Option configures a Router.
type Option func(*Router)

// WithTable sets the table that the router reads. It is required.
func WithTable(t *Table) Option {
	return func(r *Router) { r.table = t }
}

// WithHost sets the host and region of this process.
func WithHost(host gw.HostName, region gw.RegionName) Option {
	return func(r *Router) {
		r.host = host
		r.region = region
	}
}

// WithChooser sets how a server of a service that is not divided by key is chosen. It is required.
func WithChooser(c Chooser) Option {
	return func(r *Router) { r.chooser = c }
}

// WithScoringChooser sets how a server of a cost-aware service that is not divided by key is chosen. Without it, the
// chooser of all other services is used.
func WithScoringChooser(c ScoringChooser) Option {
	return func(r *Router) { r.scoring = c }
}

// WithWait sets how long a request waits for newer state, one second by default.
func WithWait(d time.Duration) Option {
	return func(r *Router) { r.wait = d }
}
