package gwbroken

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/geraniumworks/geraniumworks/internal/standin/gwfakes"
)

// Server gives every request the same answer and then closes the connection.
type Server struct {
	listener net.Listener
	ended    chan struct{}
	text     string
	idHeader string
	served   atomic.Int64
}

// Start starts a server on a free port of the loopback interface. The text {id} in its answer stands for the request's
// header idHeader. Close stops it.
func Start(text, idHeader string) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, ended: make(chan struct{}), text: text, idHeader: idHeader}
	go func() {
		gwfakes.ServeConns(l, s.serve)
		close(s.ended)
	}()
	return s, nil
}

// Address returns the address of the server.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Served returns the number of requests that were answered.
func (s *Server) Served() int64 {
	return s.served.Load()
}

// Close stops the server. It returns when the server accepts no more connections.
func (s *Server) Close() error {
	err := s.listener.Close()
	<-s.ended
	return err
}

// serve answers one request.
func (s *Server) serve(conn net.Conn, in *bufio.Reader) {
	r, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.served.Add(1)
	// An error means that the caller has closed the connection.
	_, _ = io.WriteString(conn, strings.ReplaceAll(s.text, "{id}", r.Header.Get(s.idHeader)))
}
