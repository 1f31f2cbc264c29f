//go:build review

// Command standin plays the cases of the review that are scripts: it starts the project's hosts as processes, with
// stand-ins of the platform's store, its servers and its clients around them, and checks the rule of the case.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record writes what is sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *os.File
	begin time.Time
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.3f %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

var cleanUp []func()

func end(code int) {
	for i := len(cleanUp) - 1; i >= 0; i-- {
		cleanUp[i]()
	}
	os.Exit(code)
}

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	end(exitNotRun)
}

func main() {
	if len(os.Args) != 3 {
		fail("usage: standin CASE FOLDER")
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		end(exitNotRun)
	}()
	out, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fail("record: %v", err)
	}
	rec := &record{out: out, begin: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	switch os.Args[1] {
	case "second-copy":
		playSecondCopy(rec, trouble)
	case "wrong-byte":
		playWrongByte(rec, trouble)
	case "new-addresses":
		playNewAddresses(rec, trouble)
	default:
		fail("no case %q", os.Args[1])
	}
}

// deployment is a small deployment: one region with two data centres, two hosts and eight servers in each.
type deployment struct {
	store *store
	fleet *fleet
	hosts []*host
	dir   string
}

func deploy(rec *record, divided bool) *deployment {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("folder: %v", err)
	}
	cleanUp = append(cleanUp, func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		}
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("store: %v", err)
	}
	d := &deployment{store: newStore(listener), dir: dir}
	d.fleet = &fleet{store: d.store, rec: rec, divided: divided, together: map[string]time.Time{}}
	zones := map[string]string{"holland-a": "holland", "holland-b": "holland"}
	d.store.set("op/config", config(divided))
	for _, zone := range []string{"holland-a", "holland-b"} {
		for range serversPerZone {
			d.fleet.start(zone)
		}
		for n := 1; n <= 2; n++ {
			h := newHost(dir, fmt.Sprintf("edge-%s-%d", zone, n), zone, 1+len(d.hosts), listener.Addr().String(), zones)
			h.start()
			cleanUp = append(cleanUp, h.kill)
			d.hosts = append(d.hosts, h)
		}
	}
	for _, h := range d.hosts {
		if !h.waitReady(15 * time.Second) {
			fail("%s is not ready", h.name)
		}
	}
	if divided {
		go d.fleet.watchHolds()
	}
	return d
}

const (
	serversPerZone = 8
	// startWait is the time from the start of the hosts to that of the traffic.
	startWait = 8 * time.Second
	// playTime is how long traffic lasts.
	playTime = 88 * time.Second
	// In each cycle some servers are replaced, one at each gap.
	cycle           = 8 * time.Second
	replacedInCycle = 3
	releaseGap      = time.Second
	// hotEvery is the time between changes of the busy keys.
	hotEvery = 4 * time.Second
	// requestsPerSecond is the rate of all clients together.
	requestsPerSecond = 110
)

// disturb starts a disruption.
func (f *fleet) disturb(d dose) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disturbed, f.from, f.to = d, time.Now(), time.Now().Add(d.lasts)
	f.rec.note("disruption begins, it lasts %s", d.lasts)
}

// moveBusyKeys changes the busy keys at times until ctx ends.
func (l *load) moveBusyKeys(ctx context.Context) {
	for ctx.Err() == nil {
		l.hotKey.Store(int64(rand.IntN(keys)))
		time.Sleep(hotEvery)
	}
}

// replaceServers replaces servers one after the other: the new one starts first, the old one drains.
func (d *deployment) replaceServers(first, count int, gap time.Duration) {
	for n := range count {
		time.Sleep(gap)
		d.fleet.mu.Lock()
		old := d.fleet.servers[first+n]
		d.fleet.mu.Unlock()
		d.fleet.rec.note("release: a new server in %s replaces %s", old.zone, old.id)
		d.fleet.start(old.zone)
		go func() {
			time.Sleep(time.Second)
			old.leave()
		}()
	}
}

