package gwforward

import (
	"net/http"
	"time"
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
)

// NewServer returns an HTTP server with the settings that the handlers of entry point and relay need. It sets no
// timeout for bodies, because the handlers limit them by the deadline of the request.
func NewServer(h http.Handler, headerBytes int) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
		// Otherwise net/http would answer OPTIONS * itself, without an outcome.
		DisableGeneralOptionsHandler: true,
	}
}
