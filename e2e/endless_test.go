package e2e

import (
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/standin/gwscene"
)

const (
	// endlessTime is how long a server answers without end.
	endlessTime = 5 * time.Second
	// endlessCallers is the number of callers that ask it all the time.
	endlessCallers = 16
	// endlessPause is the time between two requests of others through a host.
	endlessPause = 20 * time.Millisecond
	// maxPeakBytes is the memory of the smallest entry host that is deployed.
	maxPeakBytes = 184 << 20
)

// Guards against a host that keeps what a faulty server sends without end, runs out of memory, and takes the requests
// of other callers with it.
func TestEndlessAnswersLeaveOtherRequestsAlone(t *testing.T) {
	log, err := os.Create(filepath.Join(logFolder(), "endless-answers.log"))
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, log.Close()) })
	s := gwscene.New(plan(), t.TempDir(), func(name string) string { return filepath.Join(programs, name) }, log)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	require.NoError(t, s.Start(ctx))
	t.Cleanup(s.Stop)
	require.NoError(t, gwscene.Until(ctx, s.Live))
	publishFrom(ctx, t, s, "testdata/soak")
	require.NoError(t, gwscene.Until(ctx, s.Owned))
	hosts := s.Listing().Hosts
	owner, err := s.Owner(ctx, hosts[0].Name, "lookups", "members", "zeemeeuw")
	require.NoError(t, err)
	server, ok := s.Server(owner)
	require.True(t, ok)
	require.NoError(t, fault(ctx, server.Address, "answer-endlessly", `{"milliseconds":0}`))

	endless, end := context.WithTimeout(ctx, endlessTime)
	defer end()
	var read atomic.Int64
	var callers sync.WaitGroup
	for n := range endlessCallers {
		callers.Go(func() {
			for endless.Err() == nil {
				read.Add(discard(endless, hosts[n%len(hosts)], "/names/zeemeeuw"))
			}
		})
	}
	var others sync.WaitGroup
	answered := make([]int, len(hosts))
	failed := make([]gwscene.Answer, len(hosts))
	for i, host := range hosts {
		others.Go(func() {
			for ; endless.Err() == nil; <-time.After(endlessPause) {
				a, err := s.Request(ctx, host.Name, http.MethodGet, "/documents/1", "members", "")
				if err != nil || a.Status != http.StatusOK {
					failed[i] = a
					continue
				}
				answered[i]++
			}
		})
	}
	callers.Wait()
	others.Wait()
	require.Greater(t, read.Load(), int64(maxPeakBytes), "the answers were too short to show anything")
	for i, host := range hosts {
		require.Zero(t, failed[i], "a request through %s failed", host.Name)
		require.NotZero(t, answered[i])
		peak, err := s.PeakBytes(string(host.Name))
		require.NoError(t, err, "%s has ended", host.Name)
		require.Less(t, peak, int64(maxPeakBytes), host.Name)
	}
	t.Logf("%d bytes read without end, answered through each host: %v", read.Load(), answered)
}

// discard makes a request, reads its answer to the end without keeping it, and returns the bytes read.
func discard(ctx context.Context, host gw.HostEntry, path string) int64 {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host.CallerAddress+path, http.NoBody)
	if err != nil {
		return 0
	}
	req.Header.Set(gw.HeaderTenant, "members")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	// The answer never ends by itself, so that there always is an error.
	n, _ := io.Copy(io.Discard, resp.Body)
	return n
}
