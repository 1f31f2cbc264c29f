//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	keys = 65536
	// heartbeat is how often a server writes its entry. An entry is removed after three of silence.
	heartbeat = 1500 * time.Millisecond
)

// owner is a stand-in for a sound backend server of a service that is divided by key. A life is one run of it.
type owner struct {
	id, service, zone string
	work              time.Duration
	store             *store
	rec               *record

	// all are the servers of the service, this one among them.
	all *[]*owner

	mu   sync.Mutex
	life *life
	// onHeld counts the requests that began here on a key that another server held.
	onHeld int
	runs   []keyRun
}

// keyRun is a request that a server began to run.
type keyRun struct {
	id  string
	key int
	at  time.Time
}

// life is one run of a server. It knows nothing of those before.
type life struct {
	of            *owner
	born          int64
	zone, address string
	listener      net.Listener
	server        *http.Server
	free          chan struct{}
	end           chan struct{}

	mu      sync.Mutex
	fence   [keys]uint64
	until   [keys]time.Time
	running map[int]int
	idle    *sync.Cond
	ended   bool
}

// ownersOf returns servers of the service that is divided by key, n in each zone.
func (p *play) ownersOf(n int) []*owner {
	var owners []*owner
	for _, at := range places {
		for i := range n {
			owners = append(owners, &owner{
				id: fmt.Sprintf("i-k%s-%d", at.Name, i+1), service: "wuno96b", zone: at.Name,
				work: 60 * time.Millisecond, store: p.store, rec: p.rec, all: &p.owners,
			})
		}
	}
	return owners
}

// start begins a life of the server in a zone.
func (o *owner) start(ip, zone string) error {
	l := &life{
		of: o, born: time.Now().UnixMilli(), zone: zone, free: make(chan struct{}, slots), end: make(chan struct{}),
		running: map[int]int{},
	}
	l.idle = sync.NewCond(&l.mu)
	var err error
	if l.listener, err = net.Listen("tcp", ip+":0"); err != nil {
		return err
	}
	l.address = l.listener.Addr().String()
	l.server = &http.Server{Handler: l}
	go func() { _ = l.server.Serve(l.listener) }()
	o.mu.Lock()
	o.life = l
	o.mu.Unlock()
	o.rec.printf("server %s starts in %s at %s, born %d", o.id, zone, l.address, l.born)
	go l.register()
	return nil
}

// crash ends the life at once. Its entry stays until three heartbeats of silence have passed.
func (o *owner) crash() {
	o.mu.Lock()
	l := o.life
	o.mu.Unlock()
	l.mu.Lock()
	l.ended = true
	l.mu.Unlock()
	close(l.end)
	_ = l.server.Close()
	o.rec.printf("server %s in %s crashes", o.id, l.zone)
	time.AfterFunc(3*heartbeat, func() {
		o.mu.Lock()
		current := o.life
		o.mu.Unlock()
		if current == l {
			o.store.remove("servers/" + o.id)
		}
	})
}

// register writes the entry of the server at each heartbeat.
func (l *life) register() {
	for sequence := 1; ; sequence++ {
		l.of.store.put("servers/"+l.of.id, map[string]any{
			"service": l.of.service, "address": l.address, "zone": l.zone, "version": "v1", "concurrency": slots,
			"state": "ready", "warmup_time": "0ms", "sequence": sequence, "born": l.born,
		})
		select {
		case <-time.After(heartbeat):
		case <-l.end:
			return
		}
	}
}

// command is the body of a grant or a release.
type command struct {
	From  int    `json:"from"`
	To    int    `json:"target"`
	Fence uint64 `json:"fence"`
	Hold  string `json:"hold_time"`
}

func (l *life) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if id := r.Header.Get("X-Attempt-Id"); id != "" {
		h.Set("X-Attempt-Id", id)
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != l.of.id {
		h.Set("X-Instance-Id", l.of.id)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		h.Set("X-Instance-Id", l.of.id)
	case "/grant":
		l.grant(w, r)
	case "/release":
		l.release(w, r)
	default:
		l.serve(w, r)
	}
}

