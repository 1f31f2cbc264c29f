package main

import (
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

// platformRetryBurst is a twelfth of the retries that the platform allows a service beside the ratio, rounded
// down: they are counted over all hosts.
const platformRetryBurst = 5

// platformBackend returns the connection to the users' platform.
func platformBackend(
	settings gwsettings.Settings,
) func(gw.HostEntry, *slog.Logger, prometheus.Registerer) gwhost.Backend {
	return func(self gw.HostEntry, log *slog.Logger, r prometheus.Registerer) gwhost.Backend {
		p := gwplatform.New(
			gwplatform.WithStore(settings.Platform.StoreEndpoint),
			gwplatform.WithSelf(self),
			gwplatform.WithRegions(settings.Platform.Regions()),
			gwplatform.WithLogger(log),
			gwplatform.WithRegisterer(r),
		)
		timing := gwlease.DefaultTiming()
		timing.Authority = platformAuthority
		return gwhost.Backend{
			Store: p.Store(), HostList: p.HostList(), Servers: p.Servers(), Configs: p,
			CallerProtocol: p.CallerProtocol(), ServerProtocol: p.ServerProtocol(),
			Timing: timing, RetryBurst: platformRetryBurst,
			Run: p.Run, Leave: p.Leave, ReadPromptly: p.ReadPromptly,
		}
	}
}
