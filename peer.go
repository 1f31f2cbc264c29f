package geraniumworks

import "context"

// ItemVersion orders the versions of one item: by Epoch, then by Sequence.
type ItemVersion struct {
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
}

// Less reports whether v is older than w.
func (v ItemVersion) Less(w ItemVersion) bool {
	if v.Epoch != w.Epoch {
		return v.Epoch < w.Epoch
	}
	return v.Sequence < w.Sequence
}

// DirectoryServer is a server in the directory of a cell.
type DirectoryServer struct {
	Name        ServerName  `json:"name"`
	Address     string      `json:"address"`
	Incarnation Incarnation `json:"incarnation"`
	State       ServerState `json:"state"`
	// Dispatcher is the host that all work for the server passes through, empty while there is none, and
	// RelayAddress where that host takes requests, empty until it has accepted its lease.
	Dispatcher   HostName `json:"dispatcher,omitempty"`
	RelayAddress string   `json:"relay-address,omitempty"`
	Slots        int      `json:"slots"`
}

// Directory lists the servers of a cell. It is published by the cell's controller.
type Directory struct {
	Cell   CellID     `json:"cell"`
	Region RegionName `json:"region"`
	// Space is set when it is not the key space of the service in Region.
	Space      KeySpace          `json:"key-space,omitzero"`
	Epoch      Epoch             `json:"epoch"`
	Sequence   uint64            `json:"sequence"`
	Controller InstanceID        `json:"controller"`
	Servers    []DirectoryServer `json:"servers"`
}

// ServerLoad is the load of a server and what it bears, in requests a second.
type ServerLoad struct {
	Name     ServerName `json:"name"`
	Load     float64    `json:"load"`
	Capacity float64    `json:"capacity"`
}

// CellLoads are the loads of the servers of a cell with ordered keys. The cell's controller publishes them at intervals
// for the controllers of the other cells; hosts that control none do without.
type CellLoads struct {
	Cell     CellID       `json:"cell"`
	Epoch    Epoch        `json:"epoch"`
	Sequence uint64       `json:"sequence"`
	Servers  []ServerLoad `json:"servers"`
}

// Version orders the loads of a cell.
func (l CellLoads) Version() ItemVersion {
	return ItemVersion{Epoch: uint64(l.Epoch), Sequence: l.Sequence}
}

// KeySpace returns the key space that the cell's servers take part in: Space, or that of the cell's own region when it
// is not set.
func (d Directory) KeySpace() KeySpace {
	if d.Space == (KeySpace{}) {
		return KeySpace{Service: d.Cell.Service, Region: d.Region}
	}
	return d.Space
}

// ProbeRequest asks a host for its instance and the cells it controls.
type ProbeRequest struct {
	From InstanceID `json:"from"`
	Cell CellID     `json:"cell"`
}

// ProbeReply answers a ProbeRequest.
type ProbeReply struct {
	Instance InstanceID `json:"instance"`
	// Epoch is the epoch under which the host controls the cell, zero when it does not.
	Epoch    Epoch `json:"epoch"`
	Stopping bool  `json:"stopping"`
	// ConfigVersion is the version of the configuration that the host has in force.
	ConfigVersion ConfigVersion `json:"config-version"`
}

// HandoverRequest tells a host that the sender has stopped renewing the cell under Epoch and all lower ones,
// and will not resume.
type HandoverRequest struct {
	From  InstanceID `json:"from"`
	Cell  CellID     `json:"cell"`
	Epoch Epoch      `json:"epoch"`
	// Relieve, with a zero Epoch, asks to take over from the sender, which controls the cell under this epoch, cannot
	// reach the store, and goes on until the record names a successor.
	Relieve Epoch `json:"relieve,omitempty"`
}

// HandoverReply answers a HandoverRequest.
type HandoverReply struct {
	Accepted bool `json:"accepted"`
}

