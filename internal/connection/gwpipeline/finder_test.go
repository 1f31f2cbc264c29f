package gwpipeline

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

const testMaxLines = 500

// find passes data to a finder in pieces and returns the heads that it finds, with nil for those that are none.
func find(t *testing.T, data []byte, piece int) []*http.Request {
	t.Helper()
	f := finder{maxLines: testMaxLines, maxEmpty: 4}
	var found []*http.Request
	for len(data) > 0 {
		n := min(piece, len(data))
		f.add(data[:n])
		data = data[n:]
		for {
			number, h, ok := f.next()
			if !ok {
				break
			}
			found = append(found, h.request())
			require.Equal(t, len(found), number)
			require.LessOrEqual(t, bytes.Count(h, lineEnd), testMaxLines+2)
		}
		require.LessOrEqual(t, len(f.buf), maxAheadBytes+piece)
		require.LessOrEqual(t, cap(f.buf), 2*(maxAheadBytes+piece)+readBytes)
	}
	return found
}

// sent returns the requests that net/http reads, up to the first that it refuses or whose length is not declared.
func sent(data []byte) []*http.Request {
	r := bufio.NewReader(bytes.NewReader(data))
	var requests []*http.Request
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return requests
		}
		requests = append(requests, req)
		if req.ContentLength < 0 {
			return requests
		}
		if _, err := io.CopyN(io.Discard, r, req.ContentLength); err != nil {
			return requests
		}
	}
}

// unusualRequests are forms that only uncontrolled callers send.
var unusualRequests = []string{
	"GET /1 HTTP/1.1\r\nHost: x\r\n\r\nPOST /2 HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /3 HTTP/1.1\r\n\r\n",
	"GET /1 HTTP/1.1\nContent-Length: 24\r\n\n\r\n\r\nGET /x HTTP/1.1\r\n\r\n",
	"GET /1 HTTP/1.1\nHost: x\n\nGET /2 HTTP/1.1\r\n\r\n",
	"GET /1 HTTP/1.1\r\nHost: x\r\n Content-Length: 4\r\n\r\nGET /2 HTTP/1.1\r\n\r\n",
	"GET /1 HTTP/1.1\r\nContent-Length : 4\r\n\r\nGET /2 HTTP/1.1\r\n\r\n",
	"GET /1 HTTP/1.1\r\na:b\r\r\nContent-Length: 4\r\n\r\nGET /2 HTTP/1.1\r\n\r\n",
	"POST /1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\nGET /2 HTTP/1.1\r\n\r\n",
	"\r\n\n\r\n\nGET /1 HTTP/1.1\r\n\r\n",
	"GET * HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n",
	"GET /1 HTTP/1.1\r\nConnection: close\r\n\r\nGET /2 HTTP/1.1\r\n\r\n",
	"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	"GET /1 HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 600) + "\r\n",
	"GET /1 HTTP/1.1\r\n" + strings.Repeat("x", maxAheadBytes+10),
}

// checkFound compares what the finder finds with what was sent.
func checkFound(t *testing.T, data []byte, piece int) {
	t.Helper()
	requests := sent(data)
	for i, got := range find(t, data, piece) {
		if got == nil {
			return
		}
		require.Less(t, i, len(requests), "a request that was not sent: %s", got.RequestURI)
		require.Equal(t, requests[i].Method+requests[i].RequestURI, got.Method+got.RequestURI)
		require.Equal(t, requests[i].Header, got.Header)
	}
}

// Guards against requests that nobody sent: with line ends without CR, the body of a request was taken for requests.
func TestUnusualFormsAreNotTakenForRequests(t *testing.T) {
	for _, data := range unusualRequests {
		for _, piece := range []int{1, 7, readBytes} {
			checkFound(t, []byte(data), piece)
		}
	}
	require.Len(t, find(t, []byte(unusualRequests[0]), 5), 3, "ordinary requests are found")
}

// Guards against empty lines without end that are kept while another request is worked on.
func TestEmptyLinesBeforeARequestAreCounted(t *testing.T) {
	f := finder{maxEmpty: 4}
	f.add([]byte("GET / HTTP/1.1\r\n\r\n\r\n\n"))
	for _, _, ok := f.next(); ok; _, _, ok = f.next() {
	}
	require.False(t, f.tooManyEmpty())
	f.add([]byte("\r\n\r\n\r\n"))
	require.True(t, f.tooManyEmpty())
	f = finder{maxEmpty: 4}
	f.add([]byte("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n\n\n\n\n\n\n\n\n\n"))
	_, _, ok := f.next()
	require.True(t, ok)
	require.False(t, f.tooManyEmpty(), "a body of empty lines")
}

// Guards against a crash, a request that is found where there is none, bytes that are lost, and buffers beyond their
// bounds, in whatever a caller sends.
func FuzzReader(f *testing.F) {
	for _, data := range unusualRequests {
		f.Add([]byte(data), uint8(3))
	}
	f.Fuzz(func(t *testing.T, data []byte, piece uint8) {
		checkFound(t, data, 1+int(piece))
		requests := sent(data)
		start := func(_ context.Context, r *http.Request) Pending {
			i := slices.IndexFunc(requests, func(s *http.Request) bool {
				return s.Method == r.Method && s.RequestURI == r.RequestURI && maps.EqualFunc(s.Header, r.Header, slices.Equal)
			})
			require.GreaterOrEqual(t, i, 0, "a request that was not sent is begun: %s", r.RequestURI)
			requests = requests[i+1:]
			return nil
		}
		c := NewConn(readerConn{r: iotest.OneByteReader(bytes.NewReader(data))}, start)
		c.budget = NewBudget(Limits{HeaderBytes: 1 << 10}, discard, nil)
		c.budget.open(c)
		got, err := io.ReadAll(io.LimitReader(c, int64(len(data))))
		require.NoError(t, err)
		require.True(t, bytes.Equal(data, got))
		require.NoError(t, c.Close())
		held, connections := c.budget.Held()
		require.Zero(t, held)
		require.Zero(t, connections)
	})
}
