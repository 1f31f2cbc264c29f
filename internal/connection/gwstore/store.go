// Package gwstore reads and writes the platform's key-value store over HTTP with JSON.
package gwstore

import (
	"errors"
	"net/http"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwadapter"
)

var (
	// ErrBadOptions reports options that New cannot use.
	ErrBadOptions = errors.New("bad options of the store adapter")
	// ErrRefused reports a call that the store does not accept, such as one with an empty key. It had no
	// effect, and repeating it is useless.
	ErrRefused = errors.New("store does not accept the call")
)

// Store is the adapter to the platform's store. It is safe for concurrent use.
type Store struct {
	options   options
	transport *http.Transport
	budgets   budgets
	gate      gate
	calls     *prometheus.CounterVec
	// preferred is the index of the endpoint that answered last.
	preferred atomic.Int64
}

var _ gw.Store = (*Store)(nil)

// New returns a store adapter. It makes no call. It returns ErrBadOptions when there is no endpoint or one is
// not an IP and port.
func New(opts ...Option) (*Store, error) {
	o := defaultOptions()
	for _, opt := range opts {
		opt(&o)
	}
	if err := gwadapter.CheckEndpoints(o.endpoints, ErrBadOptions); err != nil {
		return nil, err
	}
	calls, err := newCounter(o.registerer)
	if err != nil {
		return nil, eris.Wrap(err, "register the counter of store calls")
	}
	return &Store{
		options:   o,
		transport: newTransport(),
		budgets:   newBudgets(o),
		gate:      gate{backoff: o.backoff},
		calls:     calls,
	}, nil
}

// Close closes idle connections. Calls may still be made afterwards.
func (s *Store) Close() {
	s.transport.CloseIdleConnections()
}

// endpoint returns the address to use for an attempt, counted from zero: the preferred one, then the others.
func (s *Store) endpoint(start int64, attempt int) (address string, index int64) {
	index = (start + int64(attempt)) % int64(len(s.options.endpoints))
	return s.options.endpoints[index], index
}
