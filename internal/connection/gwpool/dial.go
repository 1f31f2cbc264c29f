package gwpool

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// wireKey is the context key under which dial receives the connection that dialWire established.
type wireKey struct{}

// dial establishes a connection, which is already counted in a.open.
func (p *Pool) dial(ctx context.Context, a *address) (*Conn, error) {
	p.metrics.dials.Inc()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.opts.DialMilliseconds)*time.Millisecond)
	defer cancel()
	var w *wire
	cc, err := p.transport.NewClientConn(context.WithValue(ctx, wireKey{}, &w), "http", a.name)
	if err != nil {
		p.metrics.dialErrors.Inc()
		p.freed(a)
		return nil, eris.Wrapf(ErrDial, "%v", err)
	}
	now := time.Now()
	c := &Conn{pool: p, address: a, cc: cc, wire: w, created: now, used: now}
	cc.SetStateHook(c.stateChanged)
	return c, nil
}

// dialWire is the dial function of the transport.
func (p *Pool) dialWire(ctx context.Context, network, to string) (net.Conn, error) {
	conn, err := p.opts.Dial(ctx, network, to)
	if err != nil {
		return nil, err
	}
	w := &wire{Conn: conn}
	if out, ok := ctx.Value(wireKey{}).(**wire); ok {
		*out = w
	}
	return w, nil
}

// stateChanged closes an idle connection when the server has closed it.
func (c *Conn) stateChanged(cc *http.ClientConn) {
	if cc.Err() != nil && c.pool.removeIdle(c) {
		c.pool.metrics.peerClosed.Inc()
		c.close()
	}
}
