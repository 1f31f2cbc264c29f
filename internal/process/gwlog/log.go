// Package gwlog writes log lines at a limited rate without blocking the code that logs.
package gwlog

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and linesBurst limit the lines of one kind, so that one kind cannot crowd out the others: a host of
	// the current size refuses up to 60 requests a second at twice its capacity.
	linesPerSecond = 20
	linesBurst     = 60
	// bytesPerSecond limits all lines together: 400 KB a second for a deployment of 12 hosts.
	bytesPerSecond = 32 << 10
	bytesBurst     = 128 << 10
	// queuedLines is the number of lines that are queued for a slow reader.
	queuedLines = 512
	// summaryInterval is the time between summaries of the lines that were left out.
	summaryInterval = time.Second
	// flushTimeout limits the time for writing queued lines when the process ends.
	flushTimeout = 200 * time.Millisecond
)

// Log is a slog.Handler that queues lines; Run writes them. The message of a line is its kind.
type Log struct {
	inner slog.Handler
	*state
}

type state struct {
	out   io.Writer
	level slog.LevelVar
	lines chan []byte
	// stopping is closed when the writer must end once the queue is empty.
	stopping     chan struct{}
	byteLimiter  *rate.Limiter
	leftOutTotal *prometheus.CounterVec

	mu       sync.Mutex
	limiters map[string]*rate.Limiter
	leftOut  map[string]int
}

// New returns a Log that writes lines of at least a level to out, as text or as JSON.
func New(out io.Writer, level slog.Level, asText bool) *Log {
	s := &state{
		out: out, lines: make(chan []byte, queuedLines), stopping: make(chan struct{}),
		byteLimiter: rate.NewLimiter(bytesPerSecond, bytesBurst),
		limiters:    map[string]*rate.Limiter{}, leftOut: map[string]int{},
		leftOutTotal: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "geraniumworks_log_lines_left_out_total", Help: "Log lines that were not written, by message.",
		}, []string{"message"}),
	}
	s.level.Set(level)
	options := &slog.HandlerOptions{Level: &s.level}
	if asText {
		return &Log{inner: slog.NewTextHandler(queue{s}, options), state: s}
	}
	return &Log{inner: slog.NewJSONHandler(queue{s}, options), state: s}
}

// Collector returns the metric of the lines that were left out.
func (l *Log) Collector() prometheus.Collector {
	return l.leftOutTotal
}

// SetLevel changes the lowest level of the lines that are written.
func (l *Log) SetLevel(level slog.Level) {
	l.level.Set(level)
}

// Enabled implements slog.Handler.
func (l *Log) Enabled(ctx context.Context, level slog.Level) bool {
	return l.inner.Enabled(ctx, level)
}

// Handle implements slog.Handler. It formats the line and does not wait until it is written.
func (l *Log) Handle(ctx context.Context, r slog.Record) error {
	if !l.allow(r.Message) {
		return nil
	}
	return l.inner.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (l *Log) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Log{inner: l.inner.WithAttrs(attrs), state: l.state}
}

// WithGroup implements slog.Handler.
func (l *Log) WithGroup(name string) slog.Handler {
	return &Log{inner: l.inner.WithGroup(name), state: l.state}
}

// allow reports whether the limit of the line's kind permits another line, and counts the line as left out otherwise.
func (s *state) allow(message string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limiter, ok := s.limiters[message]
	if !ok {
		limiter = rate.NewLimiter(linesPerSecond, linesBurst)
		s.limiters[message] = limiter
	}
	if limiter.Allow() {
		return true
	}
	s.countLeftOut(message)
	return false
}

// countLeftOut counts a line that is left out. The caller holds mu.
func (s *state) countLeftOut(message string) {
	s.leftOut[message]++
	s.leftOutTotal.WithLabelValues(message).Inc()
}

// queue is the io.Writer of the inner handler, which writes each line with one call.
type queue struct{ *state }

// Write queues a line without blocking. A line over the byte limit or for which the queue is full is left out.
func (q queue) Write(line []byte) (int, error) {
	if q.byteLimiter.AllowN(time.Now(), len(line)) {
		select {
		case q.lines <- bytes.Clone(line):
			return len(line), nil
		default:
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.countLeftOut("budget")
	return len(line), nil
}

// Run writes lines until ctx ends, and then the lines still queued, for at most flushTimeout.
func (l *Log) Run(ctx context.Context) error {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	written := make(chan error, 1)
	go func() { written <- l.write() }()
	for {
		select {
		case <-ticker.C:
			l.summarise(ctx)
		case err := <-written:
			return err
		case <-ctx.Done():
			l.summarise(context.WithoutCancel(ctx))
			close(l.stopping)
			select {
			case err := <-written:
				return err
			case <-time.After(flushTimeout):
				return nil
			}
		}
	}
}

// write writes queued lines until stopping is closed and the queue is empty, or until a write fails.
func (s *state) write() error {
	for {
		select {
		case line := <-s.lines:
			if _, err := s.out.Write(line); err != nil {
				return err
			}
			continue
		case <-s.stopping:
		}
		select {
		case line := <-s.lines:
			if _, err := s.out.Write(line); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

// summarise logs how many lines of each kind were left out since the last summary.
func (l *Log) summarise(ctx context.Context) {
	l.mu.Lock()
	left := l.leftOut
	l.leftOut = map[string]int{}
	l.mu.Unlock()
	if len(left) == 0 {
		return
	}
	r := slog.NewRecord(time.Now(), slog.LevelWarn, "log lines were left out", 0)
	for _, message := range slices.Sorted(maps.Keys(left)) {
		r.AddAttrs(slog.Int(message, left[message]))
	}
	// An error of the log itself cannot be reported anywhere.
	_ = l.inner.Handle(ctx, r)
}
