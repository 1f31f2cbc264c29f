package geraniumworks

import "time"

// ServerState is what a controller knows about a server.
type ServerState string

// States of a server.
const (
	// ServerNew has not been reached yet by its controller.
	ServerNew ServerState = "new"
	// ServerUp has a live session, or a live dispatcher lease when it does not check fencing.
	ServerUp ServerState = "up"
	// ServerSuspect did not answer, and may still serve its ranges.
	ServerSuspect ServerState = "suspect"
	// ServerExpired cannot serve any range: its session is over for certain.
	ServerExpired ServerState = "expired"
	// ServerLeaving is up and is to be emptied: it drains, its host leaves, or an operator took it out.
	ServerLeaving ServerState = "leaving"
)

// ServerView is one server as the placement policy sees it.
type ServerView struct {
	Name       ServerName
	DataCentre DataCentreName
	State      ServerState
	// Capacity is the load that the server bears when warm, in requests a second.
	Capacity float64
	// WarmPercent is the share of Capacity that the server bears now, 1 to 100.
	WarmPercent int
	// Load is the load measured at the dispatchers, in requests a second.
	Load float64
}

// HotPosition is a position that gets a large share of the load.
type HotPosition struct {
	Position Position `json:"position"`
	// RequestsPerSecond is an estimate.
	RequestsPerSecond float64 `json:"requests-per-second"`
}

// PlacementView is the input of a placement policy.
type PlacementView struct {
	Now        time.Time
	Assignment Assignment
	// DataCentre is the cell that asks. The policy proposes moves off servers of this cell, and, if Lead is
	// set, of ranges without owner.
	DataCentre DataCentreName
	Lead       bool
	Servers    []ServerView
	// RangeLoads gives requests a second by the First of each range.
	RangeLoads map[Position]float64
	Hot        []HotPosition
	// Arrivals are the requests of the last seconds at the servers of the own cell that were reported.
	Arrivals Arrivals
	// Granularity is the smallest width of a range, a power of two; 1 permits a range for a single position.
	Granularity uint64
}

// Move proposes a new owner for a range.
type Move struct {
	First Position
	From  ServerName
	To    ServerName
}

// Plan is the output of a placement policy. Splits are applied first, then Merges, then Moves.
type Plan struct {
	Splits []Position
	Merges []Position
	Moves  []Move
}

// Empty reports whether the plan changes nothing.
func (p Plan) Empty() bool {
	return len(p.Splits)+len(p.Merges)+len(p.Moves) == 0
}

// Placer decides which server should own which range. It proposes; whether and when a move is safe is
// decided by the controller of the cell.
type Placer interface {
	Place(view PlacementView) Plan
}

// Arrivals describes the requests that arrived within a window of time.
type Arrivals struct {
	// Samples are ordered by position. Each stands for Weight requests a second.
	Samples []Arrival
}

// Arrival is the position of a request and the requests a second that it stands for.
type Arrival struct {
	Position Position
	Weight   float64
}
