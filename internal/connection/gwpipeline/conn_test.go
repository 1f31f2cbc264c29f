package gwpipeline_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/geraniumworks/geraniumworks/internal/connection/gwpipeline"
)

// started is a request that is worked on before its turn.
type started struct {
	ready     chan struct{}
	answer    string
	abandoned chan struct{}
}

func (s *started) Abandon() { close(s.abandoned) }

// serve runs an HTTP server whose handler calls handle with the context that also ends when the caller has left, and
// returns its address.
func serve(
	t *testing.T, start gwpipeline.Starter, handle func(context.Context, http.ResponseWriter, *http.Request),
) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{
		ReadHeaderTimeout: time.Second, ConnContext: gwpipeline.WithConn,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			ctx, turn := gwpipeline.Begin(r.Context())
			defer turn.End()
			if ctx.Err() != nil {
				if turn.Pending != nil {
					turn.Pending.Abandon()
				}
				panic(http.ErrAbortHandler)
			}
			if p, ok := turn.Pending.(*started); ok {
				<-p.ready
				_, _ = io.WriteString(w, p.answer)
				return
			}
			handle(ctx, w, r)
		}),
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(gwpipeline.Listener{Listener: listener, Start: start}) }()
	t.Cleanup(func() {
		require.NoError(t, server.Close())
		require.ErrorIs(t, <-ended, http.ErrServerClosed)
	})
	return listener.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return conn
}

// readAnswer returns the status and the body of the next answer.
func readAnswer(t *testing.T, r *bufio.Reader) (int, string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	defer func() { require.NoError(t, resp.Body.Close()) }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(body)
}

const request = "GET /%d HTTP/1.1\r\nHost: x\r\n\r\n"

// Guards against servers that go on with a request whose caller has left, because it had pipelined a further one:
// GONE on trouble-2 of zverak-hire.
func TestCallerThatPipelinesAndLeaves(t *testing.T) {
	for name, further := range map[string]int{"no further request": 0, "one further request": 1, "many": 300} {
		t.Run(name, func(t *testing.T) {
			started, left := make(chan struct{}), make(chan struct{})
			address := serve(t, nil, func(ctx context.Context, _ http.ResponseWriter, _ *http.Request) {
				close(started)
				<-ctx.Done()
				close(left)
			})
			conn := dial(t, address)
			_, err := fmt.Fprintf(conn, request, 0)
			require.NoError(t, err)
			<-started
			for i := range further {
				_, err := fmt.Fprintf(conn, request, i+1)
				require.NoError(t, err)
			}
			time.Sleep(50 * time.Millisecond)
			require.NoError(t, conn.Close())
			select {
			case <-left:
			case <-time.After(3 * time.Second):
				t.Fatal("the request goes on")
			}
		})
	}
}

// Guards against requests that are lost, cut or answered out of order because they were read ahead, in pieces and
// beyond what is read ahead, and against a connection that stays unusable after a timeout of net/http.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	address := serve(t, nil, func(_ context.Context, w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Millisecond)
		body, err := io.ReadAll(r.Body)
		if err == nil {
			_, _ = fmt.Fprintf(w, "%s %s", r.URL.Path, body)
		}
	})
	conn := dial(t, address)
	const n = 500
	go func() {
		for i := range n {
			head := fmt.Sprintf(request, i)
			if i%7 == 0 {
				head = fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: x\r\nContent-Length: 3000\r\n\r\n%s", i, strings.Repeat("b", 3000))
			}
			for len(head) > 0 {
				piece := head[:min(len(head), 1+(i*13)%977)]
				head = head[len(piece):]
				if _, err := io.WriteString(conn, piece); err != nil {
					return
				}
			}
			if i%50 == 0 {
				time.Sleep(20 * time.Millisecond)
			}
		}
	}()
	r := bufio.NewReader(conn)
	for i := range n {
		_, body := readAnswer(t, r)
		want := fmt.Sprintf("/%d ", i)
		if i%7 == 0 {
			want += strings.Repeat("b", 3000)
		}
		require.Equal(t, want, body)
	}
	time.Sleep(100 * time.Millisecond)
	_, err := fmt.Fprintf(conn, request, n)
	require.NoError(t, err)
	status, _ := readAnswer(t, r)
	require.Equal(t, http.StatusOK, status)
}

// Guards against a slow first request that makes those behind it worthless, and against answers that belong to another
// request of the connection or come out of order. Requests with a body wait for their turn.
func TestRequestsBehindASlowOneAreWorkedOn(t *testing.T) {
	release := make(chan struct{})
	all := make(chan string, 10)
	address := serve(t, func(_ context.Context, r *http.Request) gwpipeline.Pending {
		if r.Method != http.MethodGet {
			return nil
		}
		all <- r.URL.Path
		s := &started{ready: make(chan struct{}), answer: "early " + r.URL.Path}
		close(s.ready)
		return s
	}, func(_ context.Context, w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/0" {
			<-release
		}
		body, err := io.ReadAll(r.Body)
		if err == nil {
			_, _ = fmt.Fprintf(w, "turn %s %s", r.URL.Path, body)
		}
	})
	conn := dial(t, address)
	post := "POST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\n\r\nGET /x"
	_, err := fmt.Fprintf(conn, request+request+post+request, 0, 1, 3)
	require.NoError(t, err)
	require.Equal(t, "/1", <-all)
	require.Equal(t, "/3", <-all)
	time.Sleep(20 * time.Millisecond)
	_, err = fmt.Fprintf(conn, request, 4)
	require.NoError(t, err)
	require.Equal(t, "/4", <-all)
	close(release)
	r := bufio.NewReader(conn)
	for _, want := range []string{"turn /0 ", "early /1", "turn /2 GET /x", "early /3", "early /4"} {
		_, body := readAnswer(t, r)
		require.Equal(t, want, body)
	}
	_, err = fmt.Fprintf(conn, request, 5)
	require.NoError(t, err)
	_, body := readAnswer(t, r)
	require.Equal(t, "turn /5 ", body, "its turn comes at once")
}

// Guards against work for requests whose turn will not come, since the connection ends before.
func TestRequestsAreAbandonedWithTheirConnection(t *testing.T) {
	abandoned := make(chan struct{})
	begun := make(chan context.Context, 1)
	address := serve(t, func(ctx context.Context, _ *http.Request) gwpipeline.Pending {
		begun <- ctx
		return &started{ready: make(chan struct{}), abandoned: abandoned}
	}, func(ctx context.Context, _ http.ResponseWriter, _ *http.Request) {
		<-ctx.Done()
	})
	conn := dial(t, address)
	_, err := fmt.Fprintf(conn, request+request, 0, 1)
	require.NoError(t, err)
	ctx := <-begun
	require.NoError(t, conn.Close())
	<-ctx.Done()
	select {
	case <-abandoned:
	case <-time.After(3 * time.Second):
		t.Fatal("the request is not abandoned")
	}
}

// Guards against a crash, or a request that is found where there is none, in whatever a caller sends.
func FuzzFinder(f *testing.F) {
	f.Add([]byte("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n" +
		"POST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET /3 HTTP/1.1\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		client, server := net.Pipe()
		go func() {
			_, _ = client.Write(data)
			_ = client.Close()
		}()
		conn := gwpipeline.NewConn(server, func(context.Context, *http.Request) gwpipeline.Pending { return nil })
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	})
}
