package gwentry_test

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// viaRelayAndLocal runs a test twice: with the attempts sent to a relay over the network, and within one process.
func viaRelayAndLocal(t *testing.T, test func(t *testing.T, local bool)) {
	t.Run("relay", func(t *testing.T) { test(t, false) })
	t.Run("local", func(t *testing.T) { test(t, true) })
}

// Guards against headers, bodies or paths that are changed on the way, in either direction.
func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	viaRelayAndLocal(t, func(t *testing.T, local bool) {
		var got http.Header
		var uri string
		server := echoServer(t, func(w http.ResponseWriter, r *http.Request) {
			got, uri = r.Header, r.RequestURI
			data, err := io.ReadAll(r.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			w.Header()["X-Two"] = []string{"a", "b"}
			w.Header().Set("Gw-Token", "from-server")
			w.Header().Set("Keep-Alive", "timeout=5")
			w.WriteHeader(http.StatusCreated)
			fmt.Fprintf(w, "%x", sha256.Sum256(data))
		})
		sys := newSystem(t, setup{servers: map[gw.ServerName]string{"s1": server}, divided: true, local: local})
		sizes := []int{0, 1, 4096, 64 << 10, 64<<10 + 1, 512 << 10, 512<<10 + 1, 3 << 20}
		for _, size := range sizes {
			body := bytes.Repeat([]byte("x"), size)
			answer := sys.do("POST", "/names/a%2Fb/c?q=%20&r", bytes.NewReader(body),
				"Idempotency-Key", "op-1", "Gw-Position", "forged", "Gw_token", "forged", "Te", "trailers",
				"X-Other", "kept", "Connection", "X-Drop", "X-Drop", "1")
			require.Equal(t, http.StatusCreated, answer.status, string(answer.body))
			require.Equal(t, fmt.Sprintf("%x", sha256.Sum256(body)), string(answer.body))
			require.Equal(t, "/names/a%2Fb/c?q=%20&r", uri)
			require.Equal(t, "op-1", got.Get(gw.HeaderOperationID))
			require.Empty(t, got.Get("Idempotency-Key"))
			require.Empty(t, got.Get("X-Drop"))
			require.Empty(t, got["Gw_token"])
			require.Equal(t, "kept", got.Get("X-Other"))
			require.Equal(t, "000000000000002a", got.Get(gw.HeaderPosition))
			require.Equal(t, "7", got.Get(gw.HeaderToken))
			require.NotEmpty(t, got.Get(gw.HeaderTimeout))
			require.Equal(t, string(gw.OutcomeAnswered), answer.header.Get(gw.HeaderOutcome))
			require.Equal(t, []string{"a", "b"}, answer.header["X-Two"])
			require.Empty(t, answer.header.Get(gw.HeaderToken))
			require.Empty(t, answer.header.Get("Keep-Alive"))
			require.Equal(t, "s1", answer.header.Get(gw.HeaderServer))
			require.Equal(t, "run-1", answer.header.Get(gw.HeaderIncarnation))
		}
		require.Equal(t, "a/b", sys.router.calls[0].Key)
		eventually(t, func() bool {
			open, results := sys.dispatcher.state()
			return open == 0 && len(results) == len(sizes)
		}, "slots")
		require.Equal(t, 1, sys.pool.Open(server), "the connection to the server was not reused")
	})
}

// Guards against a path that reaches the server as that of another thing, because one character in it is one that most
// callers encode.
func TestUnusualPathsPassUnchanged(t *testing.T) {
	viaRelayAndLocal(t, func(t *testing.T, local bool) {
		var uri string
		server := echoServer(t, func(_ http.ResponseWriter, r *http.Request) { uri = r.RequestURI })
		sys := newSystem(t, setup{servers: map[gw.ServerName]string{"s1": server}, divided: true, local: local})
		for _, each := range []struct{ sent, runs, key string }{
			{"/names/van%2Fdam|3?q=a|b", "/names/van%2Fdam|3?q=a|b", "van/dam|3"},
			{"/names/Zeeën%2FNoord", "/names/Zeeën%2FNoord", "Zeeën/Noord"},
			{"/names/{id}%2F7/x", "/names/{id}%2F7/x", "{id}/7"},
			{"/names/a%2Fb#c", "/names/a%2Fb#c", "a/b#c"},
			{"/names//a%2F|", "", ""},
			{"/names/a%2fb", "/names/a%2fb", "a/b"},
			{"http://names/names/a%2Fb|?", "/names/a%2Fb|?", "a/b|"},
			{"//names/a%2Fb|", "", ""},
		} {
			uri = ""
			conn := sys.dialTo(t)
			_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: names\r\nConnection: close\r\n%s: harbour\r\n\r\n",
				each.sent, gw.HeaderTenant)
			require.NoError(t, err)
			_, err = io.ReadAll(conn)
			require.NoError(t, err)
			if each.key == "" {
				require.Empty(t, uri, each.sent)
				continue
			}
			require.Equal(t, each.runs, uri, each.sent)
			require.Equal(t, each.key, sys.router.calls[len(sys.router.calls)-1].Key)
		}
	})
}
