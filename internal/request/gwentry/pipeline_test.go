package gwentry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

const pipelinedRequest = "%s /claims/%d HTTP/1.1\r\nHost: x\r\nGw-Tenant: harbour\r\nContent-Length: 0\r\n\r\n"

// pipelineScene is an entry host whose server answers the requests to /claims/0 only once release is closed.
type pipelineScene struct {
	sys     *system
	conn    net.Conn
	reader  *bufio.Reader
	release chan struct{}

	mu     sync.Mutex
	begun  []string
	ended  int
	change chan struct{}
}

func newPipelineScene(t *testing.T) *pipelineScene {
	t.Helper()
	s := &pipelineScene{release: make(chan struct{}), change: make(chan struct{}, 100)}
	server := echoServer(t, func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.begun = append(s.begun, r.Method+" "+r.URL.Path)
		s.mu.Unlock()
		s.change <- struct{}{}
		if strings.HasSuffix(r.URL.Path, "/0") {
			select {
			case <-s.release:
			case <-r.Context().Done():
			}
		}
		s.mu.Lock()
		s.ended++
		s.mu.Unlock()
		_, _ = io.WriteString(w, r.URL.Path+r.Header.Get("X-Mark"))
	})
	s.sys = newSystem(t, setup{
		local: true, servers: map[gw.ServerName]string{"s1": server},
		limits: gw.ServiceLimits{DeadlineMilliseconds: 8000, ProgressMilliseconds: 8000},
	})
	conn, err := net.Dial("tcp", s.sys.server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	s.conn, s.reader = conn, bufio.NewReader(conn)
	return s
}

func (s *pipelineScene) send(t *testing.T, method string, numbers ...int) {
	t.Helper()
	all := ""
	for _, n := range numbers {
		all += fmt.Sprintf(pipelinedRequest, method, n)
	}
	_, err := io.WriteString(s.conn, all)
	require.NoError(t, err)
}

// pipelineAnswer is an answer as the caller reads it.
type pipelineAnswer struct {
	status  int
	outcome string
	closes  bool
	body    string
}

func (s *pipelineScene) read(t *testing.T) pipelineAnswer {
	t.Helper()
	resp, err := http.ReadResponse(s.reader, nil)
	require.NoError(t, err)
	defer func() { require.NoError(t, resp.Body.Close()) }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return pipelineAnswer{
		status: resp.StatusCode, outcome: resp.Header.Get(gw.HeaderOutcome), closes: resp.Close, body: string(body),
	}
}

// Guards against a slow first request that makes those behind it late, against answers in another order than the
// requests, and against a request that may not be repeated and is begun before its turn.
func TestPipelinedRequests(t *testing.T) {
	s := newPipelineScene(t)
	s.send(t, http.MethodGet, 0, 1)
	<-s.change
	<-s.change
	s.send(t, http.MethodGet, 2)
	<-s.change
	s.send(t, http.MethodPost, 3)
	s.send(t, http.MethodGet, 4)
	<-s.change
	time.Sleep(50 * time.Millisecond)
	s.mu.Lock()
	require.ElementsMatch(t, []string{"GET /claims/0", "GET /claims/1", "GET /claims/2", "GET /claims/4"}, s.begun)
	s.mu.Unlock()
	close(s.release)
	for n := range 5 {
		answer := s.read(t)
		require.Equal(t, http.StatusOK, answer.status)
		require.Equal(t, fmt.Sprintf("/claims/%d", n), answer.body)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Len(t, s.begun, 5, "none ran twice")
}

// Guards against servers that go on with the requests of a caller that has left, and against slots that are never free.
func TestCallerLeavesPipelinedRequests(t *testing.T) {
	s := newPipelineScene(t)
	s.send(t, http.MethodGet, 0, 0, 0)
	for range 3 {
		<-s.change
	}
	require.NoError(t, s.conn.Close())
	eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		open, _ := s.sys.dispatcher.state()
		return s.ended == 3 && open == 0
	}, "the servers go on")
	s.sys.entry.Stop()
	require.NoError(t, s.sys.entry.Wait(t.Context()), "a request is counted as running for ever")
}

// Guards against a planned stop that closes a connection on which requests are still answered: those that were begun
// before it are answered, one behind them is told that it has not run.
func TestStopWithPipelinedRequests(t *testing.T) {
	s := newPipelineScene(t)
	s.send(t, http.MethodGet, 0, 1)
	<-s.change
	<-s.change
	s.sys.entry.Stop()
	s.send(t, http.MethodGet, 2)
	time.Sleep(50 * time.Millisecond)
	close(s.release)
	for n := range 2 {
		answer := s.read(t)
		require.Equal(t, http.StatusOK, answer.status)
		require.Equal(t, fmt.Sprintf("/claims/%d", n), answer.body)
	}
	refused := s.read(t)
	require.Equal(t, string(gw.OutcomeNotRun), refused.outcome)
	require.True(t, refused.closes)
	require.NoError(t, s.sys.entry.Wait(t.Context()))
}

// Guards against an answer that goes to another request: net/http accepts heads whose lines end without a carriage
// return, so that it may count the requests of a connection in another way than what looks for them before their turn.
func TestPipelinedRequestsThatDifferInHeaders(t *testing.T) {
	s := newPipelineScene(t)
	s.send(t, http.MethodGet, 0)
	<-s.change
	const bare = "GET /claims/1 HTTP/1.1\nHost: x\nGw-Tenant: harbour\n\n"
	const marked = "GET /claims/2 HTTP/1.1\r\nHost: x\r\nGw-Tenant: harbour\r\nX-Mark: %s\r\n\r\n"
	_, err := fmt.Fprintf(s.conn, bare+marked+marked, "-a", "-b")
	require.NoError(t, err)
	<-s.change
	<-s.change
	close(s.release)
	for _, body := range []string{"/claims/0", "/claims/1", "/claims/2-a", "/claims/2-b"} {
		require.Equal(t, body, s.read(t).body)
	}
}
