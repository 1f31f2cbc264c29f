//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// backend is a stand-in for a sound backend server of a service that is not divided by key.
type backend struct {
	id, address, zone, service string
	work                       time.Duration
	store                      *store
	free                       chan struct{}

	mu      sync.Mutex
	waiting int
	// arrived holds when each request, by its X-Attempt-Id, came here and was not turned away.
	arrived map[string]time.Time
	// path holds the request target of each request that ran.
	path map[string]string
}

func newBackend(s *store, id, ip, zone, service string, work time.Duration) (*backend, error) {
	b := &backend{
		id: id, zone: zone, service: service, work: work, store: s, free: make(chan struct{}, slots),
		arrived: map[string]time.Time{}, path: map[string]string{},
	}
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	b.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, b) }()
	go b.register()
	return b, nil
}

// register writes the entry of the server at each heartbeat.
func (b *backend) register() {
	born := time.Now().UnixMilli()
	for sequence := 1; ; sequence++ {
		b.store.put("servers/"+b.id, map[string]any{
			"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "concurrency": slots,
			"state": "ready", "warmup_time": "0ms", "sequence": sequence, "born": born,
		})
		time.Sleep(1500 * time.Millisecond)
	}
}

// slots is how many requests a server runs at once.
const slots = 4

// queue is how many requests wait for a slot at most.
const queue = 8

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("X-Attempt-Id")
	if id != "" {
		h.Set("X-Attempt-Id", id)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	switch {
	case r.URL.Path == "/health":
		h.Set("X-Instance-Id", b.id)
		return
	case r.Header.Get("X-Expected-Instance") != "" && r.Header.Get("X-Expected-Instance") != b.id:
		h.Set("X-Instance-Id", b.id)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !b.enter(r) {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-b.free }()
	b.mu.Lock()
	b.arrived[id] = time.Now()
	b.path[id] = r.RequestURI
	b.mu.Unlock()
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		return
	}
	h.Set("X-Response-Signature", "3e1b.07."+id)
	_, _ = fmt.Fprintf(w, "answer of %s to %s\n", b.id, id)
}

// enter waits for a slot and reports whether there is one.
func (b *backend) enter(r *http.Request) bool {
	b.mu.Lock()
	if b.waiting >= queue {
		b.mu.Unlock()
		return false
	}
	b.waiting++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.waiting--
		b.mu.Unlock()
	}()
	select {
	case b.free <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

// began returns when the server began to work on a request.
func (b *backend) began(id string) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.arrived[id]
	return at, ok
}

// pathOf returns the path with which the server ran a request.
func (b *backend) pathOf(id string) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	path, ok := b.path[id]
	return path, ok
}
