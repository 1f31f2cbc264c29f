// Package gwreach finds out whether this host has lost its path to all servers, while other hosts may still reach them.
package gwreach

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwpool"
)

// Reach collects what attempts at servers show about the path to them. It is safe for concurrent use.
type Reach struct {
	dial     gwpool.DialFunc
	onChange func(cutOff bool)
	cutOff   atomic.Bool
	// suspected gets a value when evidence is to be checked.
	suspected chan struct{}

	mu       sync.Mutex
	evidence evidence
}

var _ gw.Reach = (*Reach)(nil)

// Option configures a Reach.
type Option func(*Reach)

// WithDial sets how connections are opened. By default a net.Dialer opens them.
func WithDial(dial gwpool.DialFunc) Option {
	return func(r *Reach) { r.dial = dial }
}

// WithOnChange sets a function that is called when this host loses its path to all servers, or has it again.
func WithOnChange(f func(cutOff bool)) Option {
	return func(r *Reach) { r.onChange = f }
}

// New returns a Reach of a host that is not cut off.
func New(opts ...Option) *Reach {
	r := &Reach{dial: (&net.Dialer{}).DialContext, onChange: func(bool) {}, suspected: make(chan struct{}, 1)}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// CutOff implements gw.Reach.
func (r *Reach) CutOff() bool {
	return r.cutOff.Load()
}

// Answered implements gw.Reach.
func (r *Reach) Answered(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.answered(time.Now(), address)
	r.set(false)
}

// Failed implements gw.Reach.
func (r *Reach) Failed(name gw.ServerName, address string) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.failed(now, name, address)
	if r.evidence.suspicious(now) {
		select {
		case r.suspected <- struct{}{}:
		default:
		}
	}
}

// set changes whether this host is cut off. The caller holds mu.
func (r *Reach) set(cutOff bool) {
	if r.cutOff.Load() != cutOff {
		r.cutOff.Store(cutOff)
		r.onChange(cutOff)
	}
}

const (
	// checkInterval is the time between checks whether a host that is cut off reaches a server again. It sends nothing to
	// servers meanwhile, so that nothing else would show it.
	checkInterval = 250 * time.Millisecond
	// checkTimeout bounds the connection attempts of a check.
	checkTimeout = 200 * time.Millisecond
	// checkedServers is how many servers that answered, and how many that failed, a check tries.
	checkedServers = 3
)

// Run checks a suspicion at once, and whether a host that is cut off reaches servers again, until ctx ends.
func (r *Reach) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.suspected:
		case <-ticker.C:
			if !r.CutOff() {
				continue
			}
		}
		address, reached := r.check(ctx)
		switch {
		case reached:
			r.Answered(address)
		case ctx.Err() == nil:
			r.confirm()
		}
	}
}

// confirm records that no server has accepted a connection, unless one has answered meanwhile.
func (r *Reach) confirm() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.evidence.suspicious(time.Now()) {
		r.set(true)
	}
}

// check opens connections to some servers and returns the address of one that has accepted.
func (r *Reach) check(ctx context.Context) (address string, reached bool) {
	r.mu.Lock()
	addresses := r.evidence.addresses(checkedServers)
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	accepted := make(chan string, len(addresses))
	for _, to := range addresses {
		go func() {
			conn, err := r.dial(ctx, "tcp", to)
			if err != nil {
				accepted <- ""
				return
			}
			_ = conn.Close()
			accepted <- to
		}()
	}
	for range addresses {
		if to := <-accepted; to != "" {
			address, reached = to, true
		}
	}
	return address, reached
}
