package gwstore

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

const (
	dialTimeout         = time.Second
	idleTimeout         = 30 * time.Second
	idleConnsPerAddress = 16
	// headBytes bounds the head of an answer.
	headBytes = 64 << 10
)

var errSealed = errors.New("write is given up")

// newTransport returns a transport that speaks HTTP/1.1 only, since sentTracker relies on one exchange at a
// time per connection.
func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost:    idleConnsPerAddress,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		Protocols:              protocols,
		MaxResponseHeaderBytes: headBytes,
	}
}

// trackedConn records whether a write was begun since the last mark.
type trackedConn struct {
	net.Conn

	mu     sync.Mutex
	begun  bool
	sealed bool
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.begun = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *trackedConn) mark() {
	c.mu.Lock()
	c.begun = false
	c.mu.Unlock()
}

// seal refuses all later writes and reports whether one was begun since the last mark. Without it, the
// transport's write loop could still send the request after the call was reported as not sent.
func (c *trackedConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.begun
}

// sentTracker tells for one exchange whether any byte of its request may have left.
type sentTracker struct {
	mu    sync.Mutex
	conns []net.Conn
}

func (t *sentTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*trackedConn); ok {
			c.mark()
		}
		t.mu.Lock()
		t.conns = append(t.conns, info.Conn)
		t.mu.Unlock()
	}})
}

// maySent ends the exchange after a failure and reports whether bytes may have left.
func (t *sentTracker) maySent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent := false
	for _, conn := range t.conns {
		c, ok := conn.(*trackedConn)
		if !ok || c.seal() {
			sent = true
		}
	}
	return sent
}
