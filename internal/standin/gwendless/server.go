// Package gwendless is a server whose answers never end, for tests of programs that read answers.
package gwendless

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// writeBytes is the size of the writes of a fast answer.
	writeBytes = 32 << 10
	// trickleBytes and trickleInterval are the size and the interval of the writes of a slow answer.
	trickleBytes    = 4
	trickleInterval = 50 * time.Millisecond
)

// Server answers every request with the start of its answer and then with the same piece again and again, until the
// caller closes the connection.
type Server struct {
	answer   Answer
	listener net.Listener
	ended    chan error

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// served counts the requests that were read.
	served int
}

// Start starts a server on a free port of the loopback interface. Close stops it.
func Start(answer Answer) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{answer: answer, listener: l, ended: make(chan error, 1), conns: map[net.Conn]struct{}{}}
	go func() { s.ended <- s.accept() }()
	return s, nil
}

// Address returns the address of the server.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Open returns the number of connections that the caller has not closed.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Served returns the number of requests that were read.
func (s *Server) Served() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served
}

// Close closes all connections. It returns when the server has stopped, with the error if it stopped by itself.
func (s *Server) Close() error {
	_ = s.listener.Close()
	if err := <-s.ended; !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// accept serves connections until the listener is closed, and returns its error when all connections have ended.
func (s *Server) accept() error {
	ended := make(chan struct{})
	running := 0
	defer func() {
		s.closeConns()
		for ; running > 0; running-- {
			<-ended
		}
	}()
	accepted := make(chan net.Conn)
	failed := make(chan error, 1)
	go func() {
		for {
			conn, err := s.listener.Accept()
			if err != nil {
				failed <- err
				return
			}
			accepted <- conn
		}
	}()
	for {
		select {
		case conn := <-accepted:
			s.mu.Lock()
			s.conns[conn] = struct{}{}
			s.mu.Unlock()
			running++
			go func() {
				s.serve(conn)
				ended <- struct{}{}
			}()
		case <-ended:
			running--
		case err := <-failed:
			return err
		}
	}
}

func (s *Server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// serve reads one request and answers it until the connection fails.
func (s *Server) serve(conn net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		_ = conn.Close()
	}()
	id, err := s.read(bufio.NewReader(conn))
	if err != nil {
		return
	}
	s.mu.Lock()
	s.served++
	s.mu.Unlock()
	start := strings.ReplaceAll(s.answer.Start, "{id}", id)
	if s.answer.Slow {
		trickle(conn, start, s.answer.Piece)
	} else {
		flood(conn, start, s.answer.Piece)
	}
}

// read reads a request and returns its id.
func (s *Server) read(in *bufio.Reader) (string, error) {
	if s.answer.Unasked {
		_, err := in.ReadByte()
		return "", err
	}
	r, err := http.ReadRequest(in)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r.Header.Get(s.answer.IDHeader), err
}

// flood writes as fast as the connection takes it. The start and the first pieces leave in one write.
func flood(conn net.Conn, start, piece string) {
	block := bytes.Repeat([]byte(piece), writeBytes/len(piece)+1)
	if _, err := conn.Write(append([]byte(start), block...)); err != nil {
		return
	}
	for {
		if _, err := conn.Write(block); err != nil {
			return
		}
	}
}

// trickle writes the start at once and the pieces a few bytes at a time.
func trickle(conn net.Conn, start, piece string) {
	if _, err := io.WriteString(conn, start); err != nil {
		return
	}
	ticker := time.NewTicker(trickleInterval)
	defer ticker.Stop()
	block := strings.Repeat(piece, trickleBytes)
	for i := 0; ; i = (i + trickleBytes) % len(block) {
		if _, err := io.WriteString(conn, block[i:i+trickleBytes]); err != nil {
			return
		}
		<-ticker.C
	}
}
