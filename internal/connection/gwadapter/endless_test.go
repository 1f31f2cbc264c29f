package gwadapter_test

import (
	"context"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwhostlist"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwserver"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwstore"
	"github.com/geraniumworks/geraniumworks/internal/standin/gwendless"
)

// fastTimeout and slowTimeout are the deadlines of calls with fast and with slow answers.
const (
	fastTimeout = 10 * time.Second
	slowTimeout = 700 * time.Millisecond
)

// memoryBytes bounds all that is allocated for a call with an endless head. The bound of a head is 64 KiB and also
// holds for the informational answers before it; the shortest of them takes 25 bytes, for which net/http builds an
// answer of less than 64 times as many.
const memoryBytes = 64 * 64 << 10

// endlessCall makes one call to the address, with the timeout.
type endlessCall func(t *testing.T, address string, timeout time.Duration) error

// endlessCalls are the calls whose answers are read, by name.
var endlessCalls = map[string]endlessCall{
	"server-describe": serverCall(func(ctx context.Context, c *gwserver.Client, ref gw.ServerRef) error {
		_, err := c.Describe(ctx, ref)
		return err
	}),
	"server-grant": serverCall(func(ctx context.Context, c *gwserver.Client, ref gw.ServerRef) error {
		_, err := c.Grant(ctx, ref, gw.Grant{Server: ref.Name})
		return err
	}),
	"server-release": serverCall(func(ctx context.Context, c *gwserver.Client, ref gw.ServerRef) error {
		_, err := c.Release(ctx, ref, gw.Release{Server: ref.Name})
		return err
	}),
	"server-health": serverCall(func(ctx context.Context, c *gwserver.Client, ref gw.ServerRef) error {
		return c.Health(ctx, ref)
	}),
	"store-read": storeCall(func(ctx context.Context, s *gwstore.Store) error {
		_, err := s.Get(ctx, "a")
		return err
	}),
	"store-write": storeCall(func(ctx context.Context, s *gwstore.Store) error {
		_, err := s.CompareAndSwap(ctx, "a", 0, []byte("1"))
		return err
	}),
	"host-list": func(t *testing.T, address string, timeout time.Duration) error {
		list, err := gwhostlist.New(gwhostlist.WithEndpoints(address), gwhostlist.WithCallTimeout(timeout),
			gwhostlist.WithRounds(1), gwhostlist.WithRegisterer(prometheus.NewRegistry()))
		require.NoError(t, err)
		_, err = list.Hosts(t.Context())
		return err
	},
}

func serverCall(do func(context.Context, *gwserver.Client, gw.ServerRef) error) endlessCall {
	return func(t *testing.T, address string, timeout time.Duration) error {
		client, err := gwserver.New(gwserver.WithCallTimeout(timeout), gwserver.WithReleaseTimeout(timeout),
			gwserver.WithRegisterer(prometheus.NewRegistry()))
		require.NoError(t, err)
		return do(t.Context(), client, gw.ServerRef{Name: "s1", Address: address})
	}
}

func storeCall(do func(context.Context, *gwstore.Store) error) endlessCall {
	return func(t *testing.T, address string, timeout time.Duration) error {
		store, err := gwstore.New(gwstore.WithEndpoints(address), gwstore.WithCallTimeout(timeout),
			gwstore.WithReadRounds(1), gwstore.WithRegisterer(prometheus.NewRegistry()))
		require.NoError(t, err)
		return do(t.Context(), store)
	}
}

// Guards against an answer without end that is taken for a whole one, whose head takes more memory than a head may,
// that is read on although it can no longer become an answer, that holds a call beyond its timeout, or whose connection
// stays open.
func TestEndlessAnswersEndTheCall(t *testing.T) {
	script, err := os.ReadFile("testdata/endless.txt")
	require.NoError(t, err)
	cases, err := gwendless.ParseCases(script, gw.HeaderRequestID)
	require.NoError(t, err)
	for name, call := range endlessCalls {
		for _, c := range cases {
			t.Run(name+"/"+c.Name, func(t *testing.T) {
				timeout := fastTimeout
				if c.Answer.Slow {
					t.Parallel()
					timeout = slowTimeout
				}
				server, err := gwendless.Start(c.Answer)
				require.NoError(t, err)
				t.Cleanup(func() { require.NoError(t, server.Close()) })
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				start := time.Now()
				require.Error(t, call(t, server.Address(), timeout))
				elapsed := time.Since(start)
				runtime.ReadMemStats(&after)
				require.Positive(t, server.Served())
				if c.Want[0] == "at-once" {
					require.Less(t, elapsed, timeout)
				} else {
					require.Less(t, elapsed, timeout+time.Second)
				}
				if slices.Contains(c.Options, "head") && !c.Answer.Slow {
					require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(memoryBytes))
				}
				require.Eventually(t, func() bool { return server.Open() == 0 }, 5*time.Second, time.Millisecond,
					"the connection stays open")
			})
		}
	}
}
