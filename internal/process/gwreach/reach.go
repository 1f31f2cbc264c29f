// Package gwreach finds out whether this host has lost its path to all servers, while other hosts may still reach them.
package gwreach

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/process/gwtimer"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Reach collects what attempts at servers show about the path to them. It is safe for concurrent use.
type Reach struct {
	dial     DialFunc
	onChange func(cutOff bool)
	cutOff   atomic.Bool

	mu       sync.Mutex
	evidence evidence
}

// Option configures a Reach.
type Option func(*Reach)

// WithDial sets how connections are opened. By default a net.Dialer opens them.
func WithDial(dial DialFunc) Option {
	return func(r *Reach) { r.dial = dial }
}

// WithOnChange sets a function that is called when this host loses its path to all servers, or has it again.
func WithOnChange(f func(cutOff bool)) Option {
	return func(r *Reach) { r.onChange = f }
}

// New returns a Reach of a host that is not cut off.
func New(opts ...Option) *Reach {
	r := &Reach{dial: (&net.Dialer{}).DialContext, onChange: func(bool) {}}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// CutOff reports whether this host has lost its path to all servers.
func (r *Reach) CutOff() bool {
	return r.cutOff.Load()
}

// Answered notes that a server has answered or accepted a connection.
func (r *Reach) Answered() {
	r.note(func(e *evidence, now time.Time) { e.answered(now) })
}

// Failed notes that a server could not be reached, or that its connection was lost or silent.
func (r *Reach) Failed(name gw.ServerName, address string) {
	r.note(func(e *evidence, now time.Time) { e.failed(now, name, address) })
}

func (r *Reach) note(apply func(*evidence, time.Time)) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	apply(&r.evidence, now)
	if cut := r.evidence.cutOff(); cut != r.cutOff.Load() {
		r.cutOff.Store(cut)
		r.onChange(cut)
	}
}

const (
	// checkInterval is the time between checks whether a host that is cut off reaches a server again. It sends nothing to
	// servers meanwhile, so that nothing else would show it.
	checkInterval = 250 * time.Millisecond
	// checkTimeout bounds a connection attempt of a check.
	checkTimeout = 200 * time.Millisecond
	// checkedServers is how many servers are tried at once.
	checkedServers = 3
)

// Run checks, while this host is cut off, whether it reaches servers again, until ctx ends.
func (r *Reach) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		gwtimer.Sleep(ctx, checkInterval)
		if r.CutOff() && r.check(ctx) {
			r.Answered()
		}
	}
	return nil
}

// check reports whether one of the servers that failed last accepts a connection.
func (r *Reach) check(ctx context.Context) bool {
	r.mu.Lock()
	addresses := r.evidence.lastFailed(checkedServers)
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	reached := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() {
			conn, err := r.dial(ctx, "tcp", address)
			if err == nil {
				_ = conn.Close()
			}
			reached <- err == nil
		}()
	}
	reachedAny := false
	for range addresses {
		reachedAny = <-reached || reachedAny
	}
	return reachedAny
}
