package gwpeer

import (
	"crypto/tls"

	"github.com/prometheus/client_golang/prometheus"
)

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithClientTLS makes the client use TLS. The default is plain TCP.
func WithClientTLS(cfg *tls.Config) ClientOption {
	return func(c *Client) { c.tls = cfg }
}

// WithClientRegisterer registers the client's counters.
func WithClientRegisterer(r prometheus.Registerer) ClientOption {
	return func(c *Client) { c.counters.register(r) }
}

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithServerTLS makes the server use TLS. The default is plain TCP.
func WithServerTLS(cfg *tls.Config) ServerOption {
	return func(s *Server) { s.tls = cfg }
}

// WithServerRegisterer registers the server's counters.
func WithServerRegisterer(r prometheus.Registerer) ServerOption {
	return func(s *Server) { s.counters.register(r) }
}
