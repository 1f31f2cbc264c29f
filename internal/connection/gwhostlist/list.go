// Package gwhostlist reads the platform's host list over HTTP with JSON.
package gwhostlist

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwadapter"
	"github.com/geraniumworks/geraniumworks/internal/process/gwtimer"
)

var (
	// ErrUnavailable reports that no endpoint answered.
	ErrUnavailable = errors.New("host list is unavailable")
	// ErrBadListing reports a listing that cannot be used.
	ErrBadListing = errors.New("bad listing of hosts")
	// ErrBadOptions reports options that New cannot use.
	ErrBadOptions = errors.New("bad options of the host list adapter")
)

const (
	dialTimeout = 500 * time.Millisecond
	idleTimeout = 30 * time.Second
	// listingBytes holds 1,500 hosts and as many servers of about 300 bytes each several times over.
	listingBytes = 8 << 20
	// headBytes bounds the head of an answer.
	headBytes = 64 << 10
)

// List is the adapter to the host list. It is safe for concurrent use.
type List struct {
	options   options
	transport *http.Transport
	calls     *prometheus.CounterVec
	// preferred is the index of the endpoint that answered last.
	preferred atomic.Int64
}

var _ gw.HostList = (*List)(nil)

// New returns a host list adapter. It makes no call. It returns ErrBadOptions when there is no endpoint or one
// is not an IP and port.
func New(opts ...Option) (*List, error) {
	o := defaultOptions()
	for _, opt := range opts {
		opt(&o)
	}
	if err := gwadapter.CheckEndpoints(o.endpoints, ErrBadOptions); err != nil {
		return nil, err
	}
	calls, err := newCounter(o.registerer)
	if err != nil {
		return nil, eris.Wrap(err, "register the counter of host list calls")
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: headBytes,
	}
	return &List{options: o, transport: transport, calls: calls}, nil
}

// Close closes idle connections. Calls may still be made afterwards.
func (l *List) Close() {
	l.transport.CloseIdleConnections()
}

// Hosts returns the listing. It fails with ErrUnavailable, ErrBadListing or the error of ctx; the caller then
// keeps the listing it has.
func (l *List) Hosts(ctx context.Context) (gw.Listing, error) {
	endpoints := len(l.options.endpoints)
	attempts := endpoints * max(l.options.rounds, 1)
	start := l.preferred.Load()
	var failed error
	for attempt := range attempts {
		if round := attempt / endpoints; round > 0 && attempt%endpoints == 0 {
			if err := l.pause(ctx, round); err != nil {
				return gw.Listing{}, err
			}
		}
		index := (start + int64(attempt)) % int64(endpoints)
		var listing gw.Listing
		listing, failed = l.read(ctx, l.options.endpoints[index])
		if failed == nil {
			l.preferred.Store(index)
			return listing, nil
		}
		if ctx.Err() != nil {
			return gw.Listing{}, eris.Wrap(ctx.Err(), "read the host list")
		}
	}
	return gw.Listing{}, failed
}

// pause waits for a random time below a bound that doubles with each round.
func (l *List) pause(ctx context.Context, round int) error {
	bound := l.options.backoffBase << min(round-1, 8)
	if !gwtimer.Sleep(ctx, rand.N(max(bound, 1))) {
		return eris.Wrap(ctx.Err(), "read the host list")
	}
	return nil
}

// read makes one call and counts it.
func (l *List) read(ctx context.Context, endpoint string) (gw.Listing, error) {
	status, body, err := l.exchange(ctx, endpoint)
	if err != nil {
		l.count(resultUnavailable)
		return gw.Listing{}, eris.Wrapf(ErrUnavailable, "%s: %v", endpoint, err)
	}
	if status != http.StatusOK {
		l.count(resultUnavailable)
		return gw.Listing{}, eris.Wrapf(ErrUnavailable, "%s: status %d", endpoint, status)
	}
	listing, err := decodeListing(body)
	if err != nil {
		l.count(resultBadListing)
		return gw.Listing{}, eris.Wrapf(err, "%s", endpoint)
	}
	l.count(resultOK)
	return listing, nil
}

func (l *List) exchange(ctx context.Context, endpoint string) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, l.options.callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+endpoint+"/v1/hosts", http.NoBody)
	if err != nil {
		return 0, nil, err
	}
	resp, err := gwadapter.RoundTrip(l.transport, req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(resp.Body, listingBytes+1))
	if err != nil {
		return 0, nil, err
	}
	if len(body) > listingBytes {
		return 0, nil, eris.Wrapf(ErrBadListing, "more than %d bytes", listingBytes)
	}
	return resp.StatusCode, body, nil
}

// Changed returns nil: the list is read at intervals.
func (l *List) Changed() <-chan struct{} {
	return nil
}

// CurrentAt returns zero: the list lags behind by an unknown time.
func (l *List) CurrentAt() time.Time {
	return time.Time{}
}
