// Package gwahead reads ahead on connections of callers that send further requests before the first one has been answered,
// so that a caller that leaves is noticed although its requests are still unread.
package gwahead

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
)

// maxAheadBytes bounds what is read ahead on one connection. Beyond it the caller has to wait, and its leaving is noticed
// only when its requests have been answered.
const maxAheadBytes = 16 << 10

// readBytes is the size of one read ahead. Heads of requests have a few hundred bytes.
const readBytes = 2 << 10

// Listener wraps the connections of a listener in Conn.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return NewConn(conn), nil
}

// Conn is a connection of a caller.
//
// While a handler runs, net/http reads one byte to notice that the caller closes the connection. When the caller has sent
// a further request, that byte arrives, and net/http looks no more. Conn then goes on reading into a buffer.
type Conn struct {
	net.Conn
	// left ends when the caller has closed the connection, or it has failed, while data was read ahead.
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
}

// NewConn returns a Conn on a connection.
func NewConn(conn net.Conn) *Conn {
	c := &Conn{Conn: conn}
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
			c.ahead = c.ahead[n:]
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
	if n == 1 && len(p) == 1 && err == nil {
		c.mu.Lock()
		c.reading = make(chan struct{})
		go c.readAhead(c.reading)
		c.mu.Unlock()
	}
	return n, err
}

// readAhead reads until the connection ends, a read deadline passes or the buffer is full, and then closes done.
func (c *Conn) readAhead(done chan<- struct{}) {
	defer close(done)
	for {
		buf := make([]byte, readBytes)
		n, err := c.Conn.Read(buf)
		c.mu.Lock()
		c.ahead = append(c.ahead, buf[:n]...)
		// A deadline that passes ends a read of net/http, not the connection.
		ended := err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
		if ended {
			c.err = err
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

// Close implements net.Conn. It returns when nothing is read ahead any more.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	reading := c.reading
	c.mu.Unlock()
	if reading != nil {
		<-reading
	}
	c.leave()
	return err
}

// Ahead reports whether the caller has sent more than the requests that were taken so far.
func (c *Conn) Ahead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ahead) > 0
}

type contextKey struct{}

// WithConn is the ConnContext of an http.Server whose listener is a Listener.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*Conn); ok {
		return context.WithValue(ctx, contextKey{}, c)
	}
	return ctx
}

// WhenLeft returns a copy of the context of a request that also ends when its caller has left behind further requests. The
// returned function releases its resources.
func WhenLeft(ctx context.Context) (context.Context, context.CancelFunc) {
	c, ok := ctx.Value(contextKey{}).(*Conn)
	if !ok {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(c.left, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