// playSecondCopy plays traffic with busy keys that change, while servers are replaced one after the other. With the
// disruption, some servers write a few of their answers once more, at the point where the next answer is expected. It
// comes for five seconds at a time.
func playSecondCopy(rec *record, trouble bool) {
	d := deploy(rec, true)
	l, stop := d.startTraffic(rec)
	go func() {
		for n := 0; n < int(playTime/cycle); n++ {
			if trouble {
				d.fleet.disturb(secondCopies)
			}
			d.replaceServers(n*replacedInCycle, replacedInCycle, releaseGap)
			time.Sleep(cycle - replacedInCycle*releaseGap)
		}
	}()
	time.Sleep(playTime)
	stop()
	d.fleet.mu.Lock()
	broken, grants := d.fleet.broken, d.fleet.grants
	d.fleet.mu.Unlock()
	verdict := fmt.Sprintf("statuses %s, %d grants, rule OWNER broken %d times", l.summary(), grants, len(broken))
	rec.note("end: %s", verdict)
	fmt.Println(verdict)
	if len(broken) > 0 {
		fmt.Println("the first:", broken[0])
		end(exitBroken)
	}
	end(exitHeld)
}

const (
	// replacedShare of the servers, in percent, is replaced.
	replacedShare = 45
	// finalFault is when all hosts are killed, downFor how long they are down, recovery the bound of the rule RECOVER.
	finalFault = 50 * time.Second
	downFor    = time.Second
	recovery   = 15 * time.Second
	judgedFor  = 20 * time.Second
	// steadyFor is the time of traffic before the final fault, serversDownFor how long servers are down.
	steadyFor      = 15 * time.Second
	serversDownFor = 4500 * time.Millisecond
)

// playWrongByte plays traffic with busy keys that change, while servers are replaced, and a final fault that kills all
// hosts. With the disruption, some servers hand out a few wrong bytes. It comes for four seconds at a time.
func playWrongByte(rec *record, trouble bool) {
	d := deploy(rec, true)
	l, stop := d.startTraffic(rec)
	begun := time.Now()
	go d.replaceServers(0, replacedShare*len(d.fleet.servers)/100, cycle)
	for time.Since(begun) < finalFault-cycle {
		if trouble {
			d.fleet.disturb(wrongBytes)
		}
		time.Sleep(wrongBytes.lasts + releaseGap)
	}
	time.Sleep(finalFault - time.Since(begun))
	d.judgeRecovery(rec, l, stop, func() {})
}

// playNewAddresses plays traffic to a service that is not divided by key, and a final fault that kills all hosts. With
// the disruption, the servers go down at the same moment and come back some seconds later, as new incarnations at other
// addresses.
func playNewAddresses(rec *record, trouble bool) {
	d := deploy(rec, false)
	l, stop := d.startTraffic(rec)
	time.Sleep(steadyFor)
	d.judgeRecovery(rec, l, stop, func() {
		if trouble {
			go d.fleet.coldReturn(serversDownFor)
		}
	})
}

// startTraffic starts the traffic some time after the hosts. The returned function ends it.
func (d *deployment) startTraffic(rec *record) (*load, func()) {
	time.Sleep(startWait)
	d.fleet.mu.Lock()
	d.fleet.trafficAt = time.Now()
	d.fleet.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	l := newLoad(rec, d.hosts)
	go l.moveBusyKeys(ctx)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		l.run(ctx, requestsPerSecond)
	}()
	return l, func() {
		cancel()
		<-sent
	}
}

// loseHosts is the final fault: all hosts are killed and started again.
func (d *deployment) loseHosts(rec *record) {
	rec.note("final fault: all hosts are killed")
	for _, h := range d.hosts {
		h.kill()
	}
	time.Sleep(downFor)
	for _, h := range d.hosts {
		h.start()
	}
	rec.note("the hosts are back")
}

// judgeRecovery plays the final fault, checks the rule RECOVER and ends the case. beside is called at the moment of the
// final fault.
func (d *deployment) judgeRecovery(rec *record, l *load, stop, beside func()) {
	beforeServed, before := l.take()
	beside()
	d.loseHosts(rec)
	time.Sleep(recovery)
	l.take()
	time.Sleep(judgedFor)
	served, all := l.take()
	stop()
	verdict := fmt.Sprintf("before the final fault %d of %d requests were served, later than %s after it %d of %d",
		beforeServed, before, recovery, served, all)
	rec.note("end: %s", verdict)
	fmt.Println(verdict)
	switch {
	case 4*beforeServed < before:
		fail("too few requests were served before")
	case 4*served < all:
		end(exitBroken)
	}
	end(exitHeld)
}
