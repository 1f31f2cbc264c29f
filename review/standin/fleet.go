//go:build review

package main

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	serviceName = "registry"
	maxHold     = 10 * time.Second
	// heldTogether is how long two servers may hold the same keys (RULES.md, OWNER).
	heldTogether = 500 * time.Millisecond
)

// disruption is what servers do with some of their answers.
type disruption int

const (
	_ disruption = iota
	// secondCopy writes an answer once more, at the point where the next answer on the connection is expected.
	secondCopy
	// wrongByte replaces a byte in what a server hands over with a release.
	wrongByte
)

// dose is a disruption with its share of the servers, the share of their answers, and how long it lasts.
type dose struct {
	what             disruption
	servers, answers float64
	lasts            time.Duration
}

// The doses are the largest of the variant in the site file.
var (
	secondCopies = dose{what: secondCopy, servers: 0.6, answers: 0.03, lasts: 5 * time.Second}
	wrongBytes   = dose{what: wrongByte, servers: 0.36, answers: 0.023, lasts: 4 * time.Second}
)

// fleet is all servers, with the check of the rule OWNER over them.
type fleet struct {
	store *store
	rec   *record
	// divided is set when the service is divided by key.
	divided bool
	// disturbed lasts from one time to another.
	disturbed dose
	from, to  time.Time

	mu sync.Mutex
	// trafficAt is the start of the traffic.
	trafficAt time.Time
	servers   []*server
	started   int
	grants    int
	// together is since when a pair of servers has held a key together.
	together map[string]time.Time
	broken   []string
}

func (f *fleet) start(zone string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("server: %v", err)
	}
	f.mu.Lock()
	f.started++
	s := &server{
		f: f, id: fmt.Sprintf("i-%04d", f.started), zone: zone, listener: listener, up: true, conns: map[net.Conn]bool{},
		address: listener.Addr().String(), born: time.Now().UnixMilli(), startedAt: time.Now(),
		faulty: float64(f.started%16) / 16,
	}
	s.idle = sync.NewCond(&f.mu)
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	go s.serve()
	go func() {
		for s.isUp() {
			s.beat()
			time.Sleep(heartbeat)
		}
	}()
}

func (s *server) isUp() bool {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	return s.up
}

// coldReturn ends all servers at once without a word. Their entries are removed after three heartbeats of silence, and
// as many new ones come back together after a time.
func (f *fleet) coldReturn(after time.Duration) {
	f.mu.Lock()
	old := slices.Clone(f.servers)
	for _, s := range old {
		s.up = false
		_ = s.listener.Close()
		for conn := range s.conns {
			_ = conn.Close()
		}
	}
	f.mu.Unlock()
	f.rec.note("all servers are down")
	go func() {
		time.Sleep(3 * heartbeat)
		for _, s := range old {
			f.store.set("servers/"+s.id, nil)
		}
	}()
	time.Sleep(after)
	for _, s := range old {
		f.start(s.zone)
	}
	f.rec.note("as many servers are back at other addresses")
}

// leave drains a server and ends it: it goes on serving for the drain time and a little longer.
func (s *server) leave() {
	s.f.mu.Lock()
	s.draining = true
	s.f.mu.Unlock()
	s.f.rec.note("leave %s: draining", s.id)
	s.beat()
	time.Sleep(drainTime + leaveSlack)
	s.f.mu.Lock()
	for s.total > 0 {
		s.idle.Wait()
	}
	s.up = false
	s.f.mu.Unlock()
	_ = s.listener.Close()
	s.f.store.set("servers/"+s.id, nil)
	s.f.rec.note("leave %s: ended", s.id)
}

func (f *fleet) isBroken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	f.broken = append(f.broken, text)
	f.rec.note("BROKEN OWNER: %s", text)
}

// checkGrant checks an accepted grant before it is applied. The caller holds mu.
func (f *fleet) checkGrant(to *server, o order, arrived time.Time) {
	f.grants++
	taken := 0
	for key := o.From; key <= o.Target; key++ {
		if to.holds(key, arrived) {
			continue
		}
		taken++
		for _, other := range f.servers {
			if other == to || !other.up {
				continue
			}
			if other.fence[key] >= o.Fence {
				f.isBroken("%s takes key %d with token %d, %s had it with %d", to.id, key, o.Fence, other.id, other.fence[key])
			}
			if other.running[key] > 0 && arrived.Before(other.wouldEnd[key]) {
				f.isBroken("%s is given key %d on which %s is still at work, %d ms before that one's hold would have run out",
					to.id, key, other.id, other.wouldEnd[key].Sub(arrived).Milliseconds())
			}
		}
	}
	if taken > 0 {
		f.rec.note("grant %s %d-%d fence %d: takes %d keys", to.id, o.From, o.Target, o.Fence, taken)
	}
}

// checkBegin checks that no other server holds the key of a request that begins. The caller holds mu.
func (f *fleet) checkBegin(at *server, key int, now time.Time) {
	for _, other := range f.servers {
		if other != at && other.holds(key, now) && other.running[key] > 0 {
			f.isBroken("%s begins a request on key %d while %s holds it and runs requests on it", at.id, key, other.id)
		}
	}
}

// watchHolds looks for keys that two servers hold together for too long.
func (f *fleet) watchHolds() {
	for range time.Tick(100 * time.Millisecond) {
		f.mu.Lock()
		now, seen := time.Now(), map[string]bool{}
		for key := 0; key < keys; key += 16 {
			var holder *server
			for _, s := range f.servers {
				if !s.holds(key, now) {
					continue
				}
				if holder != nil {
					pair := holder.id + " and " + s.id
					if f.together[pair].IsZero() {
						f.together[pair] = now
					}
					if now.Sub(f.together[pair]) > heldTogether && !seen[pair] {
						f.isBroken("%s hold key %d together for %d ms", pair, key, now.Sub(f.together[pair]).Milliseconds())
					}
					seen[pair] = true
				}
				holder = s
			}
		}
		for pair := range f.together {
			if !seen[pair] {
				delete(f.together, pair)
			}
		}
		f.mu.Unlock()
	}
}
