package gwfakes

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
)

// Query parameter of work that pads the answer to at least this many bytes, for tests of long answers.
const (
	answerBytesParameter = "answer-bytes"
	maxAnswerBytes       = 1 << 30
	// chunkBytes is the size of the pieces in which a long answer is written.
	chunkBytes = 32 << 10
)

// answer writes the register as JSON, padded with spaces. The slot is free before the last piece leaves:
// a caller that has the whole answer may send its next request at once, which must find the slot free.
func (c *workCall) answer(w http.ResponseWriter, value register) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	length := int64(len(body))
	if n, err := strconv.ParseInt(c.request.URL.Query().Get(answerBytesParameter), 10, 64); err == nil {
		length = max(length, min(n, maxAnswerBytes))
	}
	s := c.server
	s.setHeaders(w, c.request)
	w.Header().Set("Content-Type", "application/json")
	out := s.faultyAnswer(w, c.request)
	s.mu.Lock()
	endless := s.faults.endless
	s.mu.Unlock()
	if endless {
		c.end()
		s.writeEndlessly(out)
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	padding := bytes.Repeat([]byte{' '}, int(min(length, chunkBytes)))
	for length > 0 {
		piece := padding[:min(length, chunkBytes)]
		if body != nil {
			piece, body = body, nil
		}
		length -= int64(len(piece))
		if length == 0 {
			c.end()
		}
		if _, err := out.Write(piece); err != nil {
			return
		}
	}
}

// faultyAnswer returns a writer that cuts the answer if the fault is set.
func (s *Server) faultyAnswer(w http.ResponseWriter, r *http.Request) *faultyWriter {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := int64(noLimit)
	if s.faults.cut {
		left = s.faults.cutAfter
	}
	return &faultyWriter{ResponseWriter: w, server: s, request: r, left: left}
}
