package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a host that ends, and cuts off its requests, because the reader of its log has gone.
func TestClosedLogReaderDoesNotEndTheHost(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	cmd := exec.CommandContext(t.Context(), filepath.Join(programs, "geraniumworks"), "run", "--log-format", "json",
		"--host", "h", "--region", "r", "--data-centre", "d", "--store-endpoint", "127.0.0.1:1",
		"--host-list-endpoint", "127.0.0.1:1", "--listen-callers", "127.0.0.1:0", "--listen-relay", "127.0.0.1:0",
		"--listen-peers", "127.0.0.1:0", "--listen-operators", "127.0.0.1:0")
	cmd.Stdout = writer
	require.NoError(t, cmd.Start())
	require.NoError(t, writer.Close())
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	lines := bufio.NewScanner(reader)
	var started struct {
		Message   string `json:"msg"`
		Operators string `json:"operators"`
	}
	for started.Message != "process started" {
		require.True(t, lines.Scan(), "the host did not start")
		require.NoError(t, json.Unmarshal(lines.Bytes(), &started))
	}
	require.NoError(t, reader.Close())
	for range 5 {
		// Each reload writes a line.
		require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
		select {
		case err := <-ended:
			t.Fatalf("the host has ended: %v", err)
		case <-time.After(100 * time.Millisecond):
		}
	}
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+started.Operators+"/livez", nil)
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusNoContent, resp.StatusCode)
}
