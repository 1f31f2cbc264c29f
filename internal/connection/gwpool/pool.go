// Package gwpool keeps HTTP connections to servers and hosts, bounded for each address.
package gwpool

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

var (
	// ErrClosed reports that the pool was closed.
	ErrClosed = errors.New("connection pool is closed")
	// ErrDial reports that no connection could be established.
	ErrDial = errors.New("connection could not be established")
)

// bufferBytes is the size of the two buffers of a connection. A usual head fits; larger bodies pass the buffers.
// With the 4 KiB of net/http an idle connection occupies 4 KiB more.
const bufferBytes = 2 << 10

// Pool keeps connections to any number of addresses. It never sends a request again by itself.
type Pool struct {
	opts      Options
	transport *http.Transport
	metrics   *metrics

	mu        sync.Mutex
	addresses map[string]*address
	closed    bool
}

// address holds the connections to one address; Pool.mu guards it.
type address struct {
	name string
	// open counts connections that are in use, idle or being established.
	open int
	// idle is ordered by last use, the most recent last.
	idle    []*Conn
	waiters []*waiter
}

// waiter is an Acquire that waits because the limit is reached.
type waiter struct {
	// ready gets a connection, or nil when the waiter may establish one.
	ready chan *Conn
}

// New returns a pool.
func New(opts ...Option) *Pool {
	o := Options{
		DialMilliseconds:     DefaultDialMilliseconds,
		IdleMilliseconds:     DefaultIdleMilliseconds,
		ContinueMilliseconds: DefaultContinueMilliseconds,
		AgeMilliseconds:      DefaultAgeMilliseconds,
		HeaderBytes:          DefaultHeaderBytes,
	}
	for _, opt := range opts {
		opt(&o)
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	p := &Pool{opts: o, metrics: newMetrics(o.Registerer), addresses: make(map[string]*address)}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	p.transport = &http.Transport{
		DialContext:            p.dialWire,
		DisableCompression:     true,
		MaxResponseHeaderBytes: o.HeaderBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
		ExpectContinueTimeout:  time.Duration(o.ContinueMilliseconds) * time.Millisecond,
		Protocols:              protocols,
	}
	return p
}

// Acquire returns a connection to the address that no other request uses, and waits while limit connections
// are open and in use. It fails with ErrDial, ErrClosed or the error of ctx; no byte was then sent.
func (p *Pool) Acquire(ctx context.Context, to string, limit int) (*Conn, error) {
	c, a, w, err := p.take(to, max(limit, 1))
	switch {
	case err != nil:
		return nil, err
	case c != nil:
		p.metrics.reused.Inc()
		return c, nil
	case w == nil:
		return p.dial(ctx, a)
	}
	p.metrics.waits.Inc()
	select {
	case c = <-w.ready:
		if c == nil {
			return p.dial(ctx, a)
		}
		p.metrics.reused.Inc()
		return c, nil
	case <-ctx.Done():
		p.abandon(a, w)
		return nil, eris.Wrap(ctx.Err(), "wait for a connection")
	}
}

// take returns an idle connection, or the address alone when the caller may establish a connection, or a
// waiter when the limit is reached.
func (p *Pool) take(to string, limit int) (*Conn, *address, *waiter, error) {
	var unusable []*Conn
	defer func() { closeAll(unusable) }()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, nil, ErrClosed
	}
	a := p.addresses[to]
	if a == nil {
		a = &address{name: to}
		p.addresses[to] = a
	}
	unusable = p.takeExpired(a, time.Now())
	for len(a.idle) > 0 {
		c := a.idle[len(a.idle)-1]
		a.idle = a.idle[:len(a.idle)-1]
		if c.wire.usable() {
			return c, a, nil, nil
		}
		a.open--
		unusable = append(unusable, c)
	}
	if a.open < limit {
		a.open++
		return nil, a, nil, nil
	}
	w := &waiter{ready: make(chan *Conn, 1)}
	a.waiters = append(a.waiters, w)
	return nil, a, w, nil
}

