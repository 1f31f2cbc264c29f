package gwhost

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/oklog/run"
	"github.com/stretchr/testify/require"
)

// failingListener fails once with each error before it accepts connections.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return l.Listener.Accept()
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: err}
}

// Guards against a host that ends, and cuts off its requests, because a connection could not be accepted.
func TestHostOutlastsFailedAccepts(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	failing := &failingListener{l, []error{syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO}}
	h := &Host{log: slog.New(slog.DiscardHandler)}
	var group run.Group
	h.addHTTP(&group, lastingListener{failing, h.log}, http.NotFoundHandler(), 1<<10, 0)
	ctx, cancel := context.WithCancel(t.Context())
	addLoop(&group, func(c context.Context) error {
		select {
		case <-ctx.Done():
		case <-c.Done():
		}
		return nil
	})
	ended := make(chan error, 1)
	go func() { ended <- group.Run() }()
	client := http.Client{Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + l.Addr().String())
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusNotFound, resp.StatusCode)
	cancel()
	require.NoError(t, <-ended)
}

// Guards against a planned stop that takes longer than the platform waits, because of connections on which nothing was
// sent.
func TestSilentConnectionsDoNotDelayTheStop(t *testing.T) {
	h := &Host{log: slog.New(slog.DiscardHandler)}
	var group run.Group
	for range 4 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		h.addHTTP(&group, l, http.NotFoundHandler(), 1<<10, 0)
		conn, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
	}
	var began time.Time
	group.Add(func() error {
		time.Sleep(100 * time.Millisecond)
		began = time.Now()
		return nil
	}, func(error) {})
	require.NoError(t, group.Run())
	require.Less(t, time.Since(began), time.Second)
}
