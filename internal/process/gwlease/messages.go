package gwlease

import (
	gw "github.com/geraniumworks/geraniumworks"
)

// Input is an event that the control loop passes to a Core.
type Input interface{ input() }

// Tick reports that time has passed. The control loop sends one every 100 ms.
type Tick struct {
	// CutOff is set while this host reaches no server, of this cell or any other.
	CutOff bool
}

// ConfigChanged carries the configuration in force.
type ConfigChanged struct{ Config gw.Config }

// HostsListed carries a reading of the host list.
type HostsListed struct{ Listing gw.Listing }

// DirectorySeen carries a directory that the host received, of this cell or of another cell of the key space.
type DirectorySeen struct{ Directory gw.Directory }

// LoadsSeen carries the loads of the servers of another cell of the key space.
type LoadsSeen struct{ Loads gw.CellLoads }

// AssignmentRead answers ReadAssignment. Found is false when the store has no record; Err is set when the store did
// not answer. ID zero marks a record received without a request, from a watch or a distributor. Such a record never
// extends the controller's authority.
type AssignmentRead struct {
	ID         uint64
	Found      bool
	Version    gw.StoreVersion
	Assignment gw.Assignment
	// Repaired is set when fields of the record could not be read and are dropped.
	Repaired bool
	Err      error
}

// CommitDone answers CommitAssignment. Err is nil when the write was applied, gw.ErrConflict when it was not and
// never will be, and any other error when the outcome is unknown. Found is set on a conflict when the answer
// includes the stored record, in Version and Current. gw.ErrValueTooLarge and gw.ErrBadText say that the assignment was
// not sent, since it could not be read again.
type CommitDone struct {
	ID      uint64
	Version gw.StoreVersion
	Found   bool
	Current gw.Assignment
	// Repaired is set when fields of Current could not be read and are dropped.
	Repaired bool
	Err      error
}

// ServerAnswered answers SendDescribe, SendGrant and SendRelease. Err is one of the errors of
// gw.ServerControl.
type ServerAnswered struct {
	ID     uint64
	Server gw.ServerName
	Status gw.ServerStatus
	Err    error
}

// DispatcherAnswered answers SendDispatchLease and SendDispatchRelease.
type DispatcherAnswered struct {
	ID     uint64
	Host   gw.HostName
	Status gw.DispatchStatus
	Err    error
}

// ProbeAnswered answers SendProbe.
type ProbeAnswered struct {
	ID    uint64
	Host  gw.HostName
	Reply gw.ProbeReply
	Err   error
}

// HandoverReceived says that the controller of the cell has stopped renewing under Epoch and all lower ones, or that it
// asks for relief.
type HandoverReceived struct{ Request gw.HandoverRequest }

// HandoverAnswered answers SendHandover.
type HandoverAnswered struct {
	ID    uint64
	Host  gw.HostName
	Reply gw.HandoverReply
	Err   error
}

// PlanProposed carries a proposal of the placement policy. The Core carries out what is safe.
type PlanProposed struct{ Plan gw.Plan }

// StopRequested starts a planned stop: the Core hands the cell over and never becomes controller again.
type StopRequested struct{}

func (Tick) input()               {}
func (ConfigChanged) input()      {}
func (HostsListed) input()        {}
func (DirectorySeen) input()      {}
func (LoadsSeen) input()          {}
func (AssignmentRead) input()     {}
func (CommitDone) input()         {}
func (ServerAnswered) input()     {}
func (DispatcherAnswered) input() {}
func (ProbeAnswered) input()      {}
func (HandoverReceived) input()   {}
func (HandoverAnswered) input()   {}
func (PlanProposed) input()       {}
func (StopRequested) input()      {}

// Output is an action that the control loop carries out for a Core.
type Output interface{ output() }

// ReadAssignment reads the record of the key space from the store.
type ReadAssignment struct{ ID uint64 }

// CommitAssignment writes the record if its version in the store is still Expected.
type CommitAssignment struct {
	ID       uint64
	Expected gw.StoreVersion
	Next     gw.Assignment
}

// SendDescribe asks a server for its status.
type SendDescribe struct {
	ID     uint64
	Server gw.ServerRef
}

// SendGrant sends a grant to a server.
type SendGrant struct {
	ID     uint64
	Server gw.ServerRef
	Grant  gw.Grant
}

// SendRelease sends a release to a server.
type SendRelease struct {
	ID      uint64
	Server  gw.ServerRef
	Release gw.Release
}

// SendDispatchLease sends a lease to a dispatcher.
type SendDispatchLease struct {
	ID    uint64
	Host  gw.HostEntry
	Lease gw.DispatchLease
}

// SendDispatchRelease sends a release to a dispatcher.
type SendDispatchRelease struct {
	ID      uint64
	Host    gw.HostEntry
	Release gw.DispatchRelease
}

// SendProbe asks a host whether it controls the cell.
type SendProbe struct {
	ID      uint64
	Host    gw.HostEntry
	Request gw.ProbeRequest
}

// SendHandover passes the cell on to a host.
type SendHandover struct {
	ID      uint64
	Host    gw.HostEntry
	Request gw.HandoverRequest
}

// PublishDirectory makes the directory of the cell known to all hosts.
type PublishDirectory struct{ Directory gw.Directory }

// PublishLoads makes the loads of the cell's servers known to the controllers of the other cells.
type PublishLoads struct{ Loads gw.CellLoads }

// EventKind names a change of state that is counted, logged and, for ownership, audited.
type EventKind string

// Kinds of events.
const (
	EventControlTaken      EventKind = "control-taken"
	EventControlLost       EventKind = "control-lost"
	EventControlHandedOver EventKind = "control-handed-over"
	EventReliefAsked       EventKind = "relief-asked"
	EventSessionStarted    EventKind = "session-started"
	EventSessionExpired    EventKind = "session-expired"
	EventServerRestarted   EventKind = "server-restarted"
	EventServerLeaving     EventKind = "server-leaving"
	// EventServerLimit is the begin or the end of a limit that a server names in its answers.
	EventServerLimit       EventKind = "server-limit"
	EventRangeMoved        EventKind = "range-moved"
	EventRangeSplit        EventKind = "range-split"
	EventRangeMerged       EventKind = "range-merged"
	EventMoveRefused       EventKind = "move-refused"
	EventCommitConflict    EventKind = "commit-conflict"
	EventDispatcherChanged EventKind = "dispatcher-changed"
	EventAuthorityEnded    EventKind = "authority-ended"
	EventTokenRaised       EventKind = "token-raised"
	EventStoreRestored     EventKind = "store-restored"
	EventRangesSettled     EventKind = "ranges-settled"
	// EventHandoverDropped is a handover that the record cannot hold, so that the next owner starts without it.
	EventHandoverDropped EventKind = "handover-dropped"
	// EventRecordRepaired is the commit of a record of which fields could not be read.
	EventRecordRepaired EventKind = "record-repaired"
)

// Event reports a change of state.
type Event struct {
	Kind     EventKind
	Server   gw.ServerName
	Host     gw.HostName
	First    gw.Position
	To       gw.ServerName
	Epoch    gw.Epoch
	Revision gw.Revision
	Detail   string
}

func (ReadAssignment) output()      {}
func (CommitAssignment) output()    {}
func (SendDescribe) output()        {}
func (SendGrant) output()           {}
func (SendRelease) output()         {}
func (SendDispatchLease) output()   {}
func (SendDispatchRelease) output() {}
func (SendProbe) output()           {}
func (SendHandover) output()        {}
func (PublishDirectory) output()    {}
func (PublishLoads) output()        {}
func (Event) output()               {}
