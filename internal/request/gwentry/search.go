package gwentry

import (
	"slices"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
)

// maxProbes is how many servers are asked for a free slot before the request waits at one. Three of them are all busy
// in one of eight cases when half of the servers are.
const maxProbes = 3

// search looks for a server with a free slot. It answers uneven queues: what an entry host knows of the load of a
// server is older than the time for which a slot is taken, so that it asks instead, and waits where the queue is
// shortest.
type search struct {
	// noWait is set while the attempt asks for a free slot only.
	noWait bool
	// busy are the servers that had none; the request would wait least at shortest.
	busy      []gw.ServerName
	shortest  gw.ServerName
	shortWait int64
	// over is set when there is no further server to ask.
	over bool
}

// found records that a server has no free slot, and how long a request would wait there in milliseconds.
func (s *search) found(busy gw.ServerName, wait int64) {
	s.busy = append(s.busy, busy)
	if s.shortest == "" || wait < s.shortWait {
		s.shortest, s.shortWait = busy, wait
	}
}

// probing reports whether another server is to be asked.
func (s *search) probing() bool {
	return !s.over && len(s.busy) < maxProbes
}

// avoid returns the servers that the next attempt is not to use if there is another.
func (s *search) avoid() []gw.ServerName {
	switch {
	case s.over:
		return nil
	case s.probing():
		return s.busy
	default:
		return slices.DeleteFunc(slices.Clone(s.busy), func(name gw.ServerName) bool { return name == s.shortest })
	}
}

const (
	// crossWait is the wait in milliseconds in the own region from which another one is asked, which takes 40 ms. A body
	// above crossBytes takes several round trips and is paid for by its bytes, so that it crosses for crossWaitLarge only.
	crossWait      = 80
	crossWaitLarge = 250
	crossBytes     = 16 << 10
)

// crosses reports whether the next attempt may use a server in another region although the own one has some.
func (s *search) crosses(body *gwforward.Body) bool {
	least := int64(crossWait)
	if body.Size() < 0 || body.Size() > crossBytes {
		least = crossWaitLarge
	}
	return s.probing() && len(s.busy) == maxProbes-1 && s.shortWait > least
}

// probes reports whether the next attempt asks for a free slot only. The owner of a key has no alternative, and a body
// that is streamed cannot be sent again.
func (c *call) probes(target gw.Target) bool {
	return !target.HasKey && !c.objective.IsZero() && c.search.probing() && c.body.Concurrent()
}
