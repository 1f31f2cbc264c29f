package gwhost

import (
	"errors"
	"log/slog"
	"net"
	"time"
)

// acceptRetryDelay is the pause after a connection could not be accepted, for example because no descriptor was free.
const acceptRetryDelay = 50 * time.Millisecond

// lastingListener is a listener whose Accept fails only when it is closed.
type lastingListener struct {
	net.Listener
	log *slog.Logger
}

// Accept implements net.Listener.
func (l lastingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.log.Warn("connection was not accepted", "address", l.Addr().String(), "error", err)
		<-time.After(acceptRetryDelay)
	}
}
