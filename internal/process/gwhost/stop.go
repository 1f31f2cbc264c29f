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

// relayAllowance is the part of the time for a planned stop that is left for running requests of other hosts, when
// controllers do not assign the servers of this dispatcher to other hosts.
const relayAllowance = 500 * time.Millisecond

// endAllowance is the part of the time for a planned stop in which requests that are still running get an answer.
const endAllowance = 150 * time.Millisecond

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
	settings := h.settings.Load()
	deadline := settings.StopDeadline(time.Now())
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	h.stopping.Store(true)
	h.log.Info("planned stop begins")
	h.dispatcher.SetStopping()
	h.quota.Stop()
	if h.backend.Leave != nil {
		h.backend.Leave()
	}
	handedOver := make(chan error, 1)
	go func() { handedOver <- h.control.Stop(ctx) }()
	gwtimer.Sleep(ctx, time.Duration(settings.DrainMilliseconds)*time.Millisecond)
	h.finishRequests(ctx, deadline)
	if err := <-handedOver; err != nil {
		h.log.Warn("cells were not handed over in time", "error", err)
	}
	reassigned, cancelWait := context.WithDeadline(ctx, deadline.Add(-relayAllowance))
	defer cancelWait()
	h.waitReassigned(reassigned)
	h.relay.Stop()
	if err := h.relay.Wait(ctx); err != nil {
		h.log.Warn("requests of other hosts were cut off at the end of a planned stop", "error", err)
	}
	gwforward.StopAccepting(ctx, l.callers, l.relay)
}

// finishRequests refuses new requests of callers and waits for those that are running. Shortly before the deadline it
// answers the rest.
func (h *Host) finishRequests(ctx context.Context, deadline time.Time) {
	h.entry.Stop()
	running, cancel := context.WithDeadline(ctx, deadline.Add(-endAllowance))
	defer cancel()
	if h.entry.Wait(running) == nil {
		return
	}
	h.log.Warn("requests of callers outlast the planned stop and are answered without their servers")
	h.entry.End()
	if err := h.entry.Wait(ctx); err != nil {
		h.log.Warn("requests of callers were cut off at the end of a planned stop", "error", err)
	}
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
