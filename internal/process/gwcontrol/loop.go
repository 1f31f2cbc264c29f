// Package gwcontrol drives the controllers of all cells that this host may control, in one goroutine.
package gwcontrol

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/process/gwlease"
	"github.com/geraniumworks/geraniumworks/internal/version/gwtable"
)

const (
	// tickInterval is the time between ticks of the cores.
	tickInterval = 100 * time.Millisecond
	// placeInterval is the time between calls of the placement policy, orderedPlaceInterval that for services with ordered
	// keys, whose busy keys change within seconds.
	placeInterval        = time.Second
	orderedPlaceInterval = 300 * time.Millisecond
	// placeSlack keeps a tick that comes a little early from delaying a call by a whole interval.
	placeSlack = 50 * time.Millisecond
	// inputBuffer is the number of answers that may wait for the loop.
	inputBuffer = 1024
)

// errStarting reports a probe of a controller that waits for the store's word that it may act.
var errStarting = errors.New("this host is taking the cell over")

// Loop owns the control state of a process. Only the goroutine in Run touches the cores.
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
	timing    gwlease.Timing
	clock     gw.Clock
	log       *slog.Logger
	counters  counters

	events    chan event
	questions chan question
	stop      chan chan struct{}

	cells   map[gw.CellID]*cell
	shown   <-chan struct{}
	version gw.ConfigVersion
	listed  uint64
	calls   sync.WaitGroup
	stopped []chan struct{}
}

// cell is a core with the placement policy of its cell.
type cell struct {
	id     gw.CellID
	space  gw.KeySpace
	core   *gwlease.Core
	placer gw.Placer
	// directories holds the versions of other cells' directories that the core has been given, and record that
	// of the assignment.
	directories map[gw.CellID]gw.ItemVersion
	record      gw.StoreVersion
	// placeAt is when the placement policy is called next.
	placeAt time.Time
}

// question is work of another goroutine that needs the cores.
type question struct {
	do   func(context.Context)
	done chan struct{}
}

// event is an input for the core of a cell.
type event struct {
	cell gw.CellID
	in   gwlease.Input
}

