// Package gwpipeline reads ahead on connections of callers that send further requests before the first one has been
// answered, so that a caller that leaves is noticed although its requests are still unread.
package gwpipeline

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"

	"github.com/geraniumworks/geraniumworks/internal/connection/gwbudget"
)

// maxAheadBytes bounds what is read ahead on one connection. Beyond it the caller has to wait, and its leaving is
// noticed only when its requests have been answered.
const maxAheadBytes = 16 << 10

// readBytes is the size of one read ahead. Heads of requests have a few hundred bytes.
const readBytes = 2 << 10

// maxPending bounds the requests of one connection that are worked on before their turn.
const maxPending = 8

// Starter begins to work on a request before its turn. ctx ends when the caller has left. It returns nil when the
// request has to wait for its turn.
type Starter func(ctx context.Context, r *http.Request) Pending

// Pending is a request that is worked on before its turn.
type Pending interface {
	// Abandon ends it when its turn will not come.
	Abandon()
}

// Listener wraps the connections of a listener in Conn.
type Listener struct {
	net.Listener
	// Start begins to work on requests before their turn. Nil leaves them waiting.
	Start Starter
	// Budget bounds what the connections hold. It may be nil.
	Budget *Budget
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := NewConn(conn, l.Start)
		if l.Budget == nil || !l.Budget.limited() {
			return c, nil
		}
		c.budget = l.Budget
		c.finder.maxLines, c.finder.maxEmpty = l.Budget.limits.HeaderLines, l.Budget.limits.EmptyLines
		if l.Budget.open(c) {
			return c, nil
		}
	}
}

// Conn is a connection of a caller.
//
// While a handler runs, net/http reads one byte to notice that the caller closes the connection. When the caller has
// sent a further request, that byte arrives, and net/http looks no more. Conn then goes on reading into a buffer. It
// also finds the requests in what is read, so that those that have to wait for their turn are worked on meanwhile.
type Conn struct {
	net.Conn
	start Starter
	// budget bounds what is held, nil when nothing does. account is that of the connection.
	budget  *Budget
	account *gwbudget.Account
	// left ends when the caller has closed the connection, or it has failed or was closed here.
	left  context.Context
	leave context.CancelFunc

	mu sync.Mutex
	// ahead holds what was read ahead, err what ended the reading.
	ahead []byte
	err   error
	// reading is closed when the read ahead that is under way has ended. It is nil when there is none.
	reading chan struct{}
	// more is closed when ahead grows or the reading ends. It is nil when nobody waits.
	more chan struct{}

	finder finder
	// unchecked is the head of a request that net/http has not begun to work on, nil when it was checked.
	unchecked head
	// begun counts the requests whose turn has come, and handling is set during the turn of the last one.
	begun    int
	handling bool
	// pending holds the requests that are worked on before their turn, by their number on the connection.
	pending map[int]Pending
	// held is what the budget counts.
	held holding
}

// NewConn returns a Conn on a connection. start may be nil.
func NewConn(conn net.Conn, start Starter) *Conn {
	c := &Conn{Conn: conn, start: start, pending: map[int]Pending{}}
	c.left, c.leave = context.WithCancel(context.Background())
	return c
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		c.mu.Lock()
		switch {
		case len(c.ahead) > 0:
			n := copy(p, c.ahead)
			if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
				c.ahead = nil
			}
			c.countHead(p[:n])
			c.mu.Unlock()
			return n, nil
		case c.err != nil:
			defer c.mu.Unlock()
			return 0, c.err
		case c.reading == nil:
			c.mu.Unlock()
			return c.readDirectly(p)
		}
		if c.more == nil {
			c.more = make(chan struct{})
		}
		more := c.more
		c.mu.Unlock()
		<-more
	}
}

// readDirectly reads from the connection, and begins to read ahead when the read was that of net/http during a handler.
func (c *Conn) readDirectly(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.leave()
	}
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	c.find(p[:n])
	c.countHead(p[:n])
	if n == 1 && len(p) == 1 && err == nil {
		c.reading = make(chan struct{})
		go c.readAhead(c.reading)
	}
	c.mu.Unlock()
	return n, err
}

// countHead counts what net/http reads while no request is worked on, which is the next head and what is left of a
// body. The caller holds mu.
func (c *Conn) countHead(data []byte) {
	if c.budget == nil {
		return
	}
	if !c.handling {
		c.held.headBytes += len(data)
		c.held.headLines += bytes.Count(data, lineEnd)
	}
	c.report()
}

