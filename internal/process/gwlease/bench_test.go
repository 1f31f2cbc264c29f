package gwlease

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

const benchRangesPerServer = 16

// loopback answers every request of one Core without delay, as in a cell without faults.
type loopback struct {
	core    *Core
	now     time.Duration
	servers map[gw.ServerName]*simServer
	hosts   map[gw.HostName]*simDispatcher
	version gw.StoreVersion
	stored  gw.Assignment
	queue   []Input
	steps   int
}

func newLoopback(servers int) *loopback {
	l := &loopback{servers: map[gw.ServerName]*simServer{}, hosts: map[gw.HostName]*simDispatcher{}, version: 1}
	cell := gw.CellID{Service: simService, DataCentre: "a"}
	var listing gw.Listing
	l.stored = gw.NewAssignment(gw.KeySpace{Service: simService, Region: simRegion})
	l.stored.Revision, l.stored.Ranges = 1, nil
	for i := range servers {
		name := gw.ServerName(fmt.Sprintf("s%04d", i))
		l.servers[name] = &simServer{
			entry: gw.ServerEntry{
				Name: name, Service: simService, Region: simRegion, DataCentre: "a", State: gw.EntryLive,
				Address: "127.0.0.1:1",
			},
			checksFencing: true, clock: simClock{rate: 1}, draining: map[gw.Range]time.Duration{},
		}
		listing.Servers = append(listing.Servers, l.servers[name].entry)
	}
	n := servers * benchRangesPerServer
	for i := range n {
		first := gw.Position(uint64(i) * (^uint64(0) / uint64(n)))
		owner := listing.Servers[i%servers].Name
		l.stored.Ranges = append(l.stored.Ranges, gw.OwnedRange{First: first, Owner: owner, Token: 1})
	}
	for i := range 12 {
		dc := []gw.DataCentreName{"a", "b"}[i%2]
		name := gw.HostName(fmt.Sprintf("h%02d", i))
		l.hosts[name] = &simDispatcher{
			instance: gw.InstanceID(name), clock: simClock{rate: 1}, inFlight: map[simRequest]int{},
		}
		listing.Hosts = append(listing.Hosts, gw.HostEntry{
			Name: name, Region: simRegion, DataCentre: dc, State: gw.EntryLive, PeerAddress: "127.0.0.1:2",
		})
	}
	cfg := newSim(scenario{Cells: 1, Servers: 1}).cfg
	first := Candidates(cell, simRegion, cfg, listing.Hosts)[0].Name
	l.core = New(WithHost(first, gw.InstanceID(first)), WithCell(cell, simRegion))
	l.queue = []Input{ConfigChanged{Config: cfg}, HostsListed{Listing: listing}}
	return l
}

// run lets time pass in steps of 100 ms.
func (l *loopback) run(d time.Duration) {
	for end := l.now + d; l.now < end; l.now += 100 * time.Millisecond {
		l.queue = append(l.queue, Tick{})
		for len(l.queue) > 0 {
			in := l.queue[0]
			l.queue = l.queue[1:]
			l.steps++
			for _, o := range l.core.Step(time.Unix(0, 0).Add(l.now), in) {
				l.answer(o)
			}
		}
	}
}

func (l *loopback) answer(o Output) {
	switch o := o.(type) {
	case ReadAssignment:
		l.queue = append(l.queue, AssignmentRead{ID: o.ID, Found: true, Version: l.version, Assignment: l.stored})
	case CommitAssignment:
		l.version, l.stored = l.version+1, o.Next
		l.queue = append(l.queue, CommitDone{ID: o.ID, Version: l.version})
	case SendDescribe:
		s := l.servers[o.Server.Name]
		l.queue = append(l.queue, ServerAnswered{ID: o.ID, Server: o.Server.Name, Status: s.status(l.now)})
	case SendGrant:
		s := l.servers[o.Server.Name]
		err := s.grant(l.now, o.Grant)
		l.queue = append(l.queue, ServerAnswered{ID: o.ID, Server: o.Server.Name, Status: s.status(l.now), Err: err})
	case SendDispatchLease:
		d := l.hosts[o.Host.Name]
		err := d.lease(l.now, o.Lease)
		l.queue = append(l.queue, DispatcherAnswered{ID: o.ID, Host: o.Host.Name, Status: d.status(l.now), Err: err})
	}
}