func (l *life) grant(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var c command
	if json.NewDecoder(r.Body).Decode(&c) != nil || c.From < 0 || c.To >= keys || c.From > c.To {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	hold, err := time.ParseDuration(c.Hold)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for k := c.From; k <= c.To; k++ {
		if l.fence[k] > c.Fence {
			l.of.rec.printf("grant %s %d-%d fence %d: 409, %d was seen", l.of.id, c.From, c.To, c.Fence, l.fence[k])
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	if now := time.Now(); l.until[c.From].Before(now) || l.fence[c.From] != c.Fence {
		l.of.rec.printf("grant %s %d-%d fence %d for %s: takes the keys (%s)", l.of.id, c.From, c.To, c.Fence, c.Hold, l.zone)
	}
	for k := c.From; k <= c.To; k++ {
		l.fence[k] = c.Fence
		l.until[k] = arrived.Add(hold)
	}
}

func (l *life) release(w http.ResponseWriter, r *http.Request) {
	var c command
	if json.NewDecoder(r.Body).Decode(&c) != nil || c.From < 0 || c.To >= keys || c.From > c.To {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	for k := c.From; k <= c.To; k++ {
		l.until[k] = time.Time{}
		l.fence[k] = max(l.fence[k], c.Fence)
	}
	for l.busy(c) && !l.ended {
		l.idle.Wait()
	}
	l.mu.Unlock()
	l.of.rec.printf("release %s %d-%d fence %d is done", l.of.id, c.From, c.To, c.Fence)
	w.Header().Set("X-Handover", newID())
}

// busy reports whether work runs on keys of a release. The caller holds mu.
func (l *life) busy(c command) bool {
	for k := range l.running {
		if c.From <= k && k <= c.To {
			return true
		}
	}
	return false
}

func (l *life) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("X-Attempt-Id")
	key, err := strconv.Atoi(r.Header.Get("X-Shard-Key"))
	_, _ = io.Copy(io.Discard, r.Body)
	if id == "" || err != nil || key < 0 || key >= keys {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case l.free <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-l.free }()
	l.mu.Lock()
	until := l.until[key]
	if !time.Now().Before(until) {
		l.mu.Unlock()
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	l.running[key]++
	l.mu.Unlock()
	l.of.noteRun(id, key)
	defer func() {
		l.mu.Lock()
		if l.running[key]--; l.running[key] == 0 {
			delete(l.running, key)
		}
		l.idle.Broadcast()
		l.mu.Unlock()
	}()
	select {
	case <-time.After(l.of.work):
	case <-r.Context().Done():
		return
	}
	h.Set("X-Response-Signature", "3e1b.07."+id)
	if time.Now().After(until) {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = fmt.Fprintf(w, "answer of %s to %s\n", l.of.id, id)
}

// noteRun notes a request that begins on a key that another server holds.
func (o *owner) noteRun(id string, key int) {
	o.mu.Lock()
	o.runs = append(o.runs, keyRun{id: id, key: key, at: time.Now()})
	o.mu.Unlock()
	for _, other := range *o.all {
		if other == o || !other.holdsKey(key) {
			continue
		}
		o.mu.Lock()
		o.onHeld++
		o.mu.Unlock()
		o.rec.printf("request %s begins at %s on key %d, which %s holds too", id, o.id, key, other.id)
	}
}

// beganOnHeld returns for each server how many requests began there on keys that another one held.
func beganOnHeld(owners []*owner) map[string]int {
	counts := map[string]int{}
	for _, o := range owners {
		o.mu.Lock()
		if o.onHeld > 0 {
			counts[o.id] = o.onHeld
		}
		o.mu.Unlock()
	}
	return counts
}

// holdsKey reports whether the server is up and holds a key.
func (o *owner) holdsKey(key int) bool {
	o.mu.Lock()
	l := o.life
	o.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.ended && time.Now().Before(l.until[key])
}

// holds returns for each key whether the server is up and holds it.
func (o *owner) holds(out *[keys]bool) {
	o.mu.Lock()
	l := o.life
	o.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for k := range out {
		out[k] = !l.ended && now.Before(l.until[k])
	}
}

// watchOwners looks every 20 ms for keys that two servers hold, until done is closed. It returns how many keys two
// servers held for over half a second, and for how long at most.
func watchOwners(rec *record, owners []*owner, done <-chan struct{}) (broken int, longest time.Duration) {
	var since [keys]time.Time
	var counted [keys]bool
	held := make([][keys]bool, len(owners))
	for {
		select {
		case <-done:
			return broken, longest
		case <-time.After(20 * time.Millisecond):
		}
		for i, o := range owners {
			o.holds(&held[i])
		}
		now := time.Now()
		first := -1
		for k := range keys {
			var names []string
			for i := range owners {
				if held[i][k] {
					names = append(names, owners[i].id)
				}
			}
			if len(names) < 2 {
				since[k] = time.Time{}
				continue
			}
			if since[k].IsZero() {
				since[k] = now
				if first < 0 {
					first = k
					rec.printf("key %d and maybe others: held by %v", k, names)
				}
			}
			if d := now.Sub(since[k]); d > 500*time.Millisecond {
				longest = max(longest, d)
				if !counted[k] {
					counted[k] = true
					if broken++; broken == 1 || broken%2048 == 0 {
						rec.printf("BROKEN OWNER: %v hold key %d at the same time since %v (%d keys so far)", names, k, d, broken)
					}
				}
			}
		}
	}
}
