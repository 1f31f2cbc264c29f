// Package gwpeer carries messages between hosts as JSON-RPC over TCP.
package gwpeer

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwsocket"
)

// Client implements gw.Peer with up to three connections per address, opened at the first call: one for calls that are
// answered at once, one for calls that wait, one for quotas. A call that times out closes its connection, and neither a
// waiting call nor one about quotas, which has a short timeout, must take a renewal with it.
type Client struct {
	tls      *tls.Config
	counters counters

	mu    sync.Mutex
	conns map[connKey]*clientConn
}

// clientConn is a connection to a peer.
type clientConn struct {
	*jsonrpc2.Conn
	// heardAt is when bytes last arrived, or when it was opened.
	heardAt *atomic.Pointer[time.Time]
}

// heardConn notes when bytes arrive.
type heardConn struct {
	net.Conn
	at *atomic.Pointer[time.Time]
}

func (c heardConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		now := time.Now()
		c.at.Store(&now)
	}
	return n, err
}

// quotaSilence is how long nothing may arrive on a connection for quotas on which calls time out. Hosts that have just
// started together answer late, and connections that are closed for that and opened again take what processor time they
// have.
const quotaSilence = time.Second

type connKey struct {
	address string
	waiting bool
	quota   bool
}

// waits reports whether the receiver may take its time to answer a method.
func waits(method string) bool {
	return method == methodPull || method == methodReleaseDispatch || method == methodOffer
}

// NewClient returns a Client.
func NewClient(opts ...ClientOption) *Client {
	c := &Client{conns: map[connKey]*clientConn{}, counters: newCounters("client")}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Probe implements gw.Peer.
func (c *Client) Probe(ctx context.Context, address string, req gw.ProbeRequest) (gw.ProbeReply, error) {
	return call[gw.ProbeReply](ctx, c, address, methodProbe, req)
}

// Handover implements gw.Peer.
func (c *Client) Handover(ctx context.Context, address string, req gw.HandoverRequest) (gw.HandoverReply, error) {
	return call[gw.HandoverReply](ctx, c, address, methodHandover, req)
}

// RenewDispatch implements gw.Peer.
func (c *Client) RenewDispatch(ctx context.Context, address string, l gw.DispatchLease) (gw.DispatchStatus, error) {
	return call[gw.DispatchStatus](ctx, c, address, methodRenewDispatch, l)
}

// ReleaseDispatch implements gw.Peer.
func (c *Client) ReleaseDispatch(
	ctx context.Context, address string, r gw.DispatchRelease,
) (gw.DispatchStatus, error) {
	return call[gw.DispatchStatus](ctx, c, address, methodReleaseDispatch, r)
}

// Pull implements gw.Peer.
func (c *Client) Pull(ctx context.Context, address string, req gw.PullRequest) (gw.PullReply, error) {
	return call[gw.PullReply](ctx, c, address, methodPull, req)
}

// Offer implements gw.Peer.
func (c *Client) Offer(ctx context.Context, address string, req gw.OfferRequest) (gw.OfferReply, error) {
	return call[gw.OfferReply](ctx, c, address, methodOffer, req)
}

// ShareQuota implements gw.Peer.
func (c *Client) ShareQuota(ctx context.Context, address string, req gw.QuotaRequest) (gw.QuotaReply, error) {
	return call[gw.QuotaReply](ctx, c, address, methodShareQuota, req)
}

// Close closes all connections.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var first error
	for key, conn := range c.conns {
		if err := conn.Close(); err != nil && !errors.Is(err, jsonrpc2.ErrClosed) && first == nil {
			first = err
		}
		delete(c.conns, key)
	}
	return first
}

func call[R any](ctx context.Context, c *Client, address, method string, params any) (R, error) {
	var reply R
	key := connKey{address: address, waiting: waits(method), quota: method == methodShareQuota}
	conn, err := c.conn(ctx, key)
	if err != nil {
		c.counters.called(method, err)
		return reply, eris.Wrapf(err, "connect to peer %s", address)
	}
	err = conn.Call(ctx, method, params, &reply)
	c.counters.called(method, err)
	if err == nil {
		return reply, nil
	}
	if !isRefusal(err) && (!key.quota || !errors.Is(err, context.DeadlineExceeded) || !conn.heardLately()) {
		// A call that got no answer puts the connection in doubt: it may have gone silent for good, while a new
		// one works.
		c.drop(key, conn)
	}
	return reply, fromWire(err, &reply)
}

func (c *clientConn) heardLately() bool {
	return time.Since(*c.heardAt.Load()) < quotaSilence
}

func (c *Client) conn(ctx context.Context, key connKey) (*clientConn, error) {
	c.mu.Lock()
	conn, ok := c.conns[key]
	c.mu.Unlock()
	if ok {
		return conn, nil
	}
	opened, err := c.dial(ctx, key)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[key]; ok {
		_ = opened.Close()
		return conn, nil
	}
	c.conns[key] = opened
	return opened, nil
}

func (c *Client) dial(ctx context.Context, key connKey) (*clientConn, error) {
	conn, err := gwsocket.Dialer(0).DialContext(ctx, "tcp", key.address)
	if err != nil {
		return nil, err
	}
	conn = c.counters.wrap(conn)
	if c.tls != nil {
		secure := tls.Client(conn, c.configFor(key.address))
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, err
		}
		conn = secure
	}
	heardAt, now := &atomic.Pointer[time.Time]{}, time.Now()
	heardAt.Store(&now)
	stream := jsonrpc2.NewBufferedStream(heardConn{Conn: conn, at: heardAt}, boundedCodec{})
	// The connection outlives the call that opened it.
	rpc := &clientConn{heardAt: heardAt, Conn: jsonrpc2.NewConn(
		context.WithoutCancel(ctx), stream, refuseCalls{}, jsonrpc2.SetLogger(quiet))}
	go c.dropWhenClosed(key, rpc)
	return rpc, nil
}

// configFor returns the TLS configuration that expects the certificate of the address.
func (c *Client) configFor(address string) *tls.Config {
	cfg := c.tls.Clone()
	if host, _, err := net.SplitHostPort(address); err == nil {
		cfg.ServerName = host
	}
	return cfg
}

// dropWhenClosed ends with the connection; Close and drop close it.
func (c *Client) dropWhenClosed(key connKey, conn *clientConn) {
	<-conn.DisconnectNotify()
	c.drop(key, conn)
}

func (c *Client) drop(key connKey, conn *clientConn) {
	c.mu.Lock()
	if c.conns[key] == conn {
		delete(c.conns, key)
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// quiet drops the library's log lines; calls that fail are counted and returned.
var quiet = log.New(io.Discard, "", 0)

// refuseCalls is the handler of client connections, on which the other side makes no calls.
type refuseCalls struct{}

func (refuseCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