// BenchmarkController measures the cost of one second of a cell without faults, and of its steps.
func BenchmarkController(b *testing.B) {
	for _, servers := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			l := newLoopback(servers)
			l.run(10 * time.Second)
			if l.core.Controls(time.Unix(0, 0).Add(l.now)) == 0 {
				b.Fatal("the Core does not control the cell")
			}
			l.steps = 0
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			cpu := processTime(b)
			for b.Loop() {
				l.run(time.Second)
			}
			cpu = processTime(b) - cpu
			runtime.ReadMemStats(&after)
			steps := float64(l.steps)
			b.ReportMetric(float64(cpu.Nanoseconds())/steps, "cpu-ns/step")
			b.ReportMetric(float64(after.Mallocs-before.Mallocs)/steps, "allocs/step")
			b.ReportMetric(100*cpu.Seconds()/float64(b.N), "%core")
		})
	}
}

// processTime returns the processor time used so far, which other load on the machine distorts less than elapsed
// time.
func processTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkMemory measures the heap held by a Core, per server with its 16 ranges.
func BenchmarkMemory(b *testing.B) {
	for _, servers := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			var held int64
			for b.Loop() {
				l := newLoopback(servers)
				l.run(10 * time.Second)
				l.stored = gw.Assignment{}
				before := heapInUse()
				l.core = nil
				held = before - heapInUse()
				runtime.KeepAlive(l)
			}
			b.ReportMetric(float64(held)/float64(servers), "B/server")
			b.ReportMetric(float64(held)/float64(servers*benchRangesPerServer), "B/range")
		})
	}
}

func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// simulateLoss applies a loss at a random time to a cell without other faults and returns when it began.
func simulateLoss(i int, kind string) (m *sim, start time.Duration) {
	m = newSim(scenario{Seed: uint64(i), Cells: 1, Servers: 3, Steady: true})
	m.faultFree = true
	start = 3*time.Second + time.Duration(rand.New(rand.NewPCG(uint64(i), 3)).IntN(1000))*time.Millisecond
	m.run(start)
	target := slices.IndexFunc(m.servers, func(s *simServer) bool { return s.entry.Name == m.stored.At(0).Owner })
	m.applyAction(action{Kind: kind, Target: target, For: time.Hour})
	return m, start
}

// BenchmarkServerLost measures, in virtual time, how long it takes from a server's last answer to the commit that
// reassigns its ranges, and from its end until all ranges are served.
func BenchmarkServerLost(b *testing.B) {
	var commits, served []time.Duration
	for b.Loop() {
		for i := range 200 {
			m, start := simulateLoss(i, "restart-server")
			cell, _ := m.stored.Cell("a")
			_, p := m.host(cell.Host)
			lost := p.cores[0].servers[m.stored.At(0).Owner]
			version := m.version
			for m.version == version && m.now < start+10*time.Second {
				m.run(m.now + time.Millisecond)
			}
			commits = append(commits, time.Unix(0, 0).Add(p.clock.at(m.now)).Sub(lost.answeredAt))
			for !m.allServed() && m.now < start+10*time.Second {
				m.run(m.now + time.Millisecond)
			}
			served = append(served, m.now-start)
		}
	}
	report(b, commits, "commit")
	report(b, served, "served")
}

// BenchmarkControllerLost measures, in virtual time, how long it takes from the end of a controller's process to its
// successor's first accepted renewal, and how long ranges are unavailable.
func BenchmarkControllerLost(b *testing.B) {
	var renewed, unavailable []time.Duration
	for b.Loop() {
		for i := range 200 {
			m, start := simulateLoss(i, "restart-controller")
			var gap time.Duration
			reached := func(s *simServer) bool { return s.epoch == 2 }
			for !slices.ContainsFunc(m.servers, reached) && m.now < start+10*time.Second {
				m.run(m.now + time.Millisecond)
			}
			renewed = append(renewed, m.now-start)
			for m.now < start+5*time.Second {
				m.run(m.now + time.Millisecond)
				if !m.allServed() {
					gap += time.Millisecond
				}
			}
			unavailable = append(unavailable, gap)
		}
	}
	report(b, renewed, "renewed")
	report(b, unavailable, "unavailable")
}

func report(b *testing.B, all []time.Duration, name string) {
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Milliseconds()), name+"-median-ms")
	b.ReportMetric(float64(all[len(all)-1].Milliseconds()), name+"-max-ms")
}
