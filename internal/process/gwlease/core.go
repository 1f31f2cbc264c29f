package gwlease

import (
	"slices"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// Core is the state of one cell's controller on one host. It is not safe for concurrent use.
type Core struct {
	opts    options
	now     time.Time
	out     []Output
	started time.Time

	lastRequestID uint64
	requests      map[uint64]*request

	cfg     gw.Config
	service gw.Service
	listing gw.Listing
	listed  bool
	// anyStopped is set while an operator states that processes are stopped.
	anyStopped bool
	candidates []gw.HostEntry

	record           record
	rangesByOwner    map[gw.ServerName][]gw.GrantedRange
	restore          restore
	epochs           []recordedEpoch
	receivedHandover coveredEpochs

	control control
	watch   controllerWatch
	write   *write
	store   storeHealth

	stopping bool
	handover handoverState
	relief   reliefState
	// cutOff is set while this host reaches no server.
	cutOff bool
	// reliefEpoch is the highest epoch whose controller has asked this candidate to take over.
	reliefEpoch gw.Epoch

	servers map[gw.ServerName]*server
	hosts   map[gw.HostName]*host
	moves   map[gw.Position]*move
	// byName holds the servers ordered by name, so that equal inputs give equal outputs.
	byName   []*server
	plan     gw.Plan
	throttle commitThrottle
	// raiseRevisionAbove asks for a commit that makes the revision higher than it. A server whose release floor is
	// above the current revision accepts a list of ranges only after that.
	raiseRevisionAbove gw.Revision
	// sequence numbers the messages to dispatchers within an epoch.
	sequence uint64

	directory        directoryState
	loads            publishedLoads
	otherDirectories map[gw.DataCentreName]gw.Directory
	otherLoads       map[gw.DataCentreName]map[gw.ServerName]gw.ServerLoad
	// progressNow is set when an input may allow a commit or a release before the next tick.
	progressNow bool
}

// New returns a Core that has had no input yet. WithHost and WithCell are required.
func New(opts ...Option) *Core {
	return &Core{
		opts:             newOptions(opts),
		requests:         map[uint64]*request{},
		servers:          map[gw.ServerName]*server{},
		hosts:            map[gw.HostName]*host{},
		moves:            map[gw.Position]*move{},
		otherDirectories: map[gw.DataCentreName]gw.Directory{},
		otherLoads:       map[gw.DataCentreName]map[gw.ServerName]gw.ServerLoad{},
	}
}

// Step applies an input and returns the actions that follow from it, in the order in which they must be started. The
// time must not be earlier than in the previous call.
func (c *Core) Step(now time.Time, in Input) []Output {
	if c.started.IsZero() {
		c.started = now
	}
	if now.After(c.now) {
		c.now = now
	}
	c.endAuthority()
	c.apply(in)
	if _, tick := in.(Tick); tick || c.progressNow {
		c.progressNow = false
		c.progress()
	}
	out := c.out
	c.out = nil
	return out
}

func (c *Core) apply(in Input) {
	switch in := in.(type) {
	case Tick:
		c.cutOff = in.CutOff
		c.dropLateRequests()
	case ConfigChanged:
		c.configChanged(in.Config)
	case HostsListed:
		c.hostsListed(in.Listing)
	case DirectorySeen:
		c.directorySeen(in.Directory)
	case LoadsSeen:
		c.loadsSeen(in.Loads)
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

// progress starts all work that is due.
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
	c.askForRelief()
	c.probePredecessors()
	c.renewServers()
	c.renewDispatchers()
	c.progressMoves()
	c.commit()
	c.publishDirectory()
	c.publishLoads()
}

func (c *Core) configChanged(cfg gw.Config) {
	if cfg.ItemVersion().Less(c.cfg.ItemVersion()) {
		return
	}
	c.markReturningServersCold(cfg)
	c.cfg = cfg
	if s, ok := cfg.Service(c.opts.cell.Service); ok {
		c.service = s
	}
	c.updateCandidates()
	c.anyStopped = slices.ContainsFunc(cfg.OutOfService, func(o gw.OutOfService) bool { return o.Stopped })
	c.progressNow = true
}

func (c *Core) hostsListed(l gw.Listing) {
	sameHosts := c.listed && slices.Equal(l.Hosts, c.listing.Hosts)
	c.listing = l
	c.listed = true
	if !sameHosts {
		c.updateCandidates()
		c.updateHosts()
	}
	c.updateServers()
	c.progressNow = true
}

// tickSlack is half of the 100 ms between ticks. Without it, a tick that arrives slightly early would delay due work
// by a whole tick.
const tickSlack = 50 * time.Millisecond

// due reports whether periodic work planned for a time is to be done at this tick.
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
