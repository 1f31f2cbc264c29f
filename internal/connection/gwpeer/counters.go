package gwpeer

import (
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

// counters count calls and bytes of one side of the protocol.
type counters struct {
	calls *prometheus.CounterVec
	bytes *prometheus.CounterVec
}

func newCounters(side string) counters {
	labels := prometheus.Labels{"side": side}
	return counters{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name:        "geraniumworks_peer_calls_total",
			Help:        "Calls between hosts by method and result.",
			ConstLabels: labels,
		}, []string{"method", "result"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name:        "geraniumworks_peer_bytes_total",
			Help:        "Bytes of control messages between hosts by direction.",
			ConstLabels: labels,
		}, []string{"direction"}),
	}
}

func (c counters) register(r prometheus.Registerer) {
	r.MustRegister(c.calls, c.bytes)
}

func (c counters) called(method string, err error) {
	result := "ok"
	switch {
	case err == nil:
	case isRefusal(err):
		result = "refused"
	default:
		result = "failed"
	}
	c.calls.WithLabelValues(method, result).Inc()
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	sent     prometheus.Counter
	received prometheus.Counter
}

func (c counters) wrap(conn net.Conn) net.Conn {
	return countedConn{
		Conn:     conn,
		sent:     c.bytes.WithLabelValues("sent"),
		received: c.bytes.WithLabelValues("received"),
	}
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(float64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(float64(n))
	return n, err
}
