package gwpipeline

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/geraniumworks/geraniumworks/internal/connection/gwbudget"
)

// errEmptyLines ends the reading of a connection on which more empty lines than permitted come before a request.
var errEmptyLines = errors.New("too many empty lines before a request")

// Reasons for which connections are turned away.
const (
	reasonMemory      = "memory"
	reasonConnections = "connections"
	reasonEmptyLines  = "empty-lines"
)

const (
	// requestBytes is the cost of a request that is worked on, besides its head and body: its goroutines and the buffer
	// of its response.
	requestBytes = 8 << 10
	// answerBytes is the cost of an answer that is being written: the buffer of gwforward and that of net/http.
	answerBytes = 36 << 10
	// reportBytes is the change of what a connection holds that is reported to the budget. Heads of ordinary requests are
	// smaller, so that most of them cost the budget nothing.
	reportBytes = 4 << 10
	// headSlack is what net/http reads of a head beyond its limit.
	headSlack = 4 << 10
)

// Limits are the limits of a Budget. Zero means that there is none.
type Limits struct {
	// Bytes bounds the memory of everything that callers have sent and that has not been answered.
	Bytes int64
	// Connections bounds the open connections.
	Connections int
	// HeaderBytes is the limit of net/http for a head, by which the cost of one is bounded. It is required.
	HeaderBytes int
	// HeaderLines bounds the header lines of a request that is worked on before its turn.
	HeaderLines int
	// EmptyLines bounds the empty lines before a request that are read while another one is worked on.
	EmptyLines int
}

// Budget bounds what the connections of a host's callers hold together. A nil Budget has no limits.
type Budget struct {
	limits     Limits
	log        *slog.Logger
	turnedAway *prometheus.CounterVec

	mu     sync.Mutex
	ledger *gwbudget.Ledger
	conns  map[*gwbudget.Account]*Conn
}

// NewBudget returns a budget. r may be nil.
func NewBudget(limits Limits, log *slog.Logger, r prometheus.Registerer) *Budget {
	b := &Budget{
		limits: limits, log: log, conns: map[*gwbudget.Account]*Conn{},
		ledger: gwbudget.New(gwbudget.Limits{Bytes: limits.Bytes, Connections: limits.Connections}),
		turnedAway: promauto.With(r).NewCounterVec(prometheus.CounterOpts{
			Namespace: "geraniumworks", Subsystem: "callers", Name: "turned_away_total",
			Help: "Connections of callers that were closed because of a limit, by reason.",
		}, []string{"reason"}),
	}
	promauto.With(r).NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "geraniumworks", Subsystem: "callers", Name: "held_bytes",
		Help: "Estimated memory of what callers have sent and that has not been answered, in bytes.",
	}, func() float64 { held, _ := b.Held(); return float64(held) })
	promauto.With(r).NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "geraniumworks", Subsystem: "callers", Name: "connections",
		Help: "Open connections of callers.",
	}, func() float64 { _, n := b.Held(); return float64(n) })
	return b
}

// limited reports whether there is any limit. Without one, connections are not counted.
func (b *Budget) limited() bool {
	l := b.limits
	return l.Bytes > 0 || l.Connections > 0 || l.HeaderLines > 0 || l.EmptyLines > 0
}

// Held returns the estimated memory of all connections, in bytes, and their number.
func (b *Budget) Held() (bytes int64, connections int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Held(), b.ledger.Connections()
}

// open adds a connection. It reports false when the connection itself is turned away.
func (b *Budget) open(c *Conn) bool {
	b.mu.Lock()
	account, away := b.ledger.Open(time.Now())
	c.account = account
	b.conns[account] = c
	victims := b.take(away)
	b.mu.Unlock()
	reason := reasonMemory
	if len(away) == 1 && b.limits.Connections > 0 {
		reason = reasonConnections
	}
	b.closeAll(victims, reason)
	return len(away) == 0 || away[0] != account
}

// hold says what a connection holds from now on.
func (b *Budget) hold(account *gwbudget.Account, bytes int64) {
	b.mu.Lock()
	victims := b.take(b.ledger.Hold(account, bytes, time.Now()))
	b.mu.Unlock()
	b.closeAll(victims, reasonMemory)
}

// fits reports whether there is room for something that is not held yet.
func (b *Budget) fits(bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Fits(bytes)
}

// setBusy says whether a request of a connection is worked on.
func (b *Budget) setBusy(account *gwbudget.Account, busy bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.SetBusy(account, busy, time.Now())
}

func (b *Budget) close(account *gwbudget.Account) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Close(account)
	delete(b.conns, account)
}

// take returns the connections of accounts. The caller holds mu.
func (b *Budget) take(accounts []*gwbudget.Account) []*Conn {
	var conns []*Conn
	for _, a := range accounts {
		conns = append(conns, b.conns[a])
		delete(b.conns, a)
	}
	return conns
}

// closeAll turns connections away. Their handlers see a caller that has left, and release what they hold.
func (b *Budget) closeAll(conns []*Conn, reason string) {
	for _, c := range conns {
		c.leave()
		_ = c.Conn.Close()
		b.note(c.Conn, reason)
	}
}

func (b *Budget) note(conn net.Conn, reason string) {
	b.turnedAway.WithLabelValues(reason).Inc()
	held, connections := b.Held()
	b.log.LogAttrs(context.Background(), slog.LevelWarn, "connection was turned away",
		slog.String("reason", reason), slog.String("remote", conn.RemoteAddr().String()),
		slog.Int64("held-bytes", held), slog.Int("connections", connections))
}

// holding is what a connection holds. The lock of the connection protects it.
type holding struct {
	// headBytes and headLines are of the head that arrives or is worked on.
	headBytes, headLines int
	body                 int64
	writing              bool
	// pending is the cost of each request that was begun before its turn, current that of the one whose turn it is.
	pending map[int]int64
	current int64
	// reported is what the budget was told.
	reported int64
}

// report tells the budget what the connection holds, unless that has hardly changed. The caller holds mu.
func (c *Conn) report() {
	if c.budget == nil {
		return
	}
	limits := c.budget.limits
	lines := c.held.headLines
	if limits.HeaderLines > 0 {
		lines = min(lines, limits.HeaderLines)
	}
	bytes := gwbudget.HeadBytes(min(c.held.headBytes, limits.HeaderBytes+headSlack), lines) +
		c.held.body + c.held.current + int64(cap(c.ahead)+cap(c.finder.buf))
	for _, cost := range c.held.pending {
		bytes += cost
	}
	if c.handling {
		bytes += requestBytes
	}
	if c.held.writing {
		bytes += answerBytes
	}
	if change := bytes - c.held.reported; change < reportBytes && change > -reportBytes {
		return
	}
	c.held.reported = bytes
	c.budget.hold(c.account, bytes)
}

// Write implements net.Conn. An answer counts until the connection has taken it.
func (c *Conn) Write(p []byte) (int, error) {
	if c.budget == nil {
		return c.Conn.Write(p)
	}
	c.setWriting(true)
	defer c.setWriting(false)
	return c.Conn.Write(p)
}

func (c *Conn) setWriting(writing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held.writing = writing
	c.report()
}

// HoldBody says how many bytes the buffer of a request's body has from now on. ctx is that of the request.
func HoldBody(ctx context.Context, bytes int64) {
	c, ok := ctx.Value(contextKey{}).(*Conn)
	if !ok || c.budget == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held.body = bytes
	c.report()
}
