package gwfakes

import (
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// ServerOption configures a Server.
type ServerOption func(*serverOptions)

type serverOptions struct {
	incarnation   gw.Incarnation
	fencing       bool
	undivided     bool
	slots         int
	connections   int
	service       time.Duration
	coldPercent   int
	cold          time.Duration
	clock         gw.Clock
	clockRate     float64
	clockOffset   time.Duration
	loadAge       time.Duration
	loadFactor    float64
	leavingPeriod time.Duration
}

// The defaults of slots and connections are those of the co-operative's servers.
func defaultServerOptions() serverOptions {
	return serverOptions{
		fencing: true, slots: 4, connections: 130, coldPercent: 100,
		clock: gw.SystemClock{}, clockRate: 1, loadFactor: 1,
	}
}

// WithIncarnation sets the incarnation. The default is random.
func WithIncarnation(i gw.Incarnation) ServerOption {
	return func(o *serverOptions) { o.incarnation = i }
}

// WithoutFencing makes a server that does not check fencing and says so.
func WithoutFencing() ServerOption {
	return func(o *serverOptions) { o.fencing = false }
}

// WithoutKeys makes a server of a service that is not divided by key: work needs no position.
func WithoutKeys() ServerOption {
	return func(o *serverOptions) { o.undivided = true }
}

// WithSlots sets how many requests run at once. The default is 4.
func WithSlots(n int) ServerOption {
	return func(o *serverOptions) { o.slots = n }
}

// WithConnections sets how many connections may be open. Others are closed when they are accepted. The default
// is 130.
func WithConnections(n int) ServerOption {
	return func(o *serverOptions) { o.connections = n }
}

// WithServiceTime sets how long a request runs. The default is zero.
func WithServiceTime(d time.Duration) ServerOption {
	return func(o *serverOptions) { o.service = d }
}

// WithColdStart limits the server to a share of its slots for d after its start.
func WithColdStart(percent int, d time.Duration) ServerOption {
	return func(o *serverOptions) { o.coldPercent, o.cold = percent, d }
}

// WithServerClock sets the true clock.
func WithServerClock(c gw.Clock) ServerOption {
	return func(o *serverOptions) { o.clock = c }
}

// WithClockError makes the server's own clock advance by rate seconds a second, starting at offset.
func WithClockError(rate float64, offset time.Duration) ServerOption {
	return func(o *serverOptions) { o.clockRate, o.clockOffset = rate, offset }
}

// WithLoadError makes load reports up to age old and multiplies their utilisation by factor.
func WithLoadError(age time.Duration, factor float64) ServerOption {
	return func(o *serverOptions) { o.loadAge, o.loadFactor = age, factor }
}

// WithLeavingPeriod lets Serve announce for at most d, after ctx has ended, that the server is leaving, and
// accept work until its ranges are released. The default is zero.
func WithLeavingPeriod(d time.Duration) ServerOption {
	return func(o *serverOptions) { o.leavingPeriod = d }
}
