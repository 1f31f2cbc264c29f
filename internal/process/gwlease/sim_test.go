package gwlease

import (
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strconv"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

const (
	simService = gw.ServiceName("lookups")
	simRegion  = gw.RegionName("holland")
)

// scenario is the input of one simulated schedule. Everything else follows from the seed.
type scenario struct {
	Seed      uint64
	Cells     int
	Servers   int
	Unchecked int // number of servers per cell that do not check fencing
	Loss      int // percent of messages that are lost, and of those that are duplicated
	Slow      int // percent of messages that take up to 3 s
	Actions   []action
	Faults    faults
	// ShortAuthority lets the authority of controllers end within a schedule.
	ShortAuthority bool
	// NoFence makes servers accept lower epochs and revisions.
	NoFence bool
	// SlowServers makes the clocks of servers run at the slowest rate allowed and those of hosts at the fastest.
	SlowServers bool
	// Undivided makes the service one that is not divided by key.
	Undivided bool
	// Fenced gives all servers range fences: they hold ranges under tokens, for times that count from the arrival of
	// grants.
	Fenced bool
	// Steady limits the placement policy to moves that a loss requires.
	Steady bool
}

// action is a fault or an operator's action.
type action struct {
	At     time.Duration
	Kind   string
	Target int
	For    time.Duration
}

var simActionKinds = []string{
	"pause-host", "pause-host-before-send", "restart-host", "cut-host", "cut-host-from-store", "stop-host",
	"cut-host-from-hosts", "restart-server", "freeze-server", "cut-server", "lose-server-answers",
	"store-down", "store-loses-answers",
	"operator-stopped", "unlist-host", "unlist-server", "leave-host", "drain-server", "out-server",
	"restart-controller", "pause-controller", "cut-controller-from-hosts", "isolate-controller",
	"pause-dispatcher", "restart-dispatcher", "operator-stopped-dispatcher",
	"cut-server-from-controller", "pause-controller-while-server-restarts", "isolate-controller-then-cut-server",
}

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// simProcess is one run of a process on a host.
type simProcess struct {
	name     gw.HostName
	entry    gw.HostEntry
	instance gw.InstanceID
	clock    simClock
	dead     bool
	paused   bool
	pausedAt time.Duration
	// pauseAfterStep pauses the process after its next step, before the step's outputs are sent.
	pauseAfterStep bool
	// cutOff is set while the process knows that it reaches no server.
	cutOff   bool
	waiting  []func()
	cores    []*Core
	dispatch map[gw.DataCentreName]*simDispatcher
}

type sim struct {
	sc      scenario
	rng     *rand.Rand
	now     time.Duration
	seq     int
	queue   simQueue
	runs    int
	hosts   []*simProcess
	servers []*simServer
	cfg     gw.Config
	listing gw.Listing
	// unlisted and leaving name what the host list leaves out or shows as leaving.
	unlisted map[string]bool
	leaving  map[string]bool
	// declaredStopped names the hosts whose processes an operator declared stopped.
	declaredStopped map[gw.HostName]bool
	faultFree       bool

	version  gw.StoreVersion
	stored   gw.Assignment
	storeOff bool
	// era is one more than the number of restores of the store, and history holds all that it has had, the oldest first.
	era     uint64
	history []simRecord
	// loseNextCommit, when set, is how long the store is away after the next change of an owner, which it loses.
	loseNextCommit time.Duration
	// repaired is set while the store has the record with fields that cannot be read, as hosts of an earlier version
	// wrote it.
	repaired bool
	// handsOver replaces what servers with range fences hand over, unless it is empty.
	handsOver string
	// asRestored is set while the record is as it was in the copy.
	asRestored bool
	// revisionJumps is set until the first regular write of an era. A jump must lead above all earlier revisions.
	revisionJumps bool
	// highestRevision is the highest revision ever written, and newest the record that bears it.
	highestRevision gw.Revision
	newest          AssignmentRead
	// storeDelay is the response time of the store.
	storeDelay time.Duration
	noAnswer   bool
	cut        map[string]bool

	failure        string
	holdingsBuffer []holding
	trace          []string
	tracing        bool
	served         time.Duration
	events         []Event

	directories map[gw.DataCentreName]gw.Directory
	// accepted is the grants that servers with range fences have accepted, limited to the newest few hundred.
	accepted []acceptedGrant
}

func newSim(sc scenario) *sim {
	m := &sim{
		sc: sc, rng: rand.New(rand.NewPCG(sc.Seed, 7)), cut: map[string]bool{},
		unlisted: map[string]bool{}, leaving: map[string]bool{},
		declaredStopped: map[gw.HostName]bool{},
		directories:     map[gw.DataCentreName]gw.Directory{},
		era:             1,
	}
	m.cfg = gw.Config{
		Version: 1,
		Regions: []gw.Region{{Name: simRegion, DataCentres: []gw.DataCentreName{"a", "b"}}},
		Services: []gw.Service{{
			Name: simService, DividedByKey: !sc.Undivided, Regions: []gw.RegionName{simRegion},
			Limits: gw.ServiceLimits{SlotsPerServer: 4, ColdPercent: 25, ColdStepMilliseconds: 500, DeadlineMilliseconds: 500},
		}},
	}
	for i, dc := range []gw.DataCentreName{"a", "b", "a", "b"} {
		name := gw.HostName("h" + strconv.Itoa(i))
		m.listing.Hosts = append(m.listing.Hosts, gw.HostEntry{
			Name: name, Region: simRegion, DataCentre: dc, State: gw.EntryLive, PeerAddress: string(name),
		})
	}
	for i := range sc.Cells * sc.Servers {
		dc := gw.DataCentreName([]string{"a", "b"}[i/sc.Servers])
		s := &simServer{
			entry: gw.ServerEntry{
				Name: gw.ServerName("s" + strconv.Itoa(i)), Service: simService, Region: simRegion, DataCentre: dc,
				State: gw.EntryLive, Address: "s" + strconv.Itoa(i),
			},
			checksFencing: i%sc.Servers >= sc.Unchecked, noFence: sc.NoFence, clock: m.newClock(0.977),
			draining: map[gw.Range]time.Duration{},
		}
		if sc.Fenced {
			s.checksFencing, s.rangeFences = true, &fencedState{}
		}
		m.servers = append(m.servers, s)
		m.listing.Servers = append(m.listing.Servers, s.entry)
	}
	m.hosts = make([]*simProcess, len(m.listing.Hosts))
	for i := range m.hosts {
		m.startHost(i)
	}
	for _, a := range sc.Actions {
		m.at(a.At, func() { m.applyAction(a) })
	}
	m.at(0, m.checkPeriodically)
	return m
}

func (m *sim) newClock(extreme float64) simClock {
	rate := 0.977 + 0.046*m.rng.Float64()
	if m.sc.SlowServers {
		rate = extreme
	}
	return simClock{rate: rate, origin: time.Duration(m.rng.IntN(1e6)) * time.Millisecond}
}

func (m *sim) at(t time.Duration, do func()) {
	m.seq++
	heap.Push(&m.queue, simEvent{at: t, seq: m.seq, do: do})
}

func (m *sim) after(d time.Duration, do func()) { m.at(m.now+d, do) }

func (m *sim) log(format string, args ...any) {
	if m.tracing {
		m.trace = append(m.trace, fmt.Sprintf("%8.3fs ", m.now.Seconds())+fmt.Sprintf(format, args...))
	}
}

// run executes events until the given time or until an invariant is broken.
func (m *sim) run(until time.Duration) {
	for len(m.queue) > 0 && m.queue[0].at <= until && m.failure == "" {
		e := heap.Pop(&m.queue).(simEvent)
		m.now = e.at
		e.do()
	}
	if m.failure == "" {
		m.now = until
	}
}

func (m *sim) fail(format string, args ...any) {
	if m.failure == "" {
		m.failure = fmt.Sprintf("at %.3f s: ", m.now.Seconds()) + fmt.Sprintf(format, args...)
	}
}

func (m *sim) startHost(i int) {
	m.runs++
	e := m.listing.Hosts[i]
	p := &simProcess{
		name: e.Name, entry: e, instance: gw.InstanceID(string(e.Name) + "#" + strconv.Itoa(m.runs)),
		clock: m.newClock(1.023), dispatch: map[gw.DataCentreName]*simDispatcher{},
	}
	t := DefaultTiming()
	t.LeaseOverrun = 10 * time.Second
	t.Authority, t.ReadEvery = 20*time.Second, 3*time.Second
	t.CandidateReadEvery = t.ReadEvery
	if m.sc.ShortAuthority {
		t.Authority, t.ReadEvery = 4*time.Second, time.Second
		t.CandidateReadEvery = t.ReadEvery
	}
	for _, dc := range []gw.DataCentreName{"a", "b"}[:m.sc.Cells] {
		cell := gw.CellID{Service: simService, DataCentre: dc}
		c := New(WithHost(e.Name, p.instance), WithCell(cell, simRegion), WithTiming(t))
		c.opts.faults = m.sc.Faults
		p.cores = append(p.cores, c)
		p.dispatch[dc] = &simDispatcher{instance: p.instance, clock: p.clock, inFlight: map[simRequest]int{}}
	}
	m.hosts[i] = p
	for _, c := range p.cores {
		m.step(p, c, ConfigChanged{Config: m.cfg})
		m.step(p, c, HostsListed{Listing: m.currentListing()})
		othersRun := slices.ContainsFunc(m.hosts, func(q *simProcess) bool { return q != nil && q != p && !q.dead })
		if m.sc.Fenced && othersRun && m.newest.Found && m.rng.IntN(2) == 0 {
			// A new process may have the newest items from the relays before it takes part.
			m.step(p, c, m.newest)
		}
		for _, d := range sorted(m.directories) {
			m.after(m.delay(), func() { m.step(p, c, DirectorySeen{Directory: d}) })
		}
	}
	m.after(time.Duration(m.rng.IntN(100))*time.Millisecond, func() { m.tick(p) })
}

func (m *sim) tick(p *simProcess) {
	if p.dead {
		return
	}
	m.whenRunning(p, func() {
		for _, c := range p.cores {
			m.step(p, c, Tick{CutOff: p.cutOff})
		}
		m.proposePlans(p)
		m.sendRequests(p)
	})
	m.after(100*time.Millisecond, func() { m.tick(p) })
}

// whenRunning calls do now, when the paused process is resumed, or never if the process ends first.
func (m *sim) whenRunning(p *simProcess, do func()) {
	switch {
	case p.dead:
	case p.paused:
		if len(p.waiting) < 200 {
			p.waiting = append(p.waiting, do)
		}
	default:
		do()
	}
}

func (m *sim) step(p *simProcess, c *Core, in Input) {
	m.whenRunning(p, func() {
		if _, tick := in.(Tick); !tick {
			m.log("%s/%s <- %T%+v", p.instance, c.opts.cell.DataCentre, in, in)
		}
		out := c.Step(time.Unix(0, 0).Add(p.clock.at(m.now)), in)
		if p.pauseAfterStep {
			p.pauseAfterStep = false
			p.paused, p.pausedAt = true, m.now
		}
		for _, o := range out {
			m.whenRunning(p, func() { m.perform(p, c, o) })
		}
	})
}

func (m *sim) resume(p *simProcess) {
	p.pauseAfterStep = false
	if !p.paused || p.dead {
		return
	}
	p.paused = false
	waiting := p.waiting
	p.waiting = nil
	m.log("%s resumes", p.instance)
	for _, do := range waiting {
		m.whenRunning(p, do)
	}
}

func (m *sim) delay() time.Duration {
	d := time.Duration(1+m.rng.IntN(10)) * time.Millisecond
	if !m.faultFree && m.rng.IntN(100) < m.sc.Slow {
		d += time.Duration(m.rng.IntN(3000)) * time.Millisecond
	}
	return d
}

// send delivers a message with delay, loss and duplication, unless one of the links is cut.
func (m *sim) send(links []string, deliver func()) {
	n := 1
	if !m.faultFree {
		if x := m.rng.IntN(100); x < m.sc.Loss {
			n = 0
		} else if x < 2*m.sc.Loss {
			n = 2
		}
	}
	for range n {
		m.after(m.delay(), func() {
			for _, l := range links {
				if m.cut[l] {
					return
				}
			}
			deliver()
		})
	}
}

func (m *sim) perform(p *simProcess, c *Core, o Output) {
	if _, dir := o.(PublishDirectory); !dir {
		m.log("%s/%s -> %T%+v", p.instance, c.opts.cell.DataCentre, o, o)
	}
	if m.sc.Fenced && m.performFenced(p, c, o) {
		return
	}
	switch o := o.(type) {
	case ReadAssignment:
		m.read(p, c, o)
	case CommitAssignment:
		m.commit(p, c, o)
	case SendDescribe:
		m.callServer(p, c, o.ID, o.Server.Name, func(*simServer) (time.Duration, error) { return 0, nil })
	case SendGrant:
		m.callServer(p, c, o.ID, o.Server.Name, func(s *simServer) (time.Duration, error) {
			return 0, s.grant(m.now, o.Grant)
		})
	case SendRelease:
		m.callServer(p, c, o.ID, o.Server.Name, func(s *simServer) (time.Duration, error) {
			return s.release(m.now, time.Duration(m.rng.IntN(400))*time.Millisecond, o.Release)
		})
	case SendDispatchLease:
		m.callHost(p, o.Host.Name, func(q *simProcess) {
			d := q.dispatch[o.Lease.Cell.DataCentre]
			err := d.lease(m.now, o.Lease)
			m.check("lease " + string(q.instance))
			m.answer(p, c, q.name, DispatcherAnswered{ID: o.ID, Host: q.name, Status: d.status(m.now), Err: err})
		})
	case SendDispatchRelease:
		m.callHost(p, o.Host.Name, func(q *simProcess) { m.releaseDispatch(p, c, q, o) })
	case SendProbe:
		m.callHost(p, o.Host.Name, func(q *simProcess) {
			core := q.core(o.Request.Cell)
			reply, ok := core.Probe(time.Unix(0, 0).Add(q.clock.at(m.now)))
			if !ok {
				return
			}
			m.answer(p, c, q.name, ProbeAnswered{ID: o.ID, Host: q.name, Reply: reply})
		})
	case SendHandover:
		m.callHost(p, o.Host.Name, func(q *simProcess) {
			core := q.core(o.Request.Cell)
			ok := core.AcceptsHandover(o.Request)
			m.step(q, core, HandoverReceived{Request: o.Request})
			m.answer(p, c, q.name, HandoverAnswered{ID: o.ID, Host: q.name, Reply: gw.HandoverReply{Accepted: ok}})
		})
	case PublishDirectory:
		m.publish(o.Directory)
	case Event:
		m.events = append(m.events, o)
	}
}

func (p *simProcess) core(cell gw.CellID) *Core {
	for _, c := range p.cores {
		if c.opts.cell == cell {
			return c
		}
	}
	return nil
}

func (m *sim) host(name gw.HostName) (int, *simProcess) {
	for i, p := range m.hosts {
		if p.name == name {
			return i, p
		}
	}
	return -1, nil
}

func (m *sim) callHost(p *simProcess, to gw.HostName, handle func(*simProcess)) {
	m.send([]string{string(p.name), string(to), "hosts:" + string(p.name), "hosts:" + string(to)}, func() {
		_, q := m.host(to)
		m.whenRunning(q, func() { handle(q) })
	})
}

func (m *sim) answer(p *simProcess, c *Core, from gw.HostName, in Input) {
	m.send([]string{string(p.name), string(from), "hosts:" + string(p.name), "hosts:" + string(from)}, func() {
		m.step(p, c, in)
	})
}

func (m *sim) releaseDispatch(p *simProcess, c *Core, q *simProcess, o SendDispatchRelease) {
	d := q.dispatch[o.Release.Cell.DataCentre]
	busy, err := d.release(o.Release)
	reply := func() {
		m.answer(p, c, q.name, DispatcherAnswered{ID: o.ID, Host: q.name, Status: d.status(m.now), Err: err})
	}
	if err != nil {
		reply()
		return
	}
	var wait func()
	wait = func() {
		m.whenRunning(q, func() {
			if !busy() {
				reply()
			} else if d.epoch == o.Release.Epoch {
				m.after(20*time.Millisecond, wait)
			}
		})
	}
	wait()
}

func (m *sim) callServer(
	p *simProcess, c *Core, id uint64, name gw.ServerName, do func(*simServer) (time.Duration, error),
) {
	i := slices.IndexFunc(m.servers, func(s *simServer) bool { return s.entry.Name == name })
	s := m.servers[i]
	links := []string{string(p.name), string(name), string(p.name) + "|" + string(name)}
	handle := func() {
		end, err := do(s)
		m.check("message to " + string(s.incarnation()))
		run := s.run
		m.at(max(end, m.now), func() {
			m.whenNotFrozen(s, run, func() {
				maps.DeleteFunc(s.draining, func(_ gw.Range, until time.Duration) bool { return until <= m.now })
				in := ServerAnswered{ID: id, Server: name, Status: s.status(m.now), Err: err}
				m.send(append(links, "from:"+string(name)), func() { m.step(p, c, in) })
			})
		})
	}
	m.send(links, func() { m.whenNotFrozen(s, -1, handle) })
}

func (m *sim) whenNotFrozen(s *simServer, run int, do func()) {
	switch {
	case s.dead || run >= 0 && s.run != run:
	case s.frozen:
		s.waiting = append(s.waiting, func() { m.whenNotFrozen(s, run, do) })
	default:
		do()
	}
}

func (m *sim) storeLinks(p *simProcess) []string {
	return []string{string(p.name), "store:" + string(p.name)}
}

// simRecord is a record that the store has had since a time.
type simRecord struct {
	at      time.Duration
	version gw.StoreVersion
	record  gw.Assignment
}

// simEraRevisions is the number of versions in an era of the store.
const simEraRevisions = 1 << 40

// simRevision is the version without its era, which is what a write on its way names.
func simRevision(v gw.StoreVersion) uint64 { return uint64(v) % simEraRevisions }

// restoreStore puts the record back to what it was some time ago, in a new era. The record is gone if there was none.
func (m *sim) restoreStore(age time.Duration) {
	m.storeOff = false
	m.era++
	m.version, m.stored = 0, gw.Assignment{}
	for _, h := range m.history {
		if h.at <= m.now-age && h.version > 0 {
			m.version, m.stored = gw.StoreVersion(m.era*simEraRevisions+simRevision(h.version)), h.record
		}
	}
	m.asRestored, m.revisionJumps = true, true
	m.log("store: restored as it was %s ago, version %d %+v", age, m.version, m.stored)
	m.history = append(m.history, simRecord{m.now, m.version, m.stored})
}

func (m *sim) read(p *simProcess, c *Core, o ReadAssignment) {
	m.send(m.storeLinks(p), func() {
		in := AssignmentRead{ID: o.ID, Found: m.version > 0, Version: m.version, Assignment: m.stored, Repaired: m.repaired}
		if m.storeOff {
			in = AssignmentRead{ID: o.ID, Err: gw.ErrStoreUnavailable}
		}
		m.after(m.storeDelay, func() { m.send(m.storeLinks(p), func() { m.step(p, c, in) }) })
	})
}

func (m *sim) commit(p *simProcess, c *Core, o CommitAssignment) {
	m.checkReadable(o.Next)
	era := m.era
	apply := func(answer bool) {
		in := CommitDone{ID: o.ID, Version: gw.StoreVersion(m.era*simEraRevisions + simRevision(m.version) + 1)}
		switch {
		case m.storeOff:
			in.Err = gw.ErrStoreUnavailable
		case era != m.era && m.asRestored && simRevision(o.Expected) == simRevision(m.version):
			// The write was on its way during the restore, and the copy has the revision that it names.
			in.Err = gw.ErrWriteUnknown
			m.revisionJumps = true
			m.write(o.Next)
		case o.Expected != m.version:
			in.Err = gw.ErrConflict
			if in.Found = o.ID%2 == 0; in.Found {
				// Some conflict answers include the stored record.
				in.Version, in.Current, in.Repaired = m.version, m.stored, m.repaired
			}
		default:
			before := m.stored
			m.apply(o.Next)
			if m.loseNextCommit > 0 && before.Ranges != nil && len(changedOwners(before, o.Next)) > 0 {
				m.loseCommit(p)
				in.Err = gw.ErrWriteUnknown
			}
		}
		if m.noAnswer || !answer {
			in.Err = gw.ErrWriteUnknown
		}
		m.after(m.storeDelay, func() { m.send(m.storeLinks(p), func() { m.step(p, c, in) }) })
	}
	if !m.faultFree && m.rng.IntN(100) < m.sc.Loss {
		// The caller learns that the outcome is unknown, and the write is applied later.
		m.send(m.storeLinks(p), func() { m.step(p, c, CommitDone{ID: o.ID, Err: gw.ErrWriteUnknown}) })
		m.after(time.Duration(m.rng.IntN(5000))*time.Millisecond, func() { apply(false) })
		return
	}
	m.send(m.storeLinks(p), func() { apply(true) })
}

// apply writes a record, and checks that it follows from the one before.
func (m *sim) apply(next gw.Assignment) {
	old := m.stored
	if err := next.Validate(); err != nil {
		m.fail("the store has an invalid record: %v", err)
	}
	// A record that is created after a restore may have a revision that was given out, but gives out no token.
	created := m.version == 0 && (next.Revision == 1 || highestToken(next) < next.Revision)
	switch {
	case !m.revisionJumps && next.Revision != old.Revision+1:
		m.fail("revision %d follows %d", next.Revision, old.Revision)
	case m.revisionJumps && next.Revision <= m.highestRevision && !created:
		m.fail("revision %d is given out again, the highest was %d", next.Revision, m.highestRevision)
	}
	if uint64(next.Revision)/simEraRevisions == m.era-1 {
		m.revisionJumps = false
	}
	m.write(next)
	for i, r := range old.Ranges {
		if r.Owner != "" && next.At(r.First).Owner == "" {
			m.fail("range %s has lost its owner %s", old.Span(i).First, r.Owner)
		}
	}
	for _, c := range old.Cells {
		if n, _ := next.Cell(c.DataCentre); n.Epoch < c.Epoch {
			m.fail("epoch of cell %s falls from %d to %d", c.DataCentre, c.Epoch, n.Epoch)
		}
	}
}

func highestToken(a gw.Assignment) gw.Revision {
	var highest gw.Revision
	for _, r := range a.Ranges {
		highest = max(highest, r.Token)
	}
	for _, c := range a.Cells {
		highest = max(highest, c.Since)
	}
	return highest
}

// checkReadable checks that a record that is to be written is read as it is.
func (m *sim) checkReadable(next gw.Assignment) {
	data, err := gw.EncodeAssignment(next)
	if err != nil {
		m.fail("a record is to be written that cannot be read: %v", err)
		return
	}
	if read, err := gw.DecodeAssignment(data); err != nil || !reflect.DeepEqual(read, next) {
		m.fail("the record %+v is read as %+v: %v", next, read, err)
	}
}

// write replaces the record and passes it on to all hosts.
func (m *sim) write(next gw.Assignment) {
	m.version = gw.StoreVersion(m.era*simEraRevisions + simRevision(m.version) + 1)
	m.stored, m.asRestored, m.repaired = next, false, false
	m.log("store: version %d %+v", m.version, next)
	m.history = append(m.history, simRecord{m.now, m.version, next})
	in := AssignmentRead{Found: true, Version: m.version, Assignment: next}
	if next.Revision > m.highestRevision {
		m.highestRevision, m.newest = next.Revision, in
	}
	for _, p := range m.hosts {
		if m.loseNextCommit > 0 && m.rng.IntN(2) == 0 {
			continue
		}
		for _, c := range p.cores {
			m.send(append(m.storeLinks(p), "hosts:"+string(p.name)), func() { m.step(p, c, in) })
		}
	}
}

// restoreUnlessEnded restores the store unless all faults have ended.
func (m *sim) restoreUnlessEnded(age time.Duration) {
	if !m.faultFree {
		m.restoreStore(age)
	}
}

// loseCommit restores the store to before its newest record. Of the hosts that control cells, the writer may end.
func (m *sim) loseCommit(p *simProcess) {
	away := m.loseNextCommit
	m.loseNextCommit = 0
	m.storeOff = true
	if i, _ := m.host(p.name); m.rng.IntN(2) == 0 && m.hosts[i] == p {
		p.dead = true
		m.after(away, func() { m.restartHost(i, p) })
	}
	since := m.now - time.Millisecond
	m.after(away, func() { m.restoreUnlessEnded(m.now - since) })
}

// publish passes a directory on to all hosts, which keep the newest.
func (m *sim) publish(d gw.Directory) {
	old := m.directories[d.Cell.DataCentre]
	if d.Epoch < old.Epoch || d.Epoch == old.Epoch && d.Sequence <= old.Sequence {
		return
	}
	m.directories[d.Cell.DataCentre] = d
	for _, p := range m.hosts {
		for _, c := range p.cores {
			m.send([]string{"hosts:" + string(p.name)}, func() { m.step(p, c, DirectorySeen{Directory: d}) })
		}
	}
}

// proposePlans is a placement policy that spreads ranges, and moves, splits and merges some at random.
func (m *sim) proposePlans(p *simProcess) {
	for _, c := range p.cores {
		v, ok := c.View(time.Unix(0, 0).Add(p.clock.at(m.now)))
		if !ok || !m.sc.Steady && m.rng.IntN(4) != 0 {
			continue
		}
		m.step(p, c, PlanProposed{Plan: m.plan(v)})
	}
}

func (m *sim) plan(v gw.PlacementView) gw.Plan {
	var plan gw.Plan
	var up []gw.ServerName
	states := map[gw.ServerName]gw.ServerState{}
	for _, s := range v.Servers {
		states[s.Name] = s.State
		if s.State == gw.ServerUp {
			up = append(up, s.Name)
		}
	}
	if m.rng.IntN(4) == 0 {
		for _, s := range m.servers {
			if s.entry.DataCentre != v.DataCentre {
				up = append(up, s.entry.Name)
			}
		}
	}
	for i, r := range v.Assignment.Ranges {
		st, ours := states[r.Owner]
		empty := v.Lead && r.Owner == "" || ours && (st == gw.ServerExpired || st == gw.ServerLeaving)
		if len(up) > 0 && (empty || !m.faultFree && ours && m.rng.IntN(8) == 0) {
			plan.Moves = append(plan.Moves, gw.Move{First: r.First, From: r.Owner, To: up[m.rng.IntN(len(up))]})
		}
		if m.sc.Steady {
			continue
		}
		if len(v.Assignment.Ranges) < 6 && m.rng.IntN(6) == 0 {
			span := v.Assignment.Span(i)
			plan.Splits = append(plan.Splits, span.First+(span.Last-span.First)/2+1)
		} else if len(v.Assignment.Ranges) >= 5 && m.rng.IntN(6) == 0 {
			plan.Merges = append(plan.Merges, r.First)
		}
	}
	return plan
}

// sendRequests starts requests to servers that do not check fencing, as a dispatcher does under a live lease.
func (m *sim) sendRequests(p *simProcess) {
	for _, dc := range []gw.DataCentreName{"a", "b"}[:m.sc.Cells] {
		d := p.dispatch[dc]
		for _, s := range d.servers {
			if p.paused || s.ChecksFencing || len(s.Ranges) == 0 || !d.maySend(m.now, s) {
				continue
			}
			f := simRequest{server: s.Name, ranges: s.Ranges[m.rng.IntN(len(s.Ranges))].Range}
			d.inFlight[f]++
			m.after(time.Duration(10+m.rng.IntN(200))*time.Millisecond, func() {
				m.whenRunning(p, func() {
					if d.inFlight[f]--; d.inFlight[f] <= 0 {
						delete(d.inFlight, f)
					}
				})
			})
		}
	}
}

// holding is a range that a server serves, the means, and the process that allows it.
type holding struct {
	ranges gw.Range
	server gw.ServerName
	how    string
	who    string
}

func (h holding) String() string {
	return string(h.server) + " (" + h.how + " of " + h.who + ")"
}

// holdings lists what each server serves now.
func (m *sim) holdings() []holding {
	all := m.holdingsBuffer[:0]
	for _, s := range m.servers {
		if s.rangeFences != nil {
			all = s.fencedHoldings(all, m.now)
			continue
		}
		if s.live(m.now) {
			who := string(s.incarnation())
			for _, r := range s.ranges {
				all = append(all, holding{r.Range, s.entry.Name, "session", who})
			}
			for r := range s.draining {
				all = append(all, holding{r, s.entry.Name, "running requests", who})
			}
		}
	}
	for _, p := range m.hosts {
		if !p.dead {
			all = m.sendable(all, p)
		}
	}
	m.holdingsBuffer = all
	return all
}

// sendable lists the ranges for which a process may send, or has sent, to servers that do not check fencing.
// A paused process may have passed its check of the lease before it was paused.
func (m *sim) sendable(all []holding, p *simProcess) []holding {
	for _, d := range p.dispatch {
		checkedAt := m.now
		if p.paused {
			checkedAt = p.pausedAt
		}
		for _, s := range d.servers {
			if !m.unchecked(s.Name) || !d.maySend(checkedAt, s) {
				continue
			}
			for _, r := range s.Ranges {
				all = append(all, holding{r.Range, s.Name, "lease", string(p.instance)})
			}
		}
		for f := range d.inFlight {
			if m.unchecked(f.server) {
				all = append(all, holding{f.ranges, f.server, "request", string(p.instance)})
			}
		}
	}
	return all
}

func (m *sim) unchecked(name gw.ServerName) bool {
	return slices.ContainsFunc(m.servers, func(s *simServer) bool { return s.entry.Name == name && !s.checksFencing })
}

// check fails when a position is served by two servers, or when two processes send to one server that does
// not check fencing.
func (m *sim) check(step string) {
	all := m.holdings()
	for i, x := range all {
		for _, y := range all[:i] {
			overlap := x.ranges.First <= y.ranges.Last && y.ranges.First <= x.ranges.Last
			if overlap && x.server != y.server {
				m.fail("%s: position %s is served by %s and by %s", step, max(x.ranges.First, y.ranges.First), y, x)
			}
			if x.server == y.server && x.who != y.who && m.unchecked(x.server) {
				m.fail("%s: two processes send: %s and %s", step, y, x)
			}
		}
	}
}

// allServed reports whether each position is served by the owner that the store names.
func (m *sim) allServed() bool {
	if m.version == 0 {
		return false
	}
	all := m.holdings()
	for i, r := range m.stored.Ranges {
		span := m.stored.Span(i)
		if r.Owner == "" || !slices.ContainsFunc(all, func(h holding) bool {
			return h.server == r.Owner && h.ranges.First <= span.First && span.Last <= h.ranges.Last
		}) {
			return false
		}
	}
	return true
}

func (m *sim) checkPeriodically() {
	m.check("time passes")
	if m.faultFree && m.served == 0 && m.allServed() {
		m.served = m.now
	}
	m.after(100*time.Millisecond, m.checkPeriodically)
}

var errNeverServed = errors.New("not every range is served again")

// runScenario runs a schedule: faults for 14 s, then no faults until all ranges are served again.
func (m *sim) runScenario() error {
	m.run(14 * time.Second)
	m.endFaults()
	for range 120 {
		m.run(m.now + 500*time.Millisecond)
		if m.failure != "" {
			return errors.New(m.failure)
		}
		if m.served > 0 {
			return nil
		}
	}
	return errNeverServed
}
