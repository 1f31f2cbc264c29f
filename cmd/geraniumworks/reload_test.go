package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) lines(substr string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.text.String(), substr)
}

const reloadSettings = `{
	"host": "entry-1", "region": "holland", "data-centre": "holland-a",
	"listen": {
		"callers": "127.0.0.1:0", "relay": "127.0.0.1:0", "peers": "127.0.0.1:0", "operators": "127.0.0.1:0",
	},
	"store-endpoints": ["127.0.0.1:1"], "host-list-endpoints": ["127.0.0.1:1"],
	"log": {"level": "info", "format": "json"},
	"drain-milliseconds": 60000, "stop-milliseconds": 90000,
}`

// Guards against SIGHUP that ends the process, that has no effect, or that applies invalid settings.
func TestReloadAppliesValidSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	write := func(text string) { require.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }
	write(reloadSettings)
	var out, failures lockedBuffer
	ended := make(chan int, 1)
	go func() { ended <- mainCode([]string{"run", "--settings", file}, &out, &failures) }()
	signalAndWait := func(sig syscall.Signal, line string, n int) {
		if sig != 0 {
			require.NoError(t, syscall.Kill(os.Getpid(), sig))
		}
		require.Eventually(t, func() bool { return out.lines(line) == n }, 10*time.Second, 5*time.Millisecond, line)
	}
	signalAndWait(0, `"process started"`, 1)
	signalAndWait(syscall.SIGHUP, `"settings reloaded","host":"entry-1"`, 1)
	for i, text := range []string{"{", strings.Replace(reloadSettings, "60000", "95000", 1)} {
		write(text)
		signalAndWait(syscall.SIGHUP, "settings cannot be read, the ones before stay in force", i+1)
	}
	write(strings.NewReplacer("60000", "10", "90000", "500", "entry-1", "entry-2").Replace(reloadSettings))
	signalAndWait(syscall.SIGHUP,
		`"applied":["drain-milliseconds","stop-milliseconds"],"after-restart":["host"]`, 1)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	select {
	case code := <-ended:
		require.Equal(t, exitOK, code, failures.text.String())
	case <-time.After(30 * time.Second):
		t.Fatal("the planned stop does not follow the reloaded settings")
	}
}
