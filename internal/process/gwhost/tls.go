package gwhost

import (
	"crypto/tls"
	"net"

	"github.com/geraniumworks/geraniumworks/internal/connection/gwpool"
)

// relayPoolOptions returns the options of the pool of connections to the relays of other hosts.
func (h *Host) relayPoolOptions() []gwpool.Option {
	if h.tls == nil {
		return nil
	}
	dialer := tls.Dialer{NetDialer: &net.Dialer{}, Config: h.tls}
	return []gwpool.Option{gwpool.WithDial(dialer.DialContext)}
}

// requireTLS returns a listener that accepts only hosts with a valid certificate, or the listener itself when no
// certificates are configured.
func (h *Host) requireTLS(listener net.Listener) net.Listener {
	if h.tls == nil {
		return listener
	}
	return tls.NewListener(listener, h.tls)
}