// DispatchServer is a server that a dispatcher may send to.
type DispatchServer struct {
	Name          ServerName  `json:"name"`
	Address       string      `json:"address"`
	Incarnation   Incarnation `json:"incarnation"`
	ChecksFencing bool        `json:"checks-fencing"`
	Slots         int         `json:"slots"`
	Connections   int         `json:"connections"`
	Leaving       bool        `json:"leaving"`
	// ColdUntil is a reading of the receiver's clock until which the server bears its cold rate only.
	ColdUntil             ClockMilliseconds `json:"cold-until-clock-milliseconds,omitempty"`
	ColdRequestsPerSecond float64           `json:"cold-requests-per-second,omitempty"`
	// PausedUntil is a reading of the receiver's clock until which the server has asked a dispatcher for no requests.
	PausedUntil ClockMilliseconds `json:"paused-until-clock-milliseconds,omitempty"`
	// LimitPerSecond is how many requests a second the server takes from all hosts together, as it told a dispatcher, zero
	// when it names no limit.
	LimitPerSecond float64 `json:"limit-per-second,omitempty"`
	// OverrunMilliseconds is how long after the lease's deadline the receiver goes on sending while no controller has
	// told it otherwise. It is zero for a server that relies on a single sender.
	OverrunMilliseconds int64 `json:"overrun-milliseconds,omitempty"`
	// Revision is the revision of the assignment that Ranges is taken from. RangesOmitted is true when the
	// receiver has reported the same revision; it then keeps the ranges it has.
	Revision      Revision       `json:"revision"`
	RangesOmitted bool           `json:"ranges-omitted,omitempty"`
	Ranges        []GrantedRange `json:"ranges,omitempty"`
}

// DispatchLease makes the receiver the dispatcher of servers until Deadline.
type DispatchLease struct {
	Cell     CellID     `json:"cell"`
	Epoch    Epoch      `json:"epoch"`
	Sequence uint64     `json:"sequence"`
	To       InstanceID `json:"to"`
	// Deadline is a reading of the receiver's own clock. Zero only asks for the receiver's status.
	Deadline ClockMilliseconds `json:"deadline-clock-milliseconds"`
	Servers  []DispatchServer  `json:"servers"`
}

// DispatchedServer is what a dispatcher has seen of a server since its last status.
type DispatchedServer struct {
	Name        ServerName  `json:"name"`
	Incarnation Incarnation `json:"incarnation"`
	// Revision is that of the ranges that the dispatcher has for the server.
	Revision Revision `json:"revision"`
	InFlight int      `json:"in-flight"`
	// Answers and Failures count requests since the last status.
	Answers  int64 `json:"answers"`
	Failures int64 `json:"failures"`
	// RequestsPerSecond is averaged over about ten seconds.
	RequestsPerSecond float64 `json:"requests-per-second"`
	// RangeLoads gives requests a second by the First of each range.
	RangeLoads map[Position]float64 `json:"range-loads,omitempty"`
	Hot        []HotPosition        `json:"hot,omitempty"`
	// Arrivals counts requests with a key since the last status, Positions are those of a part of them.
	Arrivals  int64      `json:"arrivals,omitempty"`
	Positions []Position `json:"positions,omitempty"`
	// Leaving is set when the server has said in an answer that it leaves. PauseMilliseconds is for how much longer it
	// wants no requests from the dispatcher.
	Leaving           bool  `json:"leaving,omitempty"`
	PauseMilliseconds int64 `json:"pause-milliseconds,omitempty"`
	// LimitPerSecond is how many requests a second the server takes from all hosts together, zero when it names no limit.
	LimitPerSecond float64 `json:"limit-per-second,omitempty"`
	// MeanMilliseconds is the mean time that the server takes for a request, zero when it is not known.
	MeanMilliseconds float64 `json:"mean-milliseconds,omitempty"`
}

// DispatchStatus answers a DispatchLease or a DispatchRelease.
type DispatchStatus struct {
	Instance InstanceID        `json:"instance"`
	Clock    ClockMilliseconds `json:"clock-milliseconds"`
	Epoch    Epoch             `json:"epoch"`
	Sequence uint64            `json:"sequence"`
	// Stopping is set when the dispatcher stops, or reaches no server at the moment: others are to get its servers.
	Stopping bool               `json:"stopping"`
	Servers  []DispatchedServer `json:"servers,omitempty"`
}

// DispatchRelease asks a dispatcher to stop sending requests for ranges of a server, or for all of it when
// Ranges is empty. The answer comes when none is in flight.
type DispatchRelease struct {
	Cell     CellID     `json:"cell"`
	Epoch    Epoch      `json:"epoch"`
	Sequence uint64     `json:"sequence"`
	To       InstanceID `json:"to"`
	Server   ServerName `json:"server"`
	Ranges   []Range    `json:"ranges,omitempty"`
}