// New returns a Loop.
func New(opts ...Option) *Loop {
	l := &Loop{
		clock:     gw.SystemClock{},
		timing:    gwlease.DefaultTiming(),
		log:       slog.New(slog.DiscardHandler),
		counters:  newCounters(),
		events:    make(chan event, inputBuffer),
		questions: make(chan question),
		stop:      make(chan chan struct{}),
		cells:     map[gw.CellID]*cell{},
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Probe answers a probe of another host, or returns an error that counts as no answer. It may be called from any
// goroutine.
//
// The answer is made by the goroutine in Run, because a reply without epoch is a promise of the core that must not
// be older than a decision of the core to act.
func (l *Loop) Probe(ctx context.Context, req gw.ProbeRequest) (gw.ProbeReply, error) {
	reply, answers := gw.ProbeReply{Instance: l.instance}, true
	err := l.ask(ctx, func(context.Context) {
		if c, ok := l.cells[req.Cell]; ok {
			reply, answers = c.core.Probe(l.clock.Now())
		}
	})
	if err != nil {
		return gw.ProbeReply{}, err
	}
	if !answers {
		return gw.ProbeReply{}, eris.Wrapf(errStarting, "cell %s", req.Cell)
	}
	reply.ConfigVersion = l.table.State().Config.Version
	return reply, nil
}

// Handover passes on another controller's word that it has stopped, or returns the error of ctx. It may be called
// from any goroutine.
func (l *Loop) Handover(ctx context.Context, req gw.HandoverRequest) (gw.HandoverReply, error) {
	var reply gw.HandoverReply
	err := l.ask(ctx, func(ctx context.Context) {
		c, ok := l.cells[req.Cell]
		if !ok || !c.core.AcceptsHandover(req) {
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

// ask runs do in the goroutine of Run and waits for its end.
func (l *Loop) ask(ctx context.Context, do func(context.Context)) error {
	done := make(chan struct{})
	q := question{do: do, done: done}
	select {
	case l.questions <- q:
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

// Stop hands all cells over to other hosts. It returns when none is left or when ctx ends.
func (l *Loop) Stop(ctx context.Context) error {
	done := make(chan struct{})
	select {
	case l.stop <- done:
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

// Run drives the cores until ctx ends, and then waits for the calls it has started.
func (l *Loop) Run(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	place := time.NewTicker(orderedPlaceInterval)
	defer place.Stop()
	// Calls end with ctx; their answers need no reader after that, since deliver gives up with ctx too.
	defer l.calls.Wait()
	if err := l.awaitReady(ctx); err != nil {
		return nil
	}
	for {
		changed := l.table.Changed()
		l.show(ctx, changed)
		l.serve(ctx, changed, tick.C, place.C)
		if ctx.Err() != nil {
			return nil
		}
	}
}

// awaitReady waits until the configuration is known to be in force, and answers questions meanwhile: a process without
// cores controls nothing.
func (l *Loop) awaitReady(ctx context.Context) error {
	for l.ready != nil {
		select {
		case <-l.ready:
			return nil
		case q := <-l.questions:
			q.do(ctx)
			close(q.done)
		case done := <-l.stop:
			close(done)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// serve waits for one event and handles it.
func (l *Loop) serve(ctx context.Context, changed <-chan struct{}, tick, place <-chan time.Time) {
	select {
	case <-ctx.Done():
	case <-changed:
	case ev := <-l.events:
		if c, ok := l.cells[ev.cell]; ok {
			l.step(ctx, c, ev.in)
		}
	case q := <-l.questions:
		q.do(ctx)
		close(q.done)
	case done := <-l.stop:
		l.beginStop(ctx, done)
	case <-tick:
		l.tick(ctx)
	case <-place:
		l.place(ctx)
	}
}

func (l *Loop) tick(ctx context.Context) {
	listing, number := l.listing()
	for _, c := range l.cells {
		if number != l.listed {
			l.step(ctx, c, gwlease.HostsListed{Listing: listing})
		}
		l.step(ctx, c, gwlease.Tick{})
	}
	l.listed = number
	l.finishStop()
}

// show passes newer items of the feed to the cores. changed is the table's channel from before the call.
//
// It compares every cell of the region with every directory, so it does so once for each change of the table and not
// for each answer of a server or host: with 90 cells and 270 directories that took 8% of a core.
func (l *Loop) show(ctx context.Context, changed <-chan struct{}) {
	if changed == l.shown {
		return
	}
	l.shown = changed
	state := l.table.State()
	if state.Ready && state.Config.Version != l.version {
		l.configure(ctx, state.Config)
	}
	for _, c := range l.cells {
		l.showDirectories(ctx, c, state)
		r, ok := state.Assignments[c.space]
		if ok && r.StoreVersion > c.record {
			c.record = r.StoreVersion
			l.step(ctx, c, gwlease.AssignmentRead{Found: true, Version: r.StoreVersion, Assignment: r.Assignment})
		}
	}
}

// configure starts a core for each cell of this region and passes the configuration to all.
func (l *Loop) configure(ctx context.Context, cfg gw.Config) {
	l.version = cfg.Version
	for _, id := range cellsOf(cfg, l.self.Region) {
		if _, ok := l.cells[id]; ok {
			continue
		}
		c := l.newCell(id, cfg)
		l.cells[id] = c
		if listing, number := l.listing(); number > 0 {
			l.step(ctx, c, gwlease.HostsListed{Listing: listing})
		}
	}
	for _, c := range l.cells {
		l.step(ctx, c, gwlease.ConfigChanged{Config: cfg})
	}
}

func (l *Loop) newCell(id gw.CellID, cfg gw.Config) *cell {
	space := gw.KeySpace{Service: id.Service, Region: l.self.Region}
	if service, ok := cfg.Service(id.Service); ok {
		space = service.KeySpaceIn(l.self.Region)
	}
	return &cell{
		id:    id,
		space: space,
		core: gwlease.New(
			gwlease.WithHost(l.self.Name, l.instance),
			gwlease.WithCell(id, l.self.Region),
			gwlease.WithTiming(l.timing),
		),
		placer:      l.newPlacer(id),
		directories: map[gw.CellID]gw.ItemVersion{},
	}
}

// cellsOf returns the cells of all services in a region.
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

// showDirectories passes newer directories of the key space's other cells to the core.
func (l *Loop) showDirectories(ctx context.Context, c *cell, state gwtable.State) {
	for id, d := range state.Directories {
		if d.KeySpace() != c.space {
			continue
		}
		version := gw.ItemVersion{Epoch: uint64(d.Epoch), Sequence: d.Sequence}
		if c.directories[id].Less(version) {
			c.directories[id] = version
			l.step(ctx, c, gwlease.DirectorySeen{Directory: d})
		}
	}
}

func (l *Loop) place(ctx context.Context) {
	now := l.clock.Now()
	controlled := 0
	for _, c := range l.cells {
		view, ok := c.core.View(now)
		if !ok {
			continue
		}
		controlled++
		if now.Before(c.placeAt) {
			continue
		}
		c.placeAt = now.Add(placeInterval - placeSlack)
		if c.space.Region == gw.AllRegions {
			c.placeAt = now
		}
		if plan := c.placer.Place(view); !plan.Empty() {
			l.step(ctx, c, gwlease.PlanProposed{Plan: plan})
		}
	}
	l.counters.cells.Set(float64(controlled))
}

func (l *Loop) step(ctx context.Context, c *cell, in gwlease.Input) {
	start := l.clock.Now()
	outputs := c.core.Step(start, in)
	l.counters.seconds.Add(l.clock.Now().Sub(start).Seconds())
	for _, out := range outputs {
		l.carryOut(ctx, c, out)
	}
}

func (l *Loop) beginStop(ctx context.Context, done chan struct{}) {
	l.stopped = append(l.stopped, done)
	for _, c := range l.cells {
		l.step(ctx, c, gwlease.StopRequested{})
	}
	l.finishStop()
}

// finishStop reports to the callers of Stop once no cell is controlled here.
func (l *Loop) finishStop() {
	if len(l.stopped) == 0 {
		return
	}
	for _, c := range l.cells {
		if !c.core.Stopped() {
			return
		}
	}
	for _, done := range l.stopped {
		close(done)
	}
	l.stopped = nil
}
