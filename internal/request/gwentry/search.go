package gwentry

import (
	"slices"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
)

// maxProbes is the number of servers that are asked for a free slot before the request waits in the queue of one. When
// half of the servers are busy, three of them are all busy in one of eight cases.
const maxProbes = 3

// slotSearch is the search of one request for a server with a free slot, for the case that the queues of the servers
// differ in length. An entry host's information about the load of a server is older than the time for which a request
// occupies a slot. It therefore asks the dispatchers of several servers, and waits where the queue is shortest.
type slotSearch struct {
	// noWait is set when the current attempt only asks for a free slot and must not be queued.
	noWait bool
	// busy lists the servers that had no free slot. The expected wait is shortest at the server shortest, with
	// shortestWait milliseconds.
	busy         []gw.ServerName
	shortest     gw.ServerName
	shortestWait int64
	// exhausted is set when there is no other server to ask.
	exhausted bool
}

// addBusy records that a server has no free slot, and the expected wait there in milliseconds.
func (s *slotSearch) addBusy(busy gw.ServerName, wait int64) {
	s.busy = append(s.busy, busy)
	if s.shortest == "" || wait < s.shortestWait {
		s.shortest, s.shortestWait = busy, wait
	}
}

// canProbe reports whether another server may be asked for a free slot.
func (s *slotSearch) canProbe() bool {
	return !s.exhausted && len(s.busy) < maxProbes
}

// avoid returns the servers that the next attempt should not use when there is another one.
func (s *slotSearch) avoid() []gw.ServerName {
	switch {
	case s.exhausted:
		return nil
	case s.canProbe():
		return s.busy
	default:
		return slices.DeleteFunc(slices.Clone(s.busy), func(name gw.ServerName) bool { return name == s.shortest })
	}
}

const (
	// crossRegionWait is the expected wait in milliseconds in this host's region above which a server in another region is
	// asked; asking takes 40 ms. A body above crossRegionBytes needs several round trips, and bytes between regions are
	// paid for, so that it is only sent there above crossRegionWaitLarge.
	crossRegionWait      = 80
	crossRegionWaitLarge = 250
	crossRegionBytes     = 16 << 10
)

// mayCrossRegions reports whether the next attempt may use a server in another region although this host's region has
// servers.
func (s *slotSearch) mayCrossRegions(body *gwforward.Body) bool {
	threshold := int64(crossRegionWait)
	if body.Size() < 0 || body.Size() > crossRegionBytes {
		threshold = crossRegionWaitLarge
	}
	return s.canProbe() && len(s.busy) == maxProbes-1 && s.shortestWait > threshold
}

// probesForSlot reports whether the next attempt only asks for a free slot. A request with a key does not probe,
// because only the owner of the key may run it. Nor does one with a streamed body, which cannot be sent again. With a
// choice by score, one for another region is queued there: each probe would take 40 ms.
func (c *call) probesForSlot(target gw.Target) bool {
	if c.choosesByScore() && target.RemoteRegion {
		return false
	}
	return !target.HasKey && !c.objective.IsZero() && c.search.canProbe() && c.body.Concurrent()
}
