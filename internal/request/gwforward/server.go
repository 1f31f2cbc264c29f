package gwforward

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/geraniumworks/geraniumworks/internal/connection/gwpipeline"
	"github.com/geraniumworks/geraniumworks/internal/process/gwtimer"
)

const (
	// readHeaderTimeout is the longest time for which a caller may send the head of a request.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is well above the idle timeout of connection pools, so that the pools close idle connections first. A
	// request on a connection that the server closes at the same time has an unknown outcome.
	idleTimeout = 75 * time.Second
	// WriteTimeout is the longest time for writing a refusal or a complete answer, which usually fit into the buffers of
	// the connection.
	WriteTimeout = 5 * time.Second
	// arrivedTimeout is how long a stopping host goes on reading requests that have arrived on its connections.
	arrivedTimeout = 300 * time.Millisecond
)

// NewServer returns an HTTP server with the settings that the handlers of entry point and relay need. It sets no
// timeout for bodies, because the handlers limit them by the deadline of the request.
func NewServer(h http.Handler, headerBytes int) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
		ConnContext:       gwpipeline.WithConn,
		// Otherwise net/http would answer OPTIONS * itself, without an outcome.
		DisableGeneralOptionsHandler: true,
	}
}

// LimitHeaderLines sets the largest number of header lines of a request. Zero leaves the limit of net/http.
func LimitHeaderLines(server *http.Server, lines int) {
	if lines > 0 {
		setMaxHeaderValues(server, lines)
	}
}

// StopAccepting closes listeners and then lets their servers refuse the requests that have arrived on open connections.
// It is called before http.Server.Shutdown, after which net/http closes a connection without an answer when it reads
// a request. The handlers must already refuse new requests.
func StopAccepting(ctx context.Context, listeners ...net.Listener) {
	for _, l := range listeners {
		// An error means that the listener is closed already.
		_ = l.Close()
	}
	gwtimer.Sleep(ctx, arrivedTimeout)
}
