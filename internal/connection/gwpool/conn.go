package gwpool

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/geraniumworks/geraniumworks/internal/connection/gwadapter"
)

// Conn is a connection that runs one request at a time. Exactly one of Release and Discard ends its use.
type Conn struct {
	pool    *Pool
	address *address
	cc      *http.ClientConn
	wire    *wire
	created time.Time
	// used is when the connection was last returned; Pool.mu guards it.
	used time.Time
	// refused is the caller's id of the last request that the server has refused on the connection. Only the request that
	// uses the connection accesses it.
	refused string

	// holds counts what keeps the connection silent other than the server: a caller that does not send its
	// body or does not take its answer.
	holds  atomic.Int32
	silent atomic.Bool

	mu    sync.Mutex
	timer *time.Timer
	// bound is the longest permitted silence, zero while no request is with the server.
	bound time.Duration
}

// RoundTrip sends the request once. A silence of the server of progressMilliseconds ends the request: Silent
// then reports true, and the idle connections of the same or a greater age are closed. RoundTrip returns
// gwadapter.ErrBadHead for an answer whose head does not follow HTTP.
func (c *Conn) RoundTrip(req *http.Request, progressMilliseconds int64) (*http.Response, error) {
	c.holds.Store(0)
	c.wire.begin()
	c.watch(time.Duration(progressMilliseconds) * time.Millisecond)
	return gwadapter.RoundTrip(c.cc, req)
}

// NoteRefused records the caller's id of a request that the server has refused on the connection.
func (c *Conn) NoteRefused(callerID string) {
	c.refused = callerID
}

// HasRefused reports whether the server has refused a request of the caller with this id on the connection. A faulty
// server may write that refusal once more, and it would count for the next attempt, which bears the same id.
func (c *Conn) HasRefused(callerID string) bool {
	return callerID != "" && c.refused == callerID
}

// Hold stops the counting of silence until Resume, because the server is not the one that is waited for.
func (c *Conn) Hold() {
	c.holds.Add(1)
}

// Resume ends a Hold.
func (c *Conn) Resume() {
	c.wire.touch()
	c.holds.Add(-1)
}

// Silent reports whether the request was ended because the server was silent.
func (c *Conn) Silent() bool {
	return c.silent.Load()
}

// PeerFailed reports whether the connection ended or failed without having been closed here.
func (c *Conn) PeerFailed() bool {
	return c.wire.peerFailed.Load()
}

// Release returns the connection to the pool after an answer that arrived whole. The connection is closed when the
// server has sent more than that answer.
func (c *Conn) Release() {
	c.watch(0)
	if c.silent.Load() || !c.wire.rest() {
		c.Discard()
		return
	}
	c.pool.put(c)
}

// Interrupt ends the reading of an answer, so that the connection is discarded when it is released.
func (c *Conn) Interrupt() {
	c.close()
}

// Discard closes the connection, and reports whether a byte of the current request has left. When it reports
// false, no byte will leave later.
func (c *Conn) Discard() bool {
	c.watch(0)
	sent := c.wire.seal()
	if sent {
		c.wire.reset()
	}
	c.close()
	c.pool.metrics.discarded.Inc()
	c.pool.freed(c.address)
	return sent
}

func (c *Conn) close() {
	// The state of a connection that is given up does not matter.
	_ = c.wire.Close()
	_ = c.cc.Close()
}

// watch sets the longest permitted silence from now on; zero permits any.
func (c *Conn) watch(bound time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bound = bound
	switch {
	case bound <= 0:
		if c.timer != nil {
			c.timer.Stop()
		}
	case c.timer == nil:
		c.timer = time.AfterFunc(bound, c.check)
	default:
		c.timer.Reset(bound)
	}
}

// check ends the request when the server was silent for too long.
func (c *Conn) check() {
	c.mu.Lock()
	if c.bound <= 0 {
		c.mu.Unlock()
		return
	}
	left := c.bound
	if c.holds.Load() <= 0 {
		left = c.bound - (sinceStart() - time.Duration(c.wire.progress.Load()))
	}
	if left > 0 {
		c.timer.Reset(left)
		c.mu.Unlock()
		return
	}
	c.bound = 0
	c.silent.Store(true)
	c.mu.Unlock()
	c.pool.metrics.silent.Inc()
	c.pool.closeSiblings(c)
	c.close()
}
