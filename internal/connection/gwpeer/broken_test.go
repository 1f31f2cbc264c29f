package gwpeer_test

import (
	"bufio"
	"context"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwpeer"
	"github.com/geraniumworks/geraniumworks/internal/standin/gwfakes"
)

// probeReply is the object that answers the first call on a connection.
const probeReply = `{"jsonrpc":"2.0","id":0,"result":{"instance":"i1","epoch":3}}`

// Guards against an answer of a host that is believed although its head is broken.
func TestBrokenAnswersOfPeersEndTheCall(t *testing.T) {
	script, err := os.ReadFile("testdata/broken.txt")
	require.NoError(t, err)
	_, lines, _ := strings.Cut(string(script), "\n\n")
	for line := range strings.Lines(lines) {
		fields := strings.Fields(line)
		t.Run(fields[0], func(t *testing.T) {
			t.Parallel()
			head, err := strconv.Unquote(line[strings.Index(line, `"`) : len(line)-1])
			require.NoError(t, err)
			head = strings.ReplaceAll(head, "{length}", strconv.Itoa(len(probeReply)))
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { require.NoError(t, listener.Close()) })
			closed := make(chan error, 1)
			go gwfakes.ServeConns(listener, func(conn net.Conn, in *bufio.Reader) {
				_, err := in.ReadByte()
				if err == nil {
					_, err = conn.Write([]byte(head + probeReply))
				}
				for err == nil {
					_, err = in.ReadByte()
				}
				closed <- err
			})
			client := gwpeer.NewClient()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			reply, err := client.Probe(ctx, listener.Addr().String(), gw.ProbeRequest{From: "abc"})
			if fields[1] == "read" {
				require.NoError(t, err)
				require.Equal(t, gw.ProbeReply{Instance: "i1", Epoch: 3}, reply)
				require.NoError(t, client.Close())
			} else {
				require.Error(t, err)
				require.NoError(t, ctx.Err(), "the call was held to its timeout")
			}
			select {
			case err := <-closed:
				require.Error(t, err)
			case <-ctx.Done():
				t.Fatal("the connection stays open")
			}
		})
	}
}
