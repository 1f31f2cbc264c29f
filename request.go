package geraniumworks

import (
	"context"
	"time"
)

// RouteRequest is what the choice of a target depends on.
type RouteRequest struct {
	Service ServiceName
	Tenant  TenantName
	// HomeRegions are those of the route, empty for all.
	HomeRegions []RegionName
	// Key is empty for a service that is not divided by key.
	Key string
	// Exclude lists servers that an earlier attempt of the request has tried.
	Exclude []ServerName
	// Asked lists the servers whose dispatchers have just told the expected wait. When it is not empty, a server of this
	// host's region is chosen among them for a cost-aware service.
	Asked []ServerName
	// NoWait asks for a refusal when there is no target now.
	NoWait bool
	// BodyBytes is the size of the request body, negative when it is not known. It counts for a cost-aware service.
	BodyBytes int64
	// LargeAnswer is set when the answers of the route are large. Objective is when an answer loses most of its worth,
	// zero when that is not known. They count for a cost-aware service.
	LargeAnswer bool
	Objective   time.Time
	// Stale is the highest token that a server has refused as stale in an earlier attempt.
	Stale Revision
}

// Target is where an entry host sends a request.
type Target struct {
	Service ServiceName
	// Server is the owner of the key, or the server chosen for a service that is not divided by key.
	Server ServerName
	// HasKey is true for a service that is divided by key; Position and Token are then valid.
	HasKey   bool
	Position Position
	Token    Revision
	// Dispatcher is the host through which requests for Server pass. Local is true when it is this process.
	Dispatcher   HostName
	RelayAddress string
	Local        bool
	// RemoteRegion is true when the dispatcher stands in another region.
	RemoteRegion bool
}

// Router chooses targets from the configuration, assignments and directories in force.
type Router interface {
	// Route returns the target of a request, or a refusal with ReasonNoOwner, ReasonNoServer,
	// ReasonWrongRegion, ReasonUnknownTenant or ReasonNotReady. It waits for newer state, within ctx, when
	// the state it has cannot be right: a range without owner, or a token not above req.Stale.
	Route(ctx context.Context, req RouteRequest) (Target, *Refusal)
}

// CostClass groups requests that are expected to cost a server about the same: those of one route, method and size
// class of the body. It is empty when it is not known.
type CostClass string

// ServerUtilization is the load that a server reports with an answer.
type ServerUtilization struct {
	// Running, Waiting and Slots count requests and slots of the server.
	Running, Waiting, Slots int
	// WorkPercent is how long work takes on the server's machine at this moment, 100 when it takes as long as usual.
	WorkPercent float64
}

// SlotRequest asks a dispatcher for a slot of a server.
type SlotRequest struct {
	Service  ServiceName
	Server   ServerName
	Tenant   TenantName
	HasKey   bool
	Position Position
	Token    Revision
	// Deadline is when the caller of the request stops waiting for the answer.
	Deadline time.Time
	// Objective is when an answer loses most of its worth for the caller, zero when that is the deadline.
	Objective time.Time
	// Priority is the rank of the request, 0 is the most urgent.
	Priority int
	// NoWait asks for a refusal with the expected wait when no slot is free now.
	NoWait bool
	// Class is the cost class of the request.
	Class CostClass
}

// AttemptResult tells a dispatcher how the request that held a slot ended.
type AttemptResult struct {
	Outcome Outcome
	// Status is the HTTP status of the server's answer, zero when there was none.
	Status int
	// Incarnation is the one on the server's answer, empty when the answer named none.
	Incarnation Incarnation
	// Overloaded is true when the server refused the request because it has too much work.
	Overloaded bool
	// Leaving is set when the server has said that it leaves. PausedUntil is until when it has asked for no requests from
	// this host, zero when it has not.
	Leaving     bool
	PausedUntil time.Time
	// LimitPerSecond is how many requests a second the server takes from all hosts together, zero when it names no limit.
	LimitPerSecond float64
	// Load is the load that the server has reported, nil when it has reported none.
	Load *ServerUtilization
	// FirstByte and End are when the answer began and ended, zero when it did not. An unknown outcome without End
	// occupies the slot until the request's deadline, since the server may still be running it.
	FirstByte time.Time
	End       time.Time
}

// Slot is the right to run one request on a server. Done must be called exactly once.
type Slot interface {
	Server() DispatchServer
	// SendBefore is when the right to send the request ends: with the lease of the server, or at the request's
	// deadline. It is checked directly before the first byte.
	SendBefore() time.Time
	Done(result AttemptResult)
}

// Dispatcher hands out the slots that controllers have lent to this host.
type Dispatcher interface {
	// Acquire waits in a bounded queue for a slot. It refuses with ReasonOverloaded, ReasonNoServer when this
	// host is not the server's dispatcher, ReasonNoOwner when the range was released or the token is stale, or
	// ReasonDeadlineTooShort. Every refusal is not-run.
	Acquire(ctx context.Context, req SlotRequest) (Slot, *Refusal)
	// Preview returns the refusal that Acquire would give now without waiting, nil when the request would start or wait.
	Preview(req SlotRequest) *Refusal
	// Renew accepts a lease, see Peer.RenewDispatch.
	Renew(lease DispatchLease) (DispatchStatus, error)
	// Release stops requests for ranges and waits until none is in flight, see Peer.ReleaseDispatch.
	Release(ctx context.Context, release DispatchRelease) (DispatchStatus, error)
}
