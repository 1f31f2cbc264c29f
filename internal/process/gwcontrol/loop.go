// Package gwcontrol runs the controllers of the cells that this host controls or may soon have to control, in one
// goroutine. Their number is bounded by the number of cells, not by that of hosts.
//
// A cell is the set of servers of one service in one data centre. Its controller is a state machine (package gwlease):
// this package feeds it inputs and executes the actions that it returns.
package gwcontrol

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/process/gwlease"
	"github.com/geraniumworks/geraniumworks/internal/version/gwtable"
)

const (
	// tickInterval is the time between Tick inputs.
	tickInterval = 100 * time.Millisecond
	// placementInterval is the time between calls of the placement policy of a cell. orderedPlacementInterval replaces it
	// for services with ordered keys, whose busy keys change within seconds.
	placementInterval        = time.Second
	orderedPlacementInterval = 300 * time.Millisecond
	// placementTolerance prevents a tick that fires slightly early from postponing a call by a whole interval.
	placementTolerance = 50 * time.Millisecond
	// eventBuffer is the number of results of calls that may wait for the loop.
	eventBuffer = 1024
)

// errTakeoverPending is the answer to a probe while this host waits for the store to confirm that it controls the cell.
var errTakeoverPending = errors.New("takeover of the cell is pending")

// Loop owns the control state of a process. Only the goroutine of Run accesses the controllers.
type Loop struct {
	self      gw.HostEntry
	instance  gw.InstanceID
	store     gw.Store
	servers   gw.ServerControl
	peer      gw.Peer
	table     *gwtable.Table
	listing   func() (gw.Listing, uint64)
	publisher Publisher
	ready     <-chan struct{}
	newPlacer func(gw.CellID) gw.Placer
	cutOff    func() bool
	timing    gwlease.Timing
	clock     gw.Clock
	log       *slog.Logger
	counters  counters

	// unreadable holds the version of each record that could not be decoded, by its key.
	unreadable sync.Map

	events       chan event
	tasks        chan task
	stopRequests chan chan struct{}

	cells map[gw.CellID]*cell
	// standing is set while there are cells.
	standing atomic.Bool
	// hosts are the hosts of the listing for which the cells were last chosen.
	hosts []gw.HostEntry
	// appliedChange is the table's change channel at the time of the last applyTable.
	appliedChange <-chan struct{}
	configVersion gw.ItemVersion
	listingNumber uint64
	calls         sync.WaitGroup
	stopping      bool
	// stopWaiters holds the channels to close when no cell is controlled any more.
	stopWaiters []chan struct{}
}

// cell is the controller of a cell with its placement policy.
type cell struct {
	id         gw.CellID
	space      gw.KeySpace
	controller *gwlease.Core
	placer     gw.Placer
	// directoryVersions and loadVersions hold the versions of other cells' directories and loads that the controller has
	// received, and recordVersion the version of the assignment.
	directoryVersions map[gw.CellID]gw.ItemVersion
	loadVersions      map[gw.CellID]gw.ItemVersion
	recordVersion     gw.StoreVersion
	// nextPlacement is the earliest time for the next call of the placement policy.
	nextPlacement time.Time
}

// task is work of another goroutine that needs access to the controllers.
type task struct {
	do   func(context.Context)
	done chan struct{}
}

// event is an input for the controller of a cell.
type event struct {
	cell gw.CellID
	in   gwlease.Input
}

