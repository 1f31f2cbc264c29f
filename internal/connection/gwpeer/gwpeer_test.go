package gwpeer_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwpeer"
	"github.com/geraniumworks/geraniumworks/internal/standin/gwsilence"
)

type handler struct {
	gwpeer.Handler
	renewals chan gw.DispatchLease
	hold     chan struct{}
}

func (h *handler) Probe(_ context.Context, req gw.ProbeRequest) (gw.ProbeReply, error) {
	return gw.ProbeReply{Instance: "i1", Epoch: gw.Epoch(len(req.From))}, nil
}

func (h *handler) RenewDispatch(_ context.Context, lease gw.DispatchLease) (gw.DispatchStatus, error) {
	h.renewals <- lease
	switch lease.Epoch {
	case 1:
		return gw.DispatchStatus{Instance: "i1", Epoch: 7}, gw.ErrStaleEpoch
	case 2:
		return gw.DispatchStatus{}, errors.New("disk on fire")
	}
	return gw.DispatchStatus{Instance: "i1", Epoch: lease.Epoch}, nil
}

func (h *handler) Pull(ctx context.Context, _ gw.PullRequest) (gw.PullReply, error) {
	select {
	case <-h.hold:
	case <-ctx.Done():
	}
	return gw.PullReply{Instance: "i1"}, nil
}

func (h *handler) ShareQuota(ctx context.Context, _ gw.QuotaRequest) (gw.QuotaReply, error) {
	_, err := h.Pull(ctx, gw.PullRequest{})
	return gw.QuotaReply{}, err
}

func serve(t *testing.T, listener net.Listener, h gwpeer.Handler) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- gwpeer.NewServer(h).Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
}

// Guards against refusals that lose their meaning on the way, and against a call that waits and takes the renewals
// on other connections with it when it times out.
func TestCallsAndRefusals(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h := &handler{renewals: make(chan gw.DispatchLease, 10), hold: make(chan struct{})}
	serve(t, listener, h)
	client := gwpeer.NewClient()
	t.Cleanup(func() { require.NoError(t, client.Close()) })
	address := listener.Addr().String()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	reply, err := client.Probe(ctx, address, gw.ProbeRequest{From: "abc"})
	require.NoError(t, err)
	require.Equal(t, gw.ProbeReply{Instance: "i1", Epoch: 3}, reply)

	refused, err := client.RenewDispatch(ctx, address, gw.DispatchLease{Epoch: 1})
	require.ErrorIs(t, err, gw.ErrStaleEpoch)
	require.Equal(t, gw.DispatchStatus{Instance: "i1", Epoch: 7}, refused)
	_, err = client.RenewDispatch(ctx, address, gw.DispatchLease{Epoch: 2})
	require.ErrorContains(t, err, "disk on fire")

	short, stop := context.WithTimeout(ctx, 20*time.Millisecond)
	defer stop()
	_, err = client.Pull(short, address, gw.PullRequest{})
	require.ErrorIs(t, err, context.DeadlineExceeded)
	status, err := client.RenewDispatch(ctx, address, gw.DispatchLease{Epoch: 3})
	require.NoError(t, err)
	require.Equal(t, gw.Epoch(3), status.Epoch)
	require.Len(t, h.renewals, 3, "a renewal was sent twice")
}

// Guards against a connection that has gone silent and blocks every later call, while a new one would work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := silent.Addr().String()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := silent.Accept()
		if err == nil {
			accepted <- conn
		}
	}()
	client := gwpeer.NewClient()
	t.Cleanup(func() { require.NoError(t, client.Close()) })
	short, stop := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer stop()
	_, err = client.Probe(short, address, gw.ProbeRequest{})
	require.ErrorIs(t, err, context.DeadlineExceeded)
	conn := <-accepted
	t.Cleanup(func() { require.NoError(t, conn.Close()) })

	serve(t, silent, &handler{})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err = client.Probe(ctx, address, gw.ProbeRequest{})
	require.NoError(t, err)
}

// Guards against a pull that waits for news on a connection that has gone silent until its own timeout of 4 s, while
// changes arrive at the relay.
func TestWaitingCallEndsOnSilentConnection(t *testing.T) {
	t.Parallel()
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := gwsilence.Wrap(plain)
	h := &handler{hold: make(chan struct{})}
	serve(t, listener, h)
	client := gwpeer.NewClient()
	t.Cleanup(func() { require.NoError(t, client.Close()) })
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		_, err := client.Pull(ctx, listener.Addr().String(), gw.PullRequest{})
		ended <- err
	}()
	require.Eventually(t, func() bool { return listener.Accepted() == 1 }, time.Second, time.Millisecond)
	require.NoError(t, listener.Silence())
	select {
	case err := <-ended:
		require.Error(t, err)
	case <-time.After(2500 * time.Millisecond):
		t.Fatal("the pull still waits")
	}
}

// Guards against a busy host that is sent a new connection for each call about quotas that it answers late, and against
// a connection for them that has gone silent and is kept.
func TestLateAnswersAboutQuotasKeepTheConnection(t *testing.T) {
	t.Parallel()
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := gwsilence.Wrap(plain)
	h := &handler{hold: make(chan struct{}, 10)}
	serve(t, listener, h)
	client := gwpeer.NewClient()
	t.Cleanup(func() { require.NoError(t, client.Close()) })
	share := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		_, err := client.ShareQuota(ctx, listener.Addr().String(), gw.QuotaRequest{})
		return err
	}
	require.ErrorIs(t, share(50*time.Millisecond), context.DeadlineExceeded)
	h.hold <- struct{}{}
	h.hold <- struct{}{}
	require.NoError(t, share(5*time.Second))
	require.Equal(t, 1, listener.Accepted())
	require.Eventually(t, func() bool {
		require.ErrorIs(t, share(250*time.Millisecond), context.DeadlineExceeded)
		return listener.Accepted() == 2
	}, 10*time.Second, time.Millisecond)
}
