package gwpeer_test

import (
	"context"
	"net"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwpeer"
	"github.com/geraniumworks/geraniumworks/internal/standin/gwendless"
)

const (
	endlessFastTimeout = 10 * time.Second
	endlessSlowTimeout = 700 * time.Millisecond
	// endlessMemoryBytes bounds all that is allocated for a message that is no permitted one: its head has at most 8
	// lines of 4 KiB, and the buffers of both sides take less.
	endlessMemoryBytes = 1 << 20
)

func endlessCases(t *testing.T) []gwendless.Case {
	t.Helper()
	script, err := os.ReadFile("testdata/endless.txt")
	require.NoError(t, err)
	cases, err := gwendless.ParseCases(script, "")
	require.NoError(t, err)
	return cases
}

// Guards against a message without end that holds a call beyond its timeout, takes memory without bound, or leaves its
// connection open.
func TestEndlessAnswersOfPeersEndTheCall(t *testing.T) {
	for _, c := range endlessCases(t) {
		t.Run(c.Name, func(t *testing.T) {
			c.Answer.Unasked = true
			server, err := gwendless.Start(c.Answer)
			require.NoError(t, err)
			t.Cleanup(func() { require.NoError(t, server.Close()) })
			client := gwpeer.NewClient()
			t.Cleanup(func() { require.NoError(t, client.Close()) })
			timeout := endlessFastTimeout
			if c.Answer.Slow || c.Want[0] == "either" {
				timeout = endlessSlowTimeout
			}
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err = client.Probe(ctx, server.Address(), gw.ProbeRequest{From: "abc"})
			runtime.ReadMemStats(&after)
			require.Error(t, err)
			switch c.Want[0] {
			case "at-once":
				require.NoError(t, ctx.Err(), "the call was held to its timeout")
				require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(endlessMemoryBytes))
			case "deadline":
				require.ErrorIs(t, err, context.DeadlineExceeded)
			}
			require.Eventually(t, func() bool { return server.Open() == 0 }, 5*time.Second, time.Millisecond,
				"the connection stays open")
		})
	}
}

// Guards against a host that sends a call without end and takes memory without bound.
func TestEndlessCallsOfPeersAreCut(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	serve(t, listener, &handler{})
	for _, c := range endlessCases(t) {
		if c.Answer.Slow || c.Want[0] != "at-once" {
			continue
		}
		t.Run(c.Name, func(t *testing.T) {
			conn, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			require.NoError(t, conn.SetDeadline(time.Now().Add(endlessFastTimeout)))
			block := []byte(strings.Repeat(c.Answer.Piece, 32<<10/len(c.Answer.Piece)))
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err = conn.Write([]byte(c.Answer.Start))
			sent := 0
			for err == nil && sent < 256<<20 {
				_, err = conn.Write(block)
				sent += len(block)
			}
			runtime.ReadMemStats(&after)
			require.Error(t, err, "the connection is still read after %d bytes", sent)
			require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(endlessMemoryBytes))
		})
	}
}
