package gwfakes

import (
	"bytes"
	"net/http"
	"time"
)

// noLimit is the number of bytes of an answer that is not cut.
const noLimit = -1

type serverFaults struct {
	frozenUntil time.Time
	// cutAfter closes the connection of every work answer after this many bytes of its body.
	cutAfter int64
	cut      bool
	late     time.Duration
	wrongID  bool
	// silentUpTo is the number of the newest connection that gets no answers.
	silentUpTo int64
	straggle   float64
	// endless makes the answers to work never end. endlessPause is the pause between their pieces.
	endless      bool
	endlessPause time.Duration
}

// Freeze stops the server for d: nothing is read, run or answered, while its own clock goes on.
func (s *Server) Freeze(d time.Duration) {
	s.setFault(func(f *serverFaults) { f.frozenUntil = s.now().Add(d) })
}

// CutAnswers closes the connection of every work answer after n bytes of its body.
func (s *Server) CutAnswers(n int64) {
	s.setFault(func(f *serverFaults) { f.cutAfter, f.cut = n, true })
}

// AnswerLate delays the answer to work, which has then had its effect, by d.
func (s *Server) AnswerLate(d time.Duration) {
	s.setFault(func(f *serverFaults) { f.late = d })
}

// AnswerWrongID answers work with a request id that nobody sent.
func (s *Server) AnswerWrongID() {
	s.setFault(func(f *serverFaults) { f.wrongID = true })
}

// AnswerEndlessly makes the bodies of answers to work go on until the caller closes the connection or the fault ends,
// with a pause between pieces of a few bytes, or as fast as the connection takes them when the pause is zero.
func (s *Server) AnswerEndlessly(pause time.Duration) {
	s.setFault(func(f *serverFaults) { f.endless, f.endlessPause = true, pause })
}

// Silence makes the connections that are open now silent: what they send is not run and not answered. New
// connections work.
func (s *Server) Silence() {
	last := s.conns.last.Load()
	s.setFault(func(f *serverFaults) { f.silentUpTo = last })
}

// Straggle multiplies the service time by factor.
func (s *Server) Straggle(factor float64) {
	s.setFault(func(f *serverFaults) { f.straggle = factor })
}

// TurnCold limits the server to percent of its slots for d.
func (s *Server) TurnCold(percent int, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots.coldPercent, s.slots.coldUntil = percent, s.now().Add(d)
}

// ResetFaults ends all faults. Requests on silent connections get no answer.
func (s *Server) ResetFaults() {
	s.setFault(func(f *serverFaults) { *f = serverFaults{} })
}

func (s *Server) setFault(set func(*serverFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set(&s.faults)
	s.broadcast()
}

// awaitThaw waits until the server is not frozen.
func (s *Server) awaitThaw() {
	for {
		s.mu.Lock()
		left, changed := s.faults.frozenUntil.Sub(s.now()), s.changed
		s.mu.Unlock()
		if left <= 0 {
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-timer.C:
		case <-changed:
			timer.Stop()
		}
	}
}

// awaitLate waits for d, or until the fault ends. A caller that has given up does not shorten it: the slot
// stays occupied.
func (s *Server) awaitLate(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		s.mu.Lock()
		ended, changed := s.faults.late == 0, s.changed
		s.mu.Unlock()
		if ended {
			return
		}
		select {
		case <-timer.C:
			return
		case <-changed:
		}
	}
}

// silent reports whether the request came on a connection that gets no answers.
func (s *Server) silent(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return connNumber(r.Context()) <= s.faults.silentUpTo && s.faults.silentUpTo > 0
}

// awaitHeard waits until the server is not frozen. On a silent connection it waits until the connection or
// the fault ends, and closes it without an answer.
func (s *Server) awaitHeard(r *http.Request) {
	s.awaitThaw()
	if !s.silent(r) {
		return
	}
	drainBody(r)
	for s.silent(r) {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			loseAnswer()
		}
	}
	loseAnswer()
}

// faultyWriter applies the faults that concern the sending of an answer.
type faultyWriter struct {
	http.ResponseWriter
	server  *Server
	request *http.Request
	// left is the number of bytes until the connection is closed, or noLimit.
	left int64
}

// Write implements http.ResponseWriter.
func (w *faultyWriter) Write(p []byte) (int, error) {
	w.server.awaitHeard(w.request)
	if w.left == noLimit {
		return w.ResponseWriter.Write(p)
	}
	if int64(len(p)) < w.left {
		w.left -= int64(len(p))
		return w.ResponseWriter.Write(p)
	}
	if w.left > 0 {
		_, _ = w.ResponseWriter.Write(p[:w.left])
		// Without the flush, the bytes before the cut would stay in the server's buffer.
		_ = http.NewResponseController(w.ResponseWriter).Flush()
	}
	loseAnswer()
	return 0, nil
}

// endlessPiece is what an endless answer consists of. A piece is repeated to a chunk when there is no pause.
const endlessPiece = "more"

// writeEndlessly writes an answer that never ends, and closes the connection when the fault ends.
func (s *Server) writeEndlessly(w *faultyWriter) {
	rc := http.NewResponseController(w.ResponseWriter)
	chunk := bytes.Repeat([]byte(endlessPiece), chunkBytes/len(endlessPiece))
	for {
		s.mu.Lock()
		on, pause := s.faults.endless, s.faults.endlessPause
		s.mu.Unlock()
		if !on {
			loseAnswer()
		}
		piece := chunk
		if pause > 0 {
			piece = chunk[:len(endlessPiece)]
		}
		if _, err := w.Write(piece); err != nil || rc.Flush() != nil {
			return
		}
		select {
		case <-time.After(pause):
		case <-w.request.Context().Done():
			return
		}
	}
}
