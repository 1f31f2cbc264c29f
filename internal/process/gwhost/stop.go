package gwhost

import (
	"context"
	"time"

	"github.com/oklog/run"

	"github.com/geraniumworks/geraniumworks/internal/process/gwtimer"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
)

// leasePollInterval is the time between checks for remaining dispatch leases during a planned stop.
const leasePollInterval = 50 * time.Millisecond

// addStop adds the actor that ends the process: it waits until ctx ends, and then performs the planned stop. When
// another actor ends first, it returns without a planned stop.
func (h *Host) addStop(ctx context.Context, group *run.Group, l listeners) {
	ended, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		<-ended.Done()
		if ctx.Err() != nil {
			h.stop(l)
		}
		return nil
	}, func(error) { cancel() })
}

// stop hands over the roles of this process and finishes running requests within the time that the settings allow. The
// process reports at once that it is not ready, but accepts requests until the balancer has had time to notice.
func (h *Host) stop(l listeners) {
	deadline := time.Now().Add(time.Duration(h.settings.StopMilliseconds) * time.Millisecond)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	h.stopping.Store(true)
	h.log.Info("planned stop begins")
	h.dispatcher.SetStopping()
	if h.backend.Leave != nil {
		h.backend.Leave()
	}
	handedOver := make(chan error, 1)
	go func() { handedOver <- h.control.Stop(ctx) }()
	gwtimer.Sleep(ctx, time.Duration(h.settings.DrainMilliseconds)*time.Millisecond)
	h.entry.Stop()
	if err := h.entry.Wait(ctx); err != nil {
		h.log.Warn("requests of callers were cut off at the end of a planned stop", "error", err)
	}
	if err := <-handedOver; err != nil {
		h.log.Warn("cells were not handed over in time", "error", err)
	}
	h.waitReassigned(ctx)
	h.relay.Stop()
	if err := h.relay.Wait(ctx); err != nil {
		h.log.Warn("requests of other hosts were cut off at the end of a planned stop", "error", err)
	}
	gwforward.StopAccepting(ctx, l.callers, l.relay)
}

// waitReassigned waits until controllers have assigned the servers of this dispatcher to other hosts.
func (h *Host) waitReassigned(ctx context.Context) {
	for h.dispatcher.Leased() > 0 {
		if ctx.Err() != nil {
			h.log.Warn("servers were not given to other dispatchers in time", "servers", h.dispatcher.Leased())
			return
		}
		gwtimer.Sleep(ctx, leasePollInterval)
	}
}