// readAhead reads until the connection ends, a read deadline passes or the buffer is full, and then closes done.
func (c *Conn) readAhead(done chan<- struct{}) {
	defer close(done)
	for {
		buf := make([]byte, readBytes)
		n, err := c.Conn.Read(buf)
		c.mu.Lock()
		c.find(buf[:n])
		if c.budget != nil && c.finder.tooManyEmpty() {
			// net/http refuses the empty lines that are in the buffer when their turn comes.
			c.budget.note(c.Conn, reasonEmptyLines)
			n, err = 0, errEmptyLines
		}
		c.ahead = append(c.ahead, buf[:n]...)
		c.report()
		// A deadline that passes ends a read of net/http, not the connection.
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.err = err
		}
		if c.err != nil && !errors.Is(c.err, errEmptyLines) {
			c.leave()
		}
		stop := err != nil || len(c.ahead) >= maxAheadBytes
		if stop {
			c.reading = nil
		}
		if c.more != nil {
			close(c.more)
			c.more = nil
		}
		c.mu.Unlock()
		if stop {
			return
		}
	}
}

// find looks for requests in what was read, and starts those that have to wait for their turn. The caller holds mu.
func (c *Conn) find(data []byte) {
	if c.start == nil && c.budget == nil {
		return
	}
	c.finder.add(data)
	for {
		number, h, ok := c.finder.next()
		if !ok {
			return
		}
		if c.start == nil {
			continue
		}
		if number == c.begun+1 && !c.handling {
			// The turn of the request comes at once, and net/http checks it.
			c.unchecked = h
			continue
		}
		if !c.holdPending(number, h) {
			// The requests on this connection wait for their turn from now on.
			c.finder.lose()
			return
		}
		r, ended := h.request(), c.unchecked.endsConnection()
		c.unchecked = nil
		if r == nil || r.Close || ended {
			// net/http reads nothing behind a request that it refuses, or that is the last one.
			c.finder.lose()
		}
		if r != nil && !ended && len(c.pending) < maxPending {
			if p := c.start(c.left, r); p != nil {
				c.pending[number] = p
				continue
			}
		}
		delete(c.held.pending, number)
		c.report()
	}
}

// holdPending counts a request that is about to be begun before its turn. It reports false when there is no room for
// it: to decode a head costs as much as to hold it, also for a connection that is turned away for it. The caller holds
// mu.
func (c *Conn) holdPending(number int, h head) bool {
	if c.budget == nil {
		return true
	}
	cost := gwbudget.HeadBytes(len(h), bytes.Count(h, lineEnd)) + requestBytes + answerBytes
	if !c.budget.fits(cost) {
		return false
	}
	if c.held.pending == nil {
		c.held.pending = map[int]int64{}
	}
	c.held.pending[number] = cost
	c.report()
	return true
}

// Close implements net.Conn. It returns when nothing is read ahead any more.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.leave()
	if c.budget != nil {
		c.budget.close(c.account)
	}
	c.mu.Lock()
	reading, pending := c.reading, c.pending
	c.pending = map[int]Pending{}
	c.mu.Unlock()
	if reading != nil {
		<-reading
	}
	for _, p := range pending {
		p.Abandon()
	}
	return err
}

type contextKey struct{}

// WithConn is the ConnContext of an http.Server whose listener is a Listener.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*Conn); ok {
		return context.WithValue(ctx, contextKey{}, c)
	}
	return ctx
}

// Turn is the turn of a request on its connection.
type Turn struct {
	// Pending is what was begun before the turn, nil when nothing was.
	Pending Pending

	conn    *Conn
	release func()
}

// Begin begins the turn of the request whose context is given. It returns a copy of the context that also ends when the
// caller has left behind further requests. Turn.End must be called.
func Begin(ctx context.Context) (context.Context, Turn) {
	c, ok := ctx.Value(contextKey{}).(*Conn)
	if !ok {
		return ctx, Turn{release: func() {}}
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(c.left, cancel)
	turn := Turn{conn: c, release: func() {
		stop()
		cancel()
	}}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun++
	c.handling = true
	c.unchecked = nil
	turn.Pending = c.pending[c.begun]
	delete(c.pending, c.begun)
	if c.budget != nil {
		c.held.current = c.held.pending[c.begun]
		delete(c.held.pending, c.begun)
		c.budget.setBusy(c.account, true)
		c.report()
	}
	return ctx, turn
}

// HasFollowers reports whether requests behind this one are worked on already.
func (t Turn) HasFollowers() bool {
	if t.conn == nil {
		return false
	}
	t.conn.mu.Lock()
	defer t.conn.mu.Unlock()
	return len(t.conn.pending) > 0
}

// End ends the turn.
func (t Turn) End() {
	t.release()
	if t.conn == nil {
		return
	}
	t.conn.mu.Lock()
	defer t.conn.mu.Unlock()
	t.conn.handling = false
	if t.conn.budget != nil {
		pending := t.conn.held.pending
		t.conn.held = holding{pending: pending, reported: t.conn.held.reported, writing: t.conn.held.writing}
		t.conn.budget.setBusy(t.conn.account, false)
		t.conn.report()
	}
}
