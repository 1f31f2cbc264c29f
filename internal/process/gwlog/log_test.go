package gwlog_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/geraniumworks/geraniumworks/internal/process/gwlog"
)

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func run(t *testing.T, l *gwlog.Log) func() {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx) }()
	return func() {
		cancel()
		require.NoError(t, <-ended)
	}
}

// Guards against requests that block because no process reads standard output.
func TestBlockedReaderBlocksNobody(t *testing.T) {
	reader, writer := io.Pipe()
	defer func() { _ = reader.Close() }()
	l := gwlog.New(writer, slog.LevelInfo, false)
	stop := run(t, l)
	log := slog.New(l)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20_000 {
			log.Info("request ended", "request-id", "x")
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging waits for the reader")
	}
	stop()
}

// Guards against a kind of line that crowds out the others, and against lines that are left out without a summary.
func TestBudgetIsSharedByKinds(t *testing.T) {
	out := &lockedBuffer{}
	l := gwlog.New(out, slog.LevelInfo, false)
	stop := run(t, l)
	log := slog.New(l).With("host", "h1")
	for range 5_000 {
		log.Info("request ended", "request-id", "x")
	}
	log.Warn("store cannot be read")
	stop()
	text := out.String()
	require.Contains(t, text, "store cannot be read")
	require.Contains(t, text, "log lines were left out")
	require.Less(t, strings.Count(text, `"request ended","host"`), 500)
	require.Less(t, len(text), 128<<10)
	require.Contains(t, text, `"host":"h1"`)
}

// Guards against a level that is reloaded and has no effect on loggers that exist already.
func TestLevelChangesForExistingLoggers(t *testing.T) {
	out := &lockedBuffer{}
	l := gwlog.New(out, slog.LevelInfo, false)
	stop := run(t, l)
	log := slog.New(l).With("host", "h1")
	l.SetLevel(slog.LevelError)
	log.Info("left out")
	l.SetLevel(slog.LevelDebug)
	log.Debug("written")
	stop()
	require.NotContains(t, out.String(), "left out")
	require.Contains(t, out.String(), "written")
}

// BenchmarkLeftOut measures the cost of logging a line over the limit.
func BenchmarkLeftOut(b *testing.B) {
	log := slog.New(gwlog.New(io.Discard, slog.LevelInfo, false))
	for b.Loop() {
		log.Info("request ended", "request-id", "x", "outcome", "not-run")
	}
}