// New returns a Loop.
func New(opts ...Option) *Loop {
	l := &Loop{
		clock:        gw.SystemClock{},
		cutOff:       func() bool { return false },
		timing:       gwlease.DefaultTiming(),
		log:          slog.New(slog.DiscardHandler),
		counters:     newCounters(),
		events:       make(chan event, eventBuffer),
		tasks:        make(chan task),
		stopRequests: make(chan chan struct{}),
		cells:        map[gw.CellID]*cell{},
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Probe answers a probe from another host. The sender treats an error as no answer. Probe may be called from any
// goroutine.
//
// The goroutine of Run creates the reply. A reply without an epoch promises that this host does not control the cell,
// so it must not predate a decision of the controller to act.
func (l *Loop) Probe(ctx context.Context, req gw.ProbeRequest) (gw.ProbeReply, error) {
	reply, answers := gw.ProbeReply{Instance: l.instance}, true
	err := l.runTask(ctx, func(context.Context) {
		if c, ok := l.cells[req.Cell]; ok {
			reply, answers = c.controller.Probe(l.clock.Now())
		}
	})
	if err != nil {
		return gw.ProbeReply{}, err
	}
	if !answers {
		return gw.ProbeReply{}, eris.Wrapf(errTakeoverPending, "cell %s", req.Cell)
	}
	reply.ConfigVersion = l.table.State().Config.Version
	return reply, nil
}

// Handover passes a handover request from another host to the controller of the cell and reports whether it was
// accepted. It fails only with the error of ctx. It may be called from any goroutine.
func (l *Loop) Handover(ctx context.Context, req gw.HandoverRequest) (gw.HandoverReply, error) {
	var reply gw.HandoverReply
	err := l.runTask(ctx, func(ctx context.Context) {
		c, ok := l.cells[req.Cell]
		if !ok || !c.controller.AcceptsHandover(req) {
			return
		}
		l.step(ctx, c, gwlease.HandoverReceived{Request: req})
		reply.Accepted = true
	})
	if err != nil {
		return gw.HandoverReply{}, err
	}
	return reply, nil
}

// StandsBy reports whether this host controls cells or may soon have to. It may be called from any goroutine.
func (l *Loop) StandsBy() bool {
	return l.standing.Load()
}

// runTask runs do in the goroutine of Run and waits until it returns.
func (l *Loop) runTask(ctx context.Context, do func(context.Context)) error {
	done := make(chan struct{})
	t := task{do: do, done: done}
	select {
	case l.tasks <- t:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stop hands over all cells to other hosts. It returns when this host controls no cell any more or when ctx ends.
func (l *Loop) Stop(ctx context.Context) error {
	done := make(chan struct{})
	select {
	case l.stopRequests <- done:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run runs the controllers until ctx ends, and then waits for the calls it has started.
func (l *Loop) Run(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	place := time.NewTicker(orderedPlacementInterval)
	defer place.Stop()
	// Calls end with ctx. Their goroutines do not block on delivering results after that, since they also select on ctx.
	defer l.calls.Wait()
	if err := l.awaitReady(ctx); err != nil {
		return nil
	}
	for {
		changed := l.table.Changed()
		l.applyTable(ctx, changed)
		l.handleNext(ctx, changed, tick.C, place.C)
		if ctx.Err() != nil {
			return nil
		}
	}
}

// awaitReady waits until the configuration is known to be in force. Meanwhile it runs tasks and confirms stop requests
// at once, since a process without controllers controls no cell.
func (l *Loop) awaitReady(ctx context.Context) error {
	for l.ready != nil {
		select {
		case <-l.ready:
			return nil
		case t := <-l.tasks:
			t.do(ctx)
			close(t.done)
		case done := <-l.stopRequests:
			close(done)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// handleNext waits for one event and handles it.
func (l *Loop) handleNext(ctx context.Context, changed <-chan struct{}, tick, place <-chan time.Time) {
	select {
	case <-ctx.Done():
	case <-changed:
	case ev := <-l.events:
		if c, ok := l.cells[ev.cell]; ok {
			l.step(ctx, c, ev.in)
		}
	case t := <-l.tasks:
		t.do(ctx)
		close(t.done)
	case done := <-l.stopRequests:
		l.beginStop(ctx, done)
	case <-tick:
		l.tick(ctx)
	case <-place:
		l.place(ctx)
	}
}

func (l *Loop) tick(ctx context.Context) {
	listing, number := l.listing()
	if number != l.listingNumber && !slices.Equal(listing.Hosts, l.hosts) {
		l.chooseCells(ctx, listing.Hosts)
	}
	tick := gwlease.Tick{CutOff: l.cutOff()}
	for _, c := range l.cells {
		if number != l.listingNumber {
			l.step(ctx, c, gwlease.HostsListed{Listing: listing})
		}
		l.step(ctx, c, tick)
	}
	l.listingNumber = number
	l.finishStop()
}

// applyTable passes newer items of the table to the controllers. changed is the table's change channel, taken before
// the call.
//
// It compares every cell of the region with every directory. It therefore runs once for each change of the table and
// not for each answer of a server or host: with 90 cells and 270 directories, the latter took 8% of a processor core.
func (l *Loop) applyTable(ctx context.Context, changed <-chan struct{}) {
	if changed == l.appliedChange {
		return
	}
	l.appliedChange = changed
	state := l.table.State()
	if state.Ready && state.Config.ItemVersion() != l.configVersion {
		l.configure(ctx, state.Config)
	}
	for _, c := range l.cells {
		l.applyItems(ctx, c, state)
	}
}

// applyItems passes newer items of the table to the controller of a cell.
func (l *Loop) applyItems(ctx context.Context, c *cell, state gwtable.State) {
	l.applyDirectories(ctx, c, state)
	for id, loads := range state.Loads {
		if id.Service == c.id.Service && c.loadVersions[id].Less(loads.Version()) {
			c.loadVersions[id] = loads.Version()
			l.step(ctx, c, gwlease.LoadsSeen{Loads: loads})
		}
	}
	r, ok := state.Assignments[c.space]
	if ok && r.StoreVersion > c.recordVersion {
		c.recordVersion = r.StoreVersion
		l.step(ctx, c, gwlease.AssignmentRead{Found: true, Version: r.StoreVersion, Assignment: r.Assignment})
	}
}

// configure passes the configuration to all controllers, after starting those that it makes necessary.
func (l *Loop) configure(ctx context.Context, cfg gw.Config) {
	l.configVersion = cfg.ItemVersion()
	listing, _ := l.listing()
	l.chooseCells(ctx, listing.Hosts)
	for _, c := range l.cells {
		l.step(ctx, c, gwlease.ConfigChanged{Config: cfg})
	}
}

// chooseCells starts a controller for each cell that this host may soon have to control, and drops those that it no
// longer needs. With a controller for every cell of the region, a host of a large fleet spent a quarter of its
// processor time on cells that it would never control.
func (l *Loop) chooseCells(ctx context.Context, hosts []gw.HostEntry) {
	l.hosts = hosts
	state := l.table.State()
	if !state.Ready {
		return
	}
	for _, id := range cellsOf(state.Config, l.self.Region) {
		c, ok := l.cells[id]
		needed := gwlease.StandsBy(id, l.self, state.Config, hosts)
		switch {
		case needed && !ok && !l.stopping:
			l.startCell(ctx, id, state)
		case !needed && ok && c.controller.Dormant():
			delete(l.cells, id)
		}
	}
	l.counters.standby.Set(float64(len(l.cells)))
	l.standing.Store(len(l.cells) > 0)
}

// startCell starts the controller of a cell with what is known already.
func (l *Loop) startCell(ctx context.Context, id gw.CellID, state gwtable.State) {
	c := l.newCell(id, state.Config)
	l.cells[id] = c
	if listing, number := l.listing(); number > 0 {
		l.step(ctx, c, gwlease.HostsListed{Listing: listing})
	}
	l.step(ctx, c, gwlease.ConfigChanged{Config: state.Config})
	l.applyItems(ctx, c, state)
}

func (l *Loop) newCell(id gw.CellID, cfg gw.Config) *cell {
	space := gw.KeySpace{Service: id.Service, Region: l.self.Region}
	if service, ok := cfg.Service(id.Service); ok {
		space = service.KeySpaceIn(l.self.Region)
	}
	return &cell{
		id:    id,
		space: space,
		controller: gwlease.New(
			gwlease.WithHost(l.self.Name, l.instance),
			gwlease.WithCell(id, l.self.Region),
			gwlease.WithTiming(l.timing),
		),
		placer:            l.newPlacer(id),
		directoryVersions: map[gw.CellID]gw.ItemVersion{},
		loadVersions:      map[gw.CellID]gw.ItemVersion{},
	}
}

// cellsOf returns the ids of the cells of all services in a region.
func cellsOf(cfg gw.Config, region gw.RegionName) []gw.CellID {
	var ids []gw.CellID
	for _, r := range cfg.Regions {
		if r.Name != region {
			continue
		}
		for _, service := range cfg.Services {
			if !service.ServedIn(region) {
				continue
			}
			for _, dc := range r.DataCentres {
				ids = append(ids, gw.CellID{Service: service.Name, DataCentre: dc})
			}
		}
	}
	return ids
}

// applyDirectories passes newer directories of all cells of the key space to the controller.
func (l *Loop) applyDirectories(ctx context.Context, c *cell, state gwtable.State) {
	for id, d := range state.Directories {
		if d.KeySpace() != c.space {
			continue
		}
		version := gw.ItemVersion{Epoch: uint64(d.Epoch), Sequence: d.Sequence}
		if c.directoryVersions[id].Less(version) {
			c.directoryVersions[id] = version
			l.step(ctx, c, gwlease.DirectorySeen{Directory: d})
		}
	}
}

// place calls the placement policies that are due and passes their plans to the controllers.
func (l *Loop) place(ctx context.Context) {
	now := l.clock.Now()
	controlled := 0
	for _, c := range l.cells {
		view, ok := c.controller.View(now)
		if !ok {
			continue
		}
		controlled++
		if now.Before(c.nextPlacement) {
			continue
		}
		c.nextPlacement = now.Add(placementInterval - placementTolerance)
		if c.space.Region == gw.AllRegions {
			c.nextPlacement = now
		}
		if plan := c.placer.Place(view); !plan.Empty() {
			l.step(ctx, c, gwlease.PlanProposed{Plan: plan})
		}
	}
	l.counters.cells.Set(float64(controlled))
}

// step passes an input to the controller of a cell and executes the resulting actions.
func (l *Loop) step(ctx context.Context, c *cell, in gwlease.Input) {
	start := l.clock.Now()
	outputs := c.controller.Step(start, in)
	l.counters.stepSeconds.Add(l.clock.Now().Sub(start).Seconds())
	for _, out := range outputs {
		l.execute(ctx, c, out)
	}
}

func (l *Loop) beginStop(ctx context.Context, done chan struct{}) {
	l.stopping = true
	l.stopWaiters = append(l.stopWaiters, done)
	for _, c := range l.cells {
		l.step(ctx, c, gwlease.StopRequested{})
	}
	l.finishStop()
}

// finishStop unblocks the callers of Stop once this host controls no cell.
func (l *Loop) finishStop() {
	if len(l.stopWaiters) == 0 {
		return
	}
	for _, c := range l.cells {
		if !c.controller.Stopped() {
			return
		}
	}
	for _, done := range l.stopWaiters {
		close(done)
	}
	l.stopWaiters = nil
}
