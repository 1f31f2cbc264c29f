package gwlease

import (
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

type requestKind int

const (
	requestRead requestKind = iota
	requestCommit
	requestDescribe
	requestGrant
	requestRelease
	requestLease
	requestDispatchRelease
	requestProbe
	requestHandover
	requestRelief
)

// request is an outstanding request.
type request struct {
	id       uint64
	kind     requestKind
	sentAt   time.Time
	deadline time.Time
	server   gw.ServerName
	host     gw.HostName
	// incarnation is the addressee of a grant or release to a server, instance that of a message to a dispatcher.
	incarnation    gw.Incarnation
	instance       gw.InstanceID
	revision       gw.Revision
	rangesIncluded bool
	// unsettled are the ranges of a grant whose owner is not certain.
	unsettled []gw.GrantedRange
	// moves are the ranges that a release is for; nil means all of the server.
	moves []gw.Position
}

// newRequest registers a request. Ids increase, so a request with a larger id was sent later.
func (c *Core) newRequest(kind requestKind, timeout time.Duration) *request {
	c.lastRequestID++
	r := &request{id: c.lastRequestID, kind: kind, sentAt: c.now, deadline: c.now.Add(timeout)}
	c.requests[r.id] = r
	return r
}

// takeRequest ends a request that was answered in time.
func (c *Core) takeRequest(id uint64, kinds ...requestKind) (*request, bool) {
	r, ok := c.requests[id]
	if !ok || c.now.After(r.deadline) {
		return nil, false
	}
	for _, k := range kinds {
		if r.kind == k {
			delete(c.requests, id)
			return r, true
		}
	}
	return nil, false
}

// dropLateRequests treats all requests whose deadline has passed as lost.
func (c *Core) dropLateRequests() {
	for id, r := range c.requests {
		if c.now.After(r.deadline) {
			delete(c.requests, id)
			c.requestLost(r)
		}
	}
}

func (c *Core) requestLost(r *request) {
	switch r.kind {
	case requestRead, requestCommit:
		c.storeFailed()
	case requestProbe:
		c.probeMissed(r)
	case requestHandover:
		c.handoverFailed()
	case requestGrant:
		if s := c.servers[r.server]; s != nil && s.rangeFences {
			s.grantUncertainUntil = later(s.grantUncertainUntil, s.expiresAt)
		}
	default:
	}
}

// outstanding reports whether the request with the id is still awaiting its answer.
func (c *Core) outstanding(id uint64) bool {
	_, ok := c.requests[id]
	return ok
}

// Deadline returns the time after which the answer to a request is ignored.
func (c *Core) Deadline(id uint64) (time.Time, bool) {
	if r, ok := c.requests[id]; ok {
		return r.deadline, true
	}
	return time.Time{}, false
}
