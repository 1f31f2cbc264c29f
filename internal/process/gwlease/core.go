package gwlease

import (
	"slices"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// Core is the state of one cell's controller on one host. It is not safe for concurrent use.
type Core struct {
	o       options
	now     time.Time
	out     []Output
	started time.Time

	lastID   uint64
	requests map[uint64]*request

	cfg     gw.Config
	service gw.Service
	listing gw.Listing
	listed  bool
	// anyStopped is set while an operator states that processes are stopped.
	anyStopped bool
	order      []gw.HostEntry

	record  record
	owned   map[gw.ServerName][]gw.GrantedRange
	seen    []seenEpoch
	covered coveredEpoch

	control control
	watch   watch
	write   *write
	store   storeHealth

	stopping bool
	handover handoverState
	relief   reliefState
	// relieve is the highest epoch whose controller has asked this candidate to take over.
	relieve gw.Epoch

	servers map[gw.ServerName]*server
	hosts   map[gw.HostName]*host
	moves   map[gw.Position]*move
	// byName holds the servers ordered by name, so that the same inputs give the same outputs.
	byName []*server
	plan   gw.Plan
	pace   commitPace
	// bumpAbove asks for a commit that raises the revision above it, so that a server whose release floor is
	// higher accepts a list again.
	bumpAbove gw.Revision
	// sequence numbers the messages to dispatchers within an epoch.
	sequence uint64

	directory directoryState
	foreign   map[gw.DataCentreName]gw.Directory
	// wake is set when something happened that may allow a commit or a release before the next tick.
	wake bool
}

// New returns a Core that waits for its first inputs. WithHost and WithCell are required.
func New(opts ...Option) *Core {
	return &Core{
		o:        newOptions(opts),
		requests: map[uint64]*request{},
		servers:  map[gw.ServerName]*server{},
		hosts:    map[gw.HostName]*host{},
		moves:    map[gw.Position]*move{},
		foreign:  map[gw.DataCentreName]gw.Directory{},
	}
}

// Step applies an input at a time that never goes back, and returns the actions that follow from it, in the
// order in which they are to be started.
func (c *Core) Step(now time.Time, in Input) []Output {
	if c.started.IsZero() {
		c.started = now
	}
	if now.After(c.now) {
		c.now = now
	}
	c.endAuthority()
	c.apply(in)
	if _, tick := in.(Tick); tick || c.wake {
		c.wake = false
		c.progress()
	}
	out := c.out
	c.out = nil
	return out
}

func (c *Core) apply(in Input) {
	switch in := in.(type) {
	case Tick:
		c.dropLateRequests()
	case ConfigChanged:
		c.configChanged(in.Config)
	case HostsListed:
		c.hostsListed(in.Listing)
	case DirectorySeen:
		c.directorySeen(in.Directory)
	case AssignmentRead:
		c.assignmentRead(in)
	case CommitDone:
		c.commitDone(in)
	case ServerAnswered:
		c.serverAnswered(in)
	case DispatcherAnswered:
		c.dispatcherAnswered(in)
	case ProbeAnswered:
		c.probeAnswered(in)
	case HandoverReceived:
		c.handoverReceived(in.Request)
	case HandoverAnswered:
		c.handoverAnswered(in)
	case PlanProposed:
		c.planProposed(in.Plan)
	case StopRequested:
		c.stop()
	}
}

// progress starts whatever is due.
func (c *Core) progress() {
	if c.cfg.Version == 0 && !c.listed {
		return
	}
	if c.controls() && c.mayHandOver() {
		c.handOver()
	}
	c.readRecord()
	c.resolveWrite()
	if !c.controls() {
		c.watchController()
		c.continueHandover()
		return
	}
	c.askRelief()
	c.probeFormer()
	c.renewServers()
	c.renewDispatchers()
	c.progressMoves()
	c.commit()
	c.publishDirectory()
}

func (c *Core) configChanged(cfg gw.Config) {
	if cfg.Version < c.cfg.Version {
		return
	}
	c.coolReturning(cfg)
	c.cfg = cfg
	if s, ok := cfg.Service(c.o.cell.Service); ok {
		c.service = s
	}
	c.reorder()
	c.anyStopped = slices.ContainsFunc(cfg.OutOfService, func(o gw.OutOfService) bool { return o.Stopped })
	c.wake = true
}

func (c *Core) hostsListed(l gw.Listing) {
	sameHosts := c.listed && slices.Equal(l.Hosts, c.listing.Hosts)
	c.listing = l
	c.listed = true
	if !sameHosts {
		c.reorder()
		c.listHosts()
	}
	c.listServers()
	c.wake = true
}

// tickSlack is half of the 100 ms between ticks. Without it a tick that comes a little early would delay what
// is due by a whole tick.
const tickSlack = 50 * time.Millisecond

// due reports whether something that is done at intervals is to be done at this tick.
func (c *Core) due(at time.Time) bool {
	return !c.now.Before(at.Add(-tickSlack))
}

func (c *Core) emit(o Output) {
	c.out = append(c.out, o)
}

func (c *Core) event(e Event) {
	e.Epoch = c.control.epoch
	e.Revision = c.record.assignment.Revision
	c.emit(e)
}
