// Package gwserver sends control messages to backend servers over HTTP with JSON.
package gwserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
)

var (
	// ErrUnreachable reports that the server gave no answer. The message may have been accepted.
	ErrUnreachable = errors.New("server did not answer")
	// ErrBadAnswer reports an answer that does not follow the protocol. The message may have been accepted.
	ErrBadAnswer = errors.New("bad answer of the server")
	// ErrOtherServer reports that another server answers at the address. The message was not accepted.
	ErrOtherServer = errors.New("another server answers at the address")
	// ErrNoControl reports that the server does not have the control path. The message was not accepted.
	ErrNoControl = errors.New("server has no such control path")
	// ErrUnhealthy reports that the server says it cannot work.
	ErrUnhealthy = errors.New("server is unhealthy")
)

const (
	dialTimeout = 300 * time.Millisecond
	idleTimeout = 30 * time.Second
	// headBytes bounds the head of an answer.
	headBytes = 64 << 10
)

// Client is the adapter to the control paths of backend servers. It is safe for concurrent use.
type Client struct {
	options   options
	transport *http.Transport
	calls     *prometheus.CounterVec
}

var _ gw.ServerControl = (*Client)(nil)

// New returns a client. It makes no call.
func New(opts ...Option) (*Client, error) {
	o := defaultOptions()
	for _, opt := range opts {
		opt(&o)
	}
	calls, err := newCounter(o.registerer)
	if err != nil {
		return nil, eris.Wrap(err, "register the counter of server calls")
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    o.idleConns,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		Protocols:              protocols,
		MaxResponseHeaderBytes: headBytes,
	}
	return &Client{options: o, transport: transport, calls: calls}, nil
}

// Close closes idle connections. Calls may still be made afterwards.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Describe returns the server's status. A server without control paths (404, 405 or 501) has a status with
// its name only, which says that it does not check fencing.
func (c *Client) Describe(ctx context.Context, server gw.ServerRef) (gw.ServerStatus, error) {
	status, err := c.control(ctx, server, "describe", addressed{server.Name}, c.options.callTimeout)
	if errors.Is(err, ErrNoControl) {
		return gw.ServerStatus{Server: server.Name}, nil
	}
	return status, err
}

// Grant extends the server's session.
func (c *Client) Grant(ctx context.Context, server gw.ServerRef, grant gw.Grant) (gw.ServerStatus, error) {
	status, err := c.control(ctx, server, "grant", grant, c.options.callTimeout)
	return c.expect(status, err, grant.Incarnation)
}

// Release asks the server to stop serving ranges and waits for the work in flight.
func (c *Client) Release(ctx context.Context, server gw.ServerRef, release gw.Release) (gw.ServerStatus, error) {
	status, err := c.control(ctx, server, "release", release, c.options.releaseTimeout)
	return c.expect(status, err, release.Incarnation)
}

// Drain tells the server that it will get no new work.
func (c *Client) Drain(ctx context.Context, server gw.ServerRef) (gw.ServerStatus, error) {
	return c.control(ctx, server, "drain", addressed{server.Name}, c.options.callTimeout)
}

// Load returns the server's report of its load.
func (c *Client) Load(ctx context.Context, server gw.ServerRef) (gw.LoadReport, error) {
	rep, err := c.exchange(ctx, server, call{method: http.MethodGet, name: "load", timeout: c.options.callTimeout})
	if err != nil {
		return gw.LoadReport{}, c.failed("load", err)
	}
	report, err := decodeLoad(rep, server.Name)
	if err != nil {
		return gw.LoadReport{}, c.failed("load", err)
	}
	c.count("load", resultOK)
	return report, nil
}

// Health returns nil when the server says that it can work, and ErrUnhealthy when it says that it cannot.
func (c *Client) Health(ctx context.Context, server gw.ServerRef) error {
	rep, err := c.exchange(ctx, server, call{method: http.MethodGet, name: "health", timeout: c.options.callTimeout})
	if err != nil {
		return c.failed("health", err)
	}
	switch rep.status {
	case http.StatusOK:
		c.count("health", resultOK)
		return nil
	case http.StatusServiceUnavailable:
		return c.failed("health", eris.Wrapf(ErrUnhealthy, "%s", server.Name))
	default:
		return c.failed("health", eris.Wrapf(ErrBadAnswer, "status %d", rep.status))
	}
}

// addressed is the body of control messages that contain nothing else.
type addressed struct {
	Server gw.ServerName `json:"server"`
}

// control sends a control message and returns the status that answers it.
func (c *Client) control(
	ctx context.Context, server gw.ServerRef, name string, message any, timeout time.Duration,
) (gw.ServerStatus, error) {
	rep, err := c.exchange(ctx, server, call{method: http.MethodPost, name: name, message: message, timeout: timeout})
	if err != nil {
		return gw.ServerStatus{}, c.failed(name, err)
	}
	status, err := decodeStatus(rep, server.Name)
	if err != nil {
		return status, c.failed(name, err)
	}
	c.count(name, resultOK)
	return status, nil
}

// expect checks that an acceptance came from the incarnation that the message was for.
func (c *Client) expect(
	status gw.ServerStatus, err error, incarnation gw.Incarnation,
) (gw.ServerStatus, error) {
	if err == nil && status.Incarnation != incarnation {
		return gw.ServerStatus{}, eris.Wrap(ErrBadAnswer, "accepted by another incarnation")
	}
	return status, err
}
