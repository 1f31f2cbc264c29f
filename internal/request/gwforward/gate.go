package gwforward

import (
	"context"
	"sync"
)

// Gate counts the running requests of a handler, so that the handler can stop without cutting any off.
type Gate struct {
	mu       sync.Mutex
	running  int
	stopping bool
	idle     chan struct{}
}

// Enter counts a request, and reports false when the handler is stopping.
func (g *Gate) Enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping {
		return false
	}
	g.running++
	return true
}

// Leave ends a request for which Enter reported true.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.running == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// Stop makes Enter report false from now on.
func (g *Gate) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
}

// Running returns the number of requests that are running.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}

// Wait waits until no request is running, and returns the error of ctx when ctx ends first. It must be called after
// Stop.
func (g *Gate) Wait(ctx context.Context) error {
	g.mu.Lock()
	if g.running == 0 {
		g.mu.Unlock()
		return nil
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
