// Package gwfakes holds stand-ins of the store, the host list and backend servers for tests and demonstrations.
package gwfakes

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	readHeaderTimeout = 10 * time.Second
	// stopGrace bounds how long requests in progress may delay a stop.
	stopGrace = 5 * time.Second
)

// connContextFunc derives the context of a connection's requests. It may be nil.
type connContextFunc func(context.Context, net.Conn) context.Context

// serve answers on l until ctx ends, then lets requests in progress finish.
func serve(ctx context.Context, l net.Listener, h http.Handler, connContext connContextFunc) error {
	srv := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		ConnContext:       connContext,
		// The context of requests ends with ctx, so that waiting watches do not delay a stop.
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	unused := unusedConns{conns: map[net.Conn]bool{}}
	srv.ConnState = unused.track
	srv.RegisterOnShutdown(unused.close)
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(l) }()
	select {
	case err := <-ended:
		return eris.Wrap(err, "serve")
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopGrace)
	defer cancel()
	if err := srv.Shutdown(stop); err != nil {
		_ = srv.Close()
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "serve")
	}
	return nil
}

// unusedConns are the connections without any request so far. http.Server waits 5 s for them in a stop.
type unusedConns struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
}

func (u *unusedConns) track(conn net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state == http.StateNew {
		u.conns[conn] = true
		return
	}
	delete(u.conns, conn)
}

func (u *unusedConns) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for conn := range u.conns {
		_ = conn.Close()
	}
}

// milliseconds converts a length of time on the wire.
func milliseconds(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
