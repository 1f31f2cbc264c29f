package gwfakes

import (
	"errors"
	"net/http"
	"slices"

	gw "github.com/geraniumworks/geraniumworks"
)

// refusedStatus is the body of status 409.
type refusedStatus struct {
	refusal
	Status gw.ServerStatus `json:"status"`
}

// addressed is the body of describe and drain.
type addressed struct {
	Server gw.ServerName `json:"server"`
}

func (s *Server) controlRoutes() {
	s.mux.HandleFunc("POST /gw/describe", s.control(s.describe))
	s.mux.HandleFunc("POST /gw/grant", s.control(s.grant))
	s.mux.HandleFunc("POST /gw/release", s.control(s.release))
	s.mux.HandleFunc("POST /gw/drain", s.control(s.drain))
	s.mux.HandleFunc("GET /gw/load", s.control(s.reportLoad))
	s.mux.HandleFunc("GET /gw/health", s.control(s.health))
}

// control wraps a control path with the faults that concern every path but /admin/.
func (s *Server) control(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.awaitHeard(r)
		next(&faultyWriter{ResponseWriter: w, server: s, request: r, left: noLimit}, r)
	}
}

func (s *Server) describe(w http.ResponseWriter, r *http.Request) {
	var m addressed
	if !readJSON(w, r, adminBodyBytes, &m) {
		return
	}
	s.answerStatus(w, s.checkName(m.Server))
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	var m addressed
	if !readJSON(w, r, adminBodyBytes, &m) {
		return
	}
	err := s.checkName(m.Server)
	if err == nil {
		s.mu.Lock()
		s.draining = true
		if s.fence != nil {
			s.fence.Drain()
		}
		s.broadcast()
		s.mu.Unlock()
	}
	s.answerStatus(w, err)
}

func (s *Server) checkName(name gw.ServerName) error {
	if name != s.entry.Name {
		return ErrMisaddressed
	}
	return nil
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var g gw.Grant
	if !readJSON(w, r, adminBodyBytes, &g) {
		return
	}
	s.mu.Lock()
	if s.fence == nil {
		s.mu.Unlock()
		refuseUnfenced(w)
		return
	}
	err := s.fence.Grant(s.clock.Read(), g)
	if err == nil {
		s.broadcast()
	}
	status := s.status()
	s.mu.Unlock()
	writeStatus(w, status, err)
}

// release answers when no work for the ranges is running, or when the caller has gone.
func (s *Server) release(w http.ResponseWriter, r *http.Request) {
	var rel gw.Release
	if !readJSON(w, r, adminBodyBytes, &rel) {
		return
	}
	s.mu.Lock()
	if s.fence == nil {
		s.mu.Unlock()
		refuseUnfenced(w)
		return
	}
	err := s.fence.Release(rel)
	if err == nil {
		s.broadcast()
	}
	for {
		done := err != nil
		if !done {
			done, err = s.fence.Released(rel)
		}
		if done || err != nil {
			break
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
	}
	status := s.status()
	s.mu.Unlock()
	writeStatus(w, status, err)
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct {
		Status string `json:"status"`
	}{"ok"})
}

func (s *Server) answerStatus(w http.ResponseWriter, err error) {
	writeStatus(w, s.Status(), err)
}

// controlCodes are the codes of status 409 by the errors of a Fence.
var controlCodes = []struct {
	err  error
	code string
}{
	{ErrMisaddressed, "other-server"},
	{gw.ErrOtherIncarnation, "other-incarnation"},
	{gw.ErrStaleEpoch, "stale-epoch"},
	{gw.ErrStaleRevision, "stale-revision"},
	{gw.ErrPastDeadline, "past-deadline"},
}

func writeStatus(w http.ResponseWriter, status gw.ServerStatus, err error) {
	if err == nil {
		writeJSON(w, http.StatusOK, status)
		return
	}
	for _, c := range controlCodes {
		if errors.Is(err, c.err) {
			writeJSON(w, http.StatusConflict, refusedStatus{refusal{c.code, err.Error()}, status})
			return
		}
	}
	refuse(w, http.StatusBadRequest, "bad-request", err.Error())
}

func refuseUnfenced(w http.ResponseWriter) {
	refuse(w, http.StatusNotImplemented, "no-fencing", "the server does not check fencing")
}

// Ranges returns the ranges that the server holds.
func (s *Server) Ranges() []gw.GrantedRange {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fence == nil {
		return nil
	}
	return slices.Clone(s.fence.Ranges())
}
