package gwfakes

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwserver"
	"github.com/geraniumworks/geraniumworks/internal/process/gwtimer"
)

// register is the value under a key, the path of its requests.
type register struct {
	Key string `json:"key"`
	// Writes counts the writes to the key.
	Writes int64 `json:"writes"`
	// Bytes and Hash are the length and the xxhash of the body of the last write.
	Bytes int64  `json:"bytes"`
	Hash  string `json:"hash"`
	// Token is the fencing token under which the request that returns the value has run, zero without fencing.
	Token gw.Revision `json:"token,omitempty"`
}

var (
	errTimedOut = errors.New("request timed out before its effect")
	errFull     = errors.New("server has too much work")
	errRestart  = errors.New("server has restarted")
)

// workCall is one request in progress.
type workCall struct {
	server  *Server
	request *http.Request
	// fence and incarnation are those of the run that admitted the request.
	fence       *Fence
	incarnation gw.Incarnation
	ticket      Ticket
	// token is the one that the request bears.
	token gw.Revision
	// deadline ends the request's right to have an effect, zero when it has none.
	deadline time.Time
	ended    bool
}

// work runs a request of a caller. Its effect, the register and the counts, happens in one critical section
// together with the last check of the fence.
func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	s.awaitHeard(r)
	call, err := s.admit(r)
	if err != nil {
		s.refuseWork(w, r, err)
		return
	}
	defer call.end()
	hash := xxhash.New()
	n, err := io.Copy(hash, r.Body)
	if err != nil {
		loseAnswer()
	}
	if err := call.run(); err != nil {
		call.end()
		s.refuseWork(w, r, err)
		return
	}
	value, late, err := call.apply(n, fmt.Sprintf("%016x", hash.Sum64()))
	if err != nil {
		call.end()
		s.refuseWork(w, r, err)
		return
	}
	s.awaitLate(late)
	call.answer(w, value)
}

// admit takes a slot and checks the request's right to run.
func (s *Server) admit(r *http.Request) (*workCall, error) {
	work, err := s.readWork(r)
	if err != nil {
		return nil, err
	}
	call := &workCall{server: s, request: r, token: work.Token}
	if ms, err := strconv.ParseInt(r.Header.Get(gw.HeaderTimeout), 10, 64); err == nil {
		call.deadline = s.now().Add(milliseconds(ms))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	call.fence, call.incarnation = s.fence, s.incarnation
	if s.draining {
		return nil, ErrDraining
	}
	if s.fence != nil {
		if call.ticket, err = s.fence.Start(s.clock.Read(), work); err != nil {
			return nil, err
		}
	}
	if !s.slots.take(s.now()) {
		if s.fence != nil {
			s.fence.Finish(call.ticket)
		}
		return nil, errFull
	}
	return call, nil
}

// readWork reads position and token. Without fencing they are not looked at.
func (s *Server) readWork(r *http.Request) (Work, error) {
	if !s.options.fencing || s.options.undivided {
		return Work{}, nil
	}
	work := Work{HasKey: true}
	if err := work.Position.UnmarshalText([]byte(r.Header.Get(gw.HeaderPosition))); err != nil {
		return Work{}, ErrWrongRange
	}
	token, err := strconv.ParseUint(r.Header.Get(gw.HeaderToken), 10, 64)
	if err != nil {
		return Work{}, ErrStaleToken
	}
	work.Token = gw.Revision(token)
	return work, nil
}

// run passes the service time.
func (c *workCall) run() error {
	s := c.server
	s.mu.Lock()
	d := s.options.service
	if s.faults.straggle > 0 {
		d = time.Duration(float64(d) * s.faults.straggle)
	}
	s.mu.Unlock()
	timedOut := false
	if left := c.deadline.Sub(s.now()); !c.deadline.IsZero() && left <= d {
		d, timedOut = left, true
	}
	// A caller that has gone does not stop the request, as in a server that does not look at its connection.
	gwtimer.Sleep(context.WithoutCancel(c.request.Context()), d)
	s.awaitThaw()
	if timedOut {
		return errTimedOut
	}
	return nil
}

// apply has the request's effect, unless the right to it has ended.
func (c *workCall) apply(bytes int64, hash string) (value register, late time.Duration, err error) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnation != c.incarnation {
		return register{}, 0, errRestart
	}
	if c.fence != nil {
		if err := c.fence.Confirm(s.clock.Read(), c.ticket); err != nil {
			return register{}, 0, err
		}
	}
	key := c.request.URL.Path
	value = s.registers[key]
	value.Key = key
	if c.request.Method == http.MethodPut || c.request.Method == http.MethodPost {
		value.Writes++
		value.Bytes, value.Hash = bytes, hash
		s.registers[key] = value
	}
	value.Token = c.token
	s.executions.add(c.request.Header.Get(gw.HeaderOperationID), c.request.Header.Get(gw.HeaderRequestID))
	return value, s.faults.late, nil
}

// end frees the slot and the ticket. It may be called more than once.
func (c *workCall) end() {
	if c.ended {
		return
	}
	c.ended = true
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnation != c.incarnation {
		return
	}
	s.slots.release()
	if c.fence != nil {
		c.fence.Finish(c.ticket)
	}
	s.broadcast()
}

func (s *Server) refuseWork(w http.ResponseWriter, r *http.Request, err error) {
	reason := refusalReason(err)
	s.mu.Lock()
	s.executions.refused[reason]++
	s.mu.Unlock()
	s.setHeaders(w, r)
	w.Header().Set(gw.HeaderOutcome, string(gw.OutcomeNotRun))
	w.Header().Set(gw.HeaderReason, string(reason))
	writeJSON(&faultyWriter{ResponseWriter: w, server: s, request: r, left: noLimit},
		http.StatusServiceUnavailable, struct {
			Reason  gw.Reason  `json:"reason"`
			Outcome gw.Outcome `json:"outcome"`
			Detail  string     `json:"detail"`
		}{reason, gw.OutcomeNotRun, err.Error()})
}

func refusalReason(err error) gw.Reason {
	switch {
	case errors.Is(err, errFull):
		return gw.ReasonOverloaded
	case errors.Is(err, ErrDraining):
		return gwserver.ReasonDraining
	case errors.Is(err, ErrWrongRange):
		return gwserver.ReasonWrongRange
	case errors.Is(err, ErrStaleToken):
		return gwserver.ReasonStaleToken
	case errors.Is(err, errTimedOut):
		return gwserver.ReasonTimedOut
	default:
		return gwserver.ReasonNoSession
	}
}

// setHeaders sets the headers that every answer to work bears.
func (s *Server) setHeaders(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.Header.Get(gw.HeaderRequestID)
	if s.faults.wrongID {
		id = uuid.NewString()
	}
	w.Header().Set(gw.HeaderRequestID, id)
	w.Header().Set(gw.HeaderIncarnation, string(s.incarnation))
	w.Header().Set(gw.HeaderServer, string(s.entry.Name))
}