// PullRequest asks for items newer than those held.
type PullRequest struct {
	From InstanceID            `json:"from"`
	Host HostName              `json:"host"`
	Have map[Topic]ItemVersion `json:"have"`
	// Only limits the items to topics that begin with one of the prefixes, unless it is empty.
	Only []Topic `json:"only,omitempty"`
	// WaitMilliseconds is how long the receiver may wait for news before it answers.
	WaitMilliseconds int64 `json:"wait-milliseconds"`
}

// PullReply answers a PullRequest.
type PullReply struct {
	Instance InstanceID `json:"instance"`
	Items    []Item     `json:"items"`
	// SourceCurrent is set when the store answers the sender, so that the items from there are up to date.
	SourceCurrent bool `json:"source-current,omitempty"`
	// SourceAgeMilliseconds is how long ago the store last answered the sender.
	SourceAgeMilliseconds int64 `json:"source-age-milliseconds,omitempty"`
}

// OfferRequest passes items on to a relay without being asked.
type OfferRequest struct {
	From  InstanceID `json:"from"`
	Items []Item     `json:"items"`
}

// OfferReply answers an OfferRequest.
type OfferReply struct {
	Instance InstanceID `json:"instance"`
	// Missing are the topics of changes that the sender cannot apply, because it does not hold their base.
	Missing []Topic `json:"missing,omitempty"`
}

// QuotaAsk asks a coordinator for tokens of a tenant's quota.
type QuotaAsk struct {
	Tenant TenantName `json:"tenant"`
	Tokens int        `json:"tokens,omitempty"`
	// Returned is the number of tokens lent earlier that were not used before their deadline.
	Returned int `json:"returned,omitempty"`
}

// QuotaHandover passes a tenant's unspent tokens on to the next coordinator. The sender lends none of them any more.
type QuotaHandover struct {
	Tenant TenantName `json:"tenant"`
	Tokens float64    `json:"tokens"`
	// IdleMilliseconds is for how long the sender has lent none, in the answer to a claim.
	IdleMilliseconds int64 `json:"idle-milliseconds,omitempty"`
}

// QuotaRequest asks a coordinator for tokens. Without asks and handovers it checks that the receiver can be reached.
type QuotaRequest struct {
	Host      HostName        `json:"host"`
	Asks      []QuotaAsk      `json:"asks,omitempty"`
	Handovers []QuotaHandover `json:"handovers,omitempty"`
	// Claims are tenants that the sender coordinates as soon as no other host lends their tokens.
	Claims []TenantName `json:"claims,omitempty"`
}

// QuotaGrant lends tokens of a tenant's quota, until a deadline that the receiver counts from its request.
type QuotaGrant struct {
	Tenant TenantName `json:"tenant"`
	Tokens int        `json:"tokens,omitempty"`
	// WaitMilliseconds is when further tokens are expected, set when fewer were lent than asked for.
	WaitMilliseconds int64 `json:"wait-milliseconds,omitempty"`
	// Coordinator is the host to ask instead, empty when it is the receiver.
	Coordinator HostName `json:"coordinator,omitempty"`
	// Starting is set while the receiver lends nothing yet, and is expected to within about a second.
	Starting bool `json:"starting,omitempty"`
}

// QuotaReply answers a QuotaRequest.
type QuotaReply struct {
	Grants []QuotaGrant `json:"grants,omitempty"`
	// Claimed are those of the request's claims whose tokens the receiver does not lend, or no longer lends, with what it
	// has left.
	Claimed []QuotaHandover `json:"claimed,omitempty"`
	// Cut are the data centres that the receiver cannot reach, and whose share it therefore does not lend.
	Cut []DataCentreName `json:"cut,omitempty"`
}

// Peer sends messages to other hosts, each addressed by its peer address.
//
// A refusal is returned as ErrStaleEpoch, ErrStaleRevision, ErrOtherInstance or ErrPastDeadline, together with a
// valid reply; with any other error the reply is not valid, and the message may have been accepted.
type Peer interface {
	Probe(ctx context.Context, address string, req ProbeRequest) (ProbeReply, error)
	Handover(ctx context.Context, address string, req HandoverRequest) (HandoverReply, error)
	RenewDispatch(ctx context.Context, address string, lease DispatchLease) (DispatchStatus, error)
	ReleaseDispatch(ctx context.Context, address string, release DispatchRelease) (DispatchStatus, error)
	Pull(ctx context.Context, address string, req PullRequest) (PullReply, error)
	Offer(ctx context.Context, address string, req OfferRequest) (OfferReply, error)
	ShareQuota(ctx context.Context, address string, req QuotaRequest) (QuotaReply, error)
}
