package main

import (
	"cmp"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/process/gwhost"
	"github.com/geraniumworks/geraniumworks/internal/process/gwlease"
	"github.com/geraniumworks/geraniumworks/internal/process/gwsettings"
	gwplatform "github.com/geraniumworks/geraniumworks/platform"
)

// platformAuthority is how long a controller goes on without reading the store. It outlasts the store's outages, in
// which nobody can take over, and bounds how long the servers of a lost controller that nobody else reaches keep keys.
const platformAuthority = 20 * time.Second

// platformSession is how long a hold of a server lasts after its last answer. A server ends work that outlasts the hold
// under which it began, whatever was renewed meanwhile: with 2 s every request that took longer than 1 to 1.5 s failed.
// The keys of a server that is lost wait 0.7 s longer than this.
const platformSession = 3200 * time.Millisecond

const (
	// platformReadEvery lets two reads in a row be lost before authority ends. Calls to the store are paid for.
	platformReadEvery = 7 * time.Second
	// platformCandidateReadEvery is a safety net only: candidates hear of commits within a fraction of a second.
	platformCandidateReadEvery = time.Minute
)

// platformGCPercent keeps the heap at 1.8 times what is in use. Memory at its peak is dear on the platform, but a
// heap of a few megabytes is collected so often below that value that it takes a fifth of a small host's processor
// time.
const platformGCPercent = 80

// platformRetrySlack is the number of retries that all hosts may send to a service in one burst when the settings do
// not say.
const platformRetrySlack = 60

// platformLeaseOverrun covers the outages of the store that the platform announces, 9 s, since no controller can be
// replaced meanwhile. Servers there run no more requests at once than they bear, and refuse the rest.
const platformLeaseOverrun = 10 * time.Second

// platformBackend returns the connection to the users' platform.
func platformBackend(
	settings gwsettings.Settings,
) func(gw.HostEntry, *slog.Logger, prometheus.Registerer) gwhost.Backend {
	return func(self gw.HostEntry, log *slog.Logger, r prometheus.Registerer) gwhost.Backend {
		p := gwplatform.New(
			gwplatform.WithStore(settings.Platform.StoreEndpoint),
			gwplatform.WithSelf(self),
			gwplatform.WithRegions(settings.Platform.Regions()),
			gwplatform.WithContracts(settings.Platform.Contracts),
			gwplatform.WithLogger(log),
			gwplatform.WithRegisterer(r),
		)
		timing := gwlease.DefaultTiming()
		timing.Session = platformSession
		timing.Authority = platformAuthority
		timing.ReadEvery = platformReadEvery
		timing.CandidateReadEvery = platformCandidateReadEvery
		timing.LeaseOverrun = platformLeaseOverrun
		return gwhost.Backend{
			Store: p.Store(), HostList: p.HostList(), Servers: p.Servers(), Configs: p,
			CallerProtocol: p.CallerProtocol(), ServerProtocol: p.ServerProtocol(),
			Timing: timing, RetrySlack: cmp.Or(int(settings.Platform.RetrySlack), platformRetrySlack),
			Run: p.Run, Leave: p.Leave, SetReadMode: p.SetReadMode, SourceCurrent: p.SourceCurrent,
			SourceAge: p.SourceAge,
		}
	}
}
