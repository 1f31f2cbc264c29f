package gwfakes

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
)

// connTable numbers the connections of a server and limits how many are open.
type connTable struct {
	limit   int
	last    atomic.Int64
	refused atomic.Int64

	mu   sync.Mutex
	open map[*numberedConn]bool
}

// add numbers a connection, or returns nil when there are too many.
func (t *connTable) add(conn net.Conn) *numberedConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.open) >= t.limit {
		return nil
	}
	c := &numberedConn{Conn: conn, table: t, number: t.last.Add(1)}
	t.open[c] = true
	return c
}

// count returns the number of open connections.
func (t *connTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// closeExcept closes all connections except the one with the number.
func (t *connTable) closeExcept(number int64) {
	t.mu.Lock()
	conns := slices.Collect(maps.Keys(t.open))
	t.mu.Unlock()
	for _, c := range conns {
		if c.number != number {
			_ = c.Close()
		}
	}
}

// listener returns l with numbered connections. A connection above the limit is closed at once.
func (t *connTable) listener(l net.Listener) net.Listener {
	return limitedListener{Listener: l, table: t}
}

type limitedListener struct {
	net.Listener
	table *connTable
}

// Accept implements net.Listener.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.table.add(conn); c != nil {
			return c, nil
		}
		l.table.refused.Add(1)
		_ = conn.Close()
	}
}

type numberedConn struct {
	net.Conn
	table  *connTable
	number int64
}

// Close implements net.Conn.
func (c *numberedConn) Close() error {
	c.table.mu.Lock()
	delete(c.table.open, c)
	c.table.mu.Unlock()
	return c.Conn.Close()
}

type connNumberKey struct{}

// context stores the number of a connection in the context of its requests.
func (t *connTable) context(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*numberedConn); ok {
		return context.WithValue(ctx, connNumberKey{}, c.number)
	}
	return ctx
}

// connNumber returns the number of the request's connection, or zero when it is not known.
func connNumber(ctx context.Context) int64 {
	n, _ := ctx.Value(connNumberKey{}).(int64)
	return n
}
