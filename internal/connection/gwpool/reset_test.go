package gwpool_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/geraniumworks/geraniumworks/internal/connection/gwpool"
)

// resetConn is a connection that is reset while the body of a request is written, behind an answer without a length.
// The write gets the error of the reset and returns it only after the read has got the end of the connection.
type resetConn struct {
	net.Conn
	// answer holds what is still to be read. It may be read once the head has been written.
	answer *bytes.Reader

	once sync.Once
	// headWritten, reset and ended are closed in this order.
	headWritten, reset, ended chan struct{}
}

func newResetConn(answer string) *resetConn {
	return &resetConn{
		answer:      bytes.NewReader([]byte(answer)),
		headWritten: make(chan struct{}), reset: make(chan struct{}), ended: make(chan struct{}),
	}
}

func (c *resetConn) Write(p []byte) (int, error) {
	select {
	case <-c.headWritten:
	default:
		close(c.headWritten)
		return len(p), nil
	}
	c.once.Do(func() { close(c.reset) })
	<-c.ended
	time.Sleep(20 * time.Millisecond)
	return 0, syscall.ECONNRESET
}

func (c *resetConn) Read(p []byte) (int, error) {
	<-c.headWritten
	if c.answer.Len() > 0 {
		return c.answer.Read(p)
	}
	<-c.reset
	close(c.ended)
	return 0, io.EOF
}

func (c *resetConn) Close() error { return nil }

// Guards against a reset that looks like the end of an answer, because a write got the error and the read did not.
func TestResetThatAWriteMeetsIsNoEnd(t *testing.T) {
	pool := gwpool.New(gwpool.WithDial(func(context.Context, string, string) (net.Conn, error) {
		return newResetConn("HTTP/1.1 200 OK\r\n\r\npart"), nil
	}))
	defer pool.Close()
	c, err := pool.Acquire(t.Context(), "server:80", 1)
	require.NoError(t, err)
	defer c.Discard()
	body := bytes.NewReader(make([]byte, 1<<20))
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://server/", body)
	require.NoError(t, err)
	resp, err := c.RoundTrip(r, 10_000)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.Equal(t, "part", string(data))
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
