// Package gwlog writes log lines within a budget and never blocks the code that logs.
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
	// linesPerSecond and linesBurst bound the lines of one kind, so that one kind cannot crowd out the others: a host of
	// today's size refuses up to 60 requests a second at twice the capacity.
	linesPerSecond = 20
	linesBurst     = 60
	// bytesPerSecond bounds all lines: at 12 hosts 400 KB a second for a registry.
	bytesPerSecond = 32 << 10
	bytesBurst     = 128 << 10
	// waitingLines is how many lines wait for a slow reader.
	waitingLines = 512
	// summaryEvery is the time between lines that say what was left out.
	summaryEvery = time.Second
	// flushTimeout bounds the writing of what waits when the process ends.
	flushTimeout = 200 * time.Millisecond
)

// Log is a slog.Handler whose lines are written by Run. Lines are kinds by their message.
type Log struct {
	inner slog.Handler
	*state
}

type state struct {
	out   io.Writer
	lines chan []byte
	// ending is closed when no more lines are to be waited for.
	ending chan struct{}
	total  *rate.Limiter
	left   *prometheus.CounterVec

	mu      sync.Mutex
	kinds   map[string]*rate.Limiter
	leftOut map[string]int
}

// New returns a Log that writes JSON, or text, from a level on.
func New(out io.Writer, level slog.Level, asText bool) *Log {
	s := &state{
		out: out, lines: make(chan []byte, waitingLines), ending: make(chan struct{}),
		total: rate.NewLimiter(bytesPerSecond, bytesBurst),
		kinds: map[string]*rate.Limiter{}, leftOut: map[string]int{},
		left: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "geraniumworks_log_lines_left_out_total", Help: "Log lines that were not written, by message.",
		}, []string{"message"}),
	}
	options := &slog.HandlerOptions{Level: level}
	if asText {
		return &Log{inner: slog.NewTextHandler(queue{s}, options), state: s}
	}
	return &Log{inner: slog.NewJSONHandler(queue{s}, options), state: s}
}

// Collector counts the lines that were left out.
func (l *Log) Collector() prometheus.Collector {
	return l.left
}

// Enabled implements slog.Handler.
func (l *Log) Enabled(ctx context.Context, level slog.Level) bool {
	return l.inner.Enabled(ctx, level)
}

// Handle implements slog.Handler. It formats the line and never waits for it to be written.
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

func (s *state) allow(message string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limiter, ok := s.kinds[message]
	if !ok {
		limiter = rate.NewLimiter(linesPerSecond, linesBurst)
		s.kinds[message] = limiter
	}
	if limiter.Allow() {
		return true
	}
	s.leave(message)
	return false
}

// leave counts a line that is not written. The caller holds mu.
func (s *state) leave(message string) {
	s.leftOut[message]++
	s.left.WithLabelValues(message).Inc()
}

// queue takes the lines that a slog handler writes, each with one call.
type queue struct{ *state }

// Write takes a line without waiting.
func (q queue) Write(line []byte) (int, error) {
	if q.total.AllowN(time.Now(), len(line)) {
		select {
		case q.lines <- bytes.Clone(line):
			return len(line), nil
		default:
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.leave("budget")
	return len(line), nil
}

// Run writes lines until ctx ends, and then what still waits, for a short time.
func (l *Log) Run(ctx context.Context) error {
	ticker := time.NewTicker(summaryEvery)
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
			close(l.ending)
			select {
			case err := <-written:
				return err
			case <-time.After(flushTimeout):
				return nil
			}
		}
	}
}

// write writes lines until Run ends and none waits, or the reader has gone.
func (s *state) write() error {
	for {
		select {
		case line := <-s.lines:
			if _, err := s.out.Write(line); err != nil {
				return err
			}
			continue
		case <-s.ending:
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

// summarise says what was left out since the last time.
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
	// A line that cannot be formatted has no other place to go.
	_ = l.inner.Handle(ctx, r)
}
