package geraniumworks

import "context"

// ServerRef addresses a backend server.
type ServerRef struct {
	Name    ServerName `json:"name"`
	Address string     `json:"address"`
	// DividedByKey is set for a server whose sessions depend on its answers. Others may be described from the list.
	DividedByKey bool `json:"divided-by-key,omitempty"`
	// Service, Incarnation and Leaving are those of the server's entry in the host list. Incarnation is empty when the
	// list does not name it, or no longer names the server.
	Service     ServiceName `json:"service,omitempty"`
	Incarnation Incarnation `json:"incarnation,omitempty"`
	Leaving     bool        `json:"leaving,omitempty"`
}

// GrantedRange is a range that a server may serve, with the token that requests for it must bear.
type GrantedRange struct {
	Range
	Token Revision `json:"token"`
	// Handover is what the former owner gave out when it released the range, empty when there is nothing.
	Handover string `json:"handover,omitempty"`
}

// Grant extends the session of a server that checks fencing, and tells it its ranges.
type Grant struct {
	Server      ServerName     `json:"server"`
	Incarnation Incarnation    `json:"incarnation"`
	KeySpace    KeySpace       `json:"key-space"`
	DataCentre  DataCentreName `json:"data-centre"`
	Epoch       Epoch          `json:"epoch"`
	Revision    Revision       `json:"revision"`
	// Deadline ends the session. It is a reading of the server's own clock.
	Deadline ClockMilliseconds `json:"deadline-clock-milliseconds"`
	// RangesIncluded is false when the server has already confirmed Revision; Ranges is then empty.
	RangesIncluded bool           `json:"ranges-included"`
	Ranges         []GrantedRange `json:"ranges,omitempty"`
	// HoldMilliseconds replaces Deadline for a server with RangeFences. It counts from the arrival of the grant.
	HoldMilliseconds int64 `json:"hold-milliseconds,omitempty"`
}

// Release asks a server to stop serving ranges. The server answers when no request for them is running, and
// from then on refuses lists of ranges below Revision.
type Release struct {
	Server      ServerName  `json:"server"`
	Incarnation Incarnation `json:"incarnation"`
	KeySpace    KeySpace    `json:"key-space"`
	Epoch       Epoch       `json:"epoch"`
	// Revision is the lowest revision of a list of ranges that the server may accept afterwards. A server
	// that already has a list of this or a higher revision refuses the release with ErrStaleRevision.
	Revision Revision `json:"revision"`
	Ranges   []Range  `json:"ranges"`
	// Tokens are those under which a server with RangeFences holds Ranges.
	Tokens []Revision `json:"tokens,omitempty"`
}

// ServerStatus is a server's answer to every control message.
type ServerStatus struct {
	Server      ServerName  `json:"server"`
	Incarnation Incarnation `json:"incarnation"`
	// Clock is the server's own clock when it wrote the answer.
	Clock ClockMilliseconds `json:"clock-milliseconds"`
	// ChecksFencing is true when the server refuses work without a live session, range and token. It is
	// false when the server does not say.
	ChecksFencing bool `json:"checks-fencing"`
	// Epoch is the highest epoch the server has accepted, Revision that of its list of ranges.
	Epoch    Epoch    `json:"epoch"`
	Revision Revision `json:"revision"`
	Draining bool     `json:"draining"`
	// RangeFences is true when the server holds each range under a token of its own for a time that counts from the
	// arrival of the grant, has no clock to refer to, and refuses with ErrStaleEpoch what it has seen a higher token of.
	RangeFences bool `json:"range-fences,omitempty"`
	// ColdMilliseconds is how much longer the server bears a reduced load only.
	ColdMilliseconds int64 `json:"cold-milliseconds,omitempty"`
	// Handovers answers a Release, by the First of each range.
	Handovers map[Position]string `json:"handovers,omitempty"`
}

// LoadReport is a server's report of its own load. It may be late or wrong.
type LoadReport struct {
	Server      ServerName  `json:"server"`
	Incarnation Incarnation `json:"incarnation"`
	InFlight    int         `json:"in-flight"`
	Slots       int         `json:"slots"`
	// Utilisation is the share of the server's capacity in use, 0 to 1.
	Utilisation float64 `json:"utilisation"`
	// AgeMilliseconds says how old the report was when the server sent it.
	AgeMilliseconds int64 `json:"age-milliseconds"`
}

// ServerControl sends control messages to backend servers.
//
// Grant and Release fail with ErrStaleEpoch, ErrStaleRevision, ErrOtherIncarnation or ErrPastDeadline when
// the server refuses; the returned status is then valid. With any other error the status is not valid, and
// the message may have been accepted.
type ServerControl interface {
	Describe(ctx context.Context, server ServerRef) (ServerStatus, error)
	Grant(ctx context.Context, server ServerRef, grant Grant) (ServerStatus, error)
	Release(ctx context.Context, server ServerRef, release Release) (ServerStatus, error)
	// Drain tells the server that it will get no new work.
	Drain(ctx context.Context, server ServerRef) (ServerStatus, error)
	Load(ctx context.Context, server ServerRef) (LoadReport, error)
}

// Reach learns from attempts whether this host reaches backend servers.
type Reach interface {
	// CutOff reports whether this host reaches no server, although others may.
	CutOff() bool
	// Answered notes that the server at an address, an IP and port, has answered.
	Answered(address string)
	// Failed notes that a server could not be reached, or that its connection was lost or silent.
	Failed(server ServerName, address string)
}
