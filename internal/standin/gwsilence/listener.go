// Package gwsilence makes established TCP connections go silent, as when something between the two ends has lost track
// of them: nothing arrives any more, not even acknowledgements, and neither end is told.
package gwsilence

import (
	"net"
	"sync"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// Listener is a TCP listener whose accepted connections can be silenced.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns []*conn
}

// Wrap returns a Listener that accepts the connections of another one.
func Wrap(l net.Listener) *Listener {
	return &Listener{Listener: l}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

// Accepted returns how many connections have been accepted and not silenced.
func (l *Listener) Accepted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Silence silences the connections that have been accepted so far. Later ones work.
func (l *Listener) Silence() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if err := c.silence(); err != nil {
			return err
		}
	}
	l.conns = nil
	return nil
}

type conn struct {
	net.Conn
	silent atomic.Bool
}

// Write discards what is written to a silent connection.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// silence attaches a packet filter that drops all that arrives before TCP sees it.
func (c *conn) silence() error {
	c.silent.Store(true)
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	program := unix.SockFprog{Len: uint16(len(dropAll)), Filter: &dropAll[0]}
	var attachErr error
	if err := raw.Control(func(fd uintptr) {
		attachErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	}); err != nil {
		return err
	}
	return attachErr
}
