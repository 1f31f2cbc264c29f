package gwserver

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwadapter"
)

const (
	resultOK          = "ok"
	resultRefused     = "refused"
	resultUnreachable = "unreachable"
	resultBadAnswer   = "bad-answer"
	resultOtherServer = "other-server"
	resultUnhealthy   = "unhealthy"
	resultCancelled   = "cancelled"
	resultNoControl   = "no-control"
)

func newCounter(r prometheus.Registerer) (*prometheus.CounterVec, error) {
	counter := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "geraniumworks_server_control_calls_total",
		Help: "Control calls to backend servers by kind and result.",
	}, []string{"kind", "result"})
	return gwadapter.Counter(r, counter)
}

func (c *Client) count(kind, result string) {
	c.calls.WithLabelValues(kind, result).Inc()
}

// failed counts a call that failed and returns its error.
func (c *Client) failed(kind string, err error) error {
	result := resultRefused
	switch {
	case errors.Is(err, gw.ErrStaleEpoch), errors.Is(err, gw.ErrStaleRevision),
		errors.Is(err, gw.ErrOtherIncarnation), errors.Is(err, gw.ErrPastDeadline):
	case errors.Is(err, ErrUnreachable):
		result = resultUnreachable
	case errors.Is(err, ErrOtherServer):
		result = resultOtherServer
	case errors.Is(err, ErrUnhealthy):
		result = resultUnhealthy
	case errors.Is(err, ErrNoControl):
		result = resultNoControl
	case errors.Is(err, ErrBadAnswer):
		result = resultBadAnswer
	default:
		result = resultCancelled
	}
	c.count(kind, result)
	return err
}
