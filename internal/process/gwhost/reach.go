package gwhost

import (
	"context"
	"errors"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/process/gwreach"
)

// watchedServers notes what control calls show about the path to servers.
type watchedServers struct {
	gw.ServerControl
	reach *gwreach.Reach
}

// Grant implements gw.ServerControl.
func (w watchedServers) Grant(ctx context.Context, server gw.ServerRef, grant gw.Grant) (gw.ServerStatus, error) {
	status, err := w.ServerControl.Grant(ctx, server, grant)
	switch {
	case err == nil || errors.Is(err, gw.ErrStaleEpoch) || errors.Is(err, gw.ErrStaleRevision):
		w.reach.Answered(server.Address)
	case errors.Is(err, context.Canceled) || errors.Is(err, gw.ErrPastDeadline):
		// Nothing was sent, or nobody waited for the answer.
	default:
		w.reach.Failed(server.Name, server.Address)
	}
	return status, err
}

// reachChanged applies that this host has lost its path to all servers, or has it again: controllers give its servers
// to other dispatchers meanwhile.
func (h *Host) reachChanged(cutOff bool) {
	h.dispatcher.SetCutOff(cutOff)
	if cutOff {
		h.log.Warn("this host reaches no server, others are asked to take over")
	} else {
		h.log.Info("this host reaches servers again")
	}
}
