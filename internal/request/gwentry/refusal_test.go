package gwentry_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// Guards against refusals that wait for a body or have the wrong status or reason, for all kinds of requests that the
// entry host does not pass on.
func TestRefusalsFromScript(t *testing.T) {
	script, err := os.ReadFile("testdata/refusals.txt")
	require.NoError(t, err)
	ran := 0
	server := echoServer(t, func(http.ResponseWriter, *http.Request) { ran++ })
	sys := newSystem(t, setup{servers: map[gw.ServerName]string{"s1": server}})
	_, blocks, _ := strings.Cut(string(script), "\n\n")
	for block := range strings.SplitSeq(strings.TrimSpace(blocks), "\n\n") {
		head, request, found := strings.Cut(block, "\n--\n")
		require.True(t, found, block)
		fields := strings.Fields(head)
		t.Run(fields[0], func(t *testing.T) {
			conn := sys.dialTo(t)
			raw := strings.ReplaceAll(strings.TrimSpace(request), "\n", "\r\n") + "\r\n\r\n"
			start := time.Now()
			_, err := io.WriteString(conn, raw)
			require.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			defer func() { require.NoError(t, resp.Body.Close()) }()
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Less(t, time.Since(start), 3*time.Second)
			require.Equal(t, fields[1], strconv.Itoa(resp.StatusCode))
			if fields[2] == "-" {
				return
			}
			require.Equal(t, fields[2], resp.Header.Get(gw.HeaderReason))
			require.Equal(t, string(gw.OutcomeNotRun), resp.Header.Get(gw.HeaderOutcome))
			var refusal map[string]any
			require.NoError(t, json.Unmarshal(body, &refusal))
			require.Equal(t, fields[2], refusal["reason"])
			require.Equal(t, string(gw.OutcomeNotRun), refusal["outcome"])
			if resp.StatusCode == http.StatusMisdirectedRequest {
				require.Equal(t, "friesland", resp.Header.Get(gw.HeaderHomeRegions))
				require.Equal(t, []any{"friesland"}, refusal["home-regions"])
			}
		})
	}
	require.Zero(t, ran, "a refused request reached the server")
	require.Empty(t, sys.router.calls, "a request was refused only after it was routed")
}
