package gwhost

import (
	"github.com/geraniumworks/geraniumworks/internal/connection/gwpipeline"
	"github.com/geraniumworks/geraniumworks/internal/process/gwsettings"
	"github.com/geraniumworks/geraniumworks/internal/request/gwentry"
)

// addedHeaderLines is above the number of header lines that an entry host adds to a request for a relay.
const addedHeaderLines = 64

// callerBudget returns the budget for connections of callers.
func (h *Host) callerBudget() *gwpipeline.Budget {
	limits := h.settings.Load().CallerLimits()
	return gwpipeline.NewBudget(gwpipeline.Limits{
		Bytes: limits.HeldBytes(), Connections: limits.Connections, HeaderBytes: gwentry.DefaultHeaderBytes,
		HeaderLines: limits.HeaderLines, EmptyLines: limits.EmptyLines,
	}, h.log, h.registry)
}

// relayHeaderLines returns the largest number of header lines of a request from another host, zero for the limit of
// net/http. Hosts of different memory have the same limit for callers unless the settings say otherwise.
func (h *Host) relayHeaderLines() int {
	lines := h.settings.Load().CallerLimits().HeaderLines
	if lines == 0 {
		return 0
	}
	return lines + addedHeaderLines
}

// relayConnections returns the largest number of connections to one relay: a quarter of the descriptors that are not
// for files, where that is less than the default. Requests that callers pipeline open far more than callers do.
func (h *Host) relayConnections() int {
	descriptors := h.settings.Load().Descriptors
	if descriptors == 0 {
		return gwentry.DefaultRelayConnections
	}
	return min(gwentry.DefaultRelayConnections, (descriptors-gwsettings.ReservedDescriptors)/4)
}