// abandon removes a waiter whose context ended, and passes on what it got meanwhile.
func (p *Pool) abandon(a *address, w *waiter) {
	p.mu.Lock()
	i := slices.Index(a.waiters, w)
	if i >= 0 {
		a.waiters = slices.Delete(a.waiters, i, i+1)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	if c := <-w.ready; c != nil {
		c.Release()
	} else {
		p.freed(a)
	}
}

// freed records that a connection to a is gone or was not established.
func (p *Pool) freed(a *address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(a.waiters) > 0 {
		w := a.waiters[0]
		a.waiters = a.waiters[1:]
		w.ready <- nil
		return
	}
	a.open--
	p.forget(a)
}

// forget removes an address without connections. The caller holds mu.
func (p *Pool) forget(a *address) {
	if a.open == 0 && len(a.waiters) == 0 && p.addresses[a.name] == a {
		delete(p.addresses, a.name)
	}
}

// put makes a connection available to the next request.
func (p *Pool) put(c *Conn) {
	now := time.Now()
	p.mu.Lock()
	a := c.address
	if p.closed || !c.wire.usable() {
		p.mu.Unlock()
		c.Discard()
		return
	}
	c.used = now
	if len(a.waiters) > 0 {
		w := a.waiters[0]
		a.waiters = a.waiters[1:]
		w.ready <- c
	} else {
		a.idle = append(a.idle, c)
	}
	expired := p.takeExpired(a, now)
	p.mu.Unlock()
	closeAll(expired)
}

// takeExpired removes the idle connections that were unused for too long. The caller holds mu and closes them.
func (p *Pool) takeExpired(a *address, now time.Time) []*Conn {
	oldest := now.Add(-time.Duration(p.opts.IdleMilliseconds) * time.Millisecond)
	n := 0
	for n < len(a.idle) && a.idle[n].used.Before(oldest) {
		n++
	}
	if n == 0 {
		return nil
	}
	expired := slices.Clone(a.idle[:n])
	a.idle = slices.Delete(a.idle, 0, n)
	a.open -= n
	p.metrics.expired.Add(float64(n))
	return expired
}

// removeIdle removes c from the idle connections and reports whether it was one of them.
func (p *Pool) removeIdle(c *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := c.address
	i := slices.Index(a.idle, c)
	if i < 0 {
		return false
	}
	a.idle = slices.Delete(a.idle, i, i+1)
	a.open--
	p.forget(a)
	return true
}

// closeSiblings closes the idle connections to the address of c that are as old as c or older: what made c
// silent without an error, for example a lost entry of a firewall, affects them as well.
func (p *Pool) closeSiblings(c *Conn) {
	youngest := c.created.Add(time.Duration(p.opts.AgeMilliseconds) * time.Millisecond)
	p.mu.Lock()
	a := c.address
	var suspects []*Conn
	a.idle = slices.DeleteFunc(a.idle, func(s *Conn) bool {
		if s.created.After(youngest) {
			return false
		}
		suspects = append(suspects, s)
		return true
	})
	a.open -= len(suspects)
	p.mu.Unlock()
	p.metrics.suspects.Add(float64(len(suspects)))
	closeAll(suspects)
}

// Run closes connections that were unused for too long, until ctx ends.
func (p *Pool) Run(ctx context.Context) error {
	ticker := time.NewTicker(time.Duration(max(p.opts.IdleMilliseconds/4, 10)) * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			p.closeExpired(now)
		case <-ctx.Done():
			return nil
		}
	}
}

func (p *Pool) closeExpired(now time.Time) {
	var expired []*Conn
	p.mu.Lock()
	for _, a := range p.addresses {
		expired = append(expired, p.takeExpired(a, now)...)
		p.forget(a)
	}
	p.mu.Unlock()
	closeAll(expired)
}

// Close closes idle connections and makes Acquire fail. Connections in use are closed when they are released.
func (p *Pool) Close() {
	var idle []*Conn
	p.mu.Lock()
	p.closed = true
	for _, a := range p.addresses {
		idle = append(idle, a.idle...)
		a.open -= len(a.idle)
		a.idle = nil
	}
	p.mu.Unlock()
	closeAll(idle)
}

// Idle returns the number of idle connections to an address.
func (p *Pool) Idle(to string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.addresses[to]; a != nil {
		return len(a.idle)
	}
	return 0
}

// Open returns the number of connections to an address that are in use, idle or being established.
func (p *Pool) Open(to string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.addresses[to]; a != nil {
		return a.open
	}
	return 0
}

func closeAll(conns []*Conn) {
	for _, c := range conns {
		c.close()
	}
}
