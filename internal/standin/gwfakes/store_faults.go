package gwfakes

import (
	"net/http"
	"time"
)

// DownMode says how a store that is down behaves.
type DownMode string

// Modes of a store that is down.
const (
	// DownRefuse answers 503, which promises that the call had no effect.
	DownRefuse DownMode = "refuse"
	// DownClose closes the connection without an answer.
	DownClose DownMode = "close"
	// DownSilent neither answers nor closes the connection.
	DownSilent DownMode = "silent"
)

type storeFaults struct {
	down DownMode
	slow time.Duration
	// loseAnswers counts the coming writes whose answer is lost.
	loseAnswers int
	// late delays the coming writes, in this order; their answers are lost.
	late []time.Duration
}

// SetDown makes all calls fail until Reset. Waiting watches fail at once.
func (s *Store) SetDown(mode DownMode) {
	s.setFault(func(f *storeFaults) { f.down = mode })
}

// SetSlow delays every call.
func (s *Store) SetSlow(d time.Duration) {
	s.setFault(func(f *storeFaults) { f.slow = d })
}

// LoseNextAnswer applies the next write and closes its connection without an answer.
func (s *Store) LoseNextAnswer() {
	s.setFault(func(f *storeFaults) { f.loseAnswers++ })
}

// ApplyNextLate closes the connection of the next write without an answer and applies the write after d.
func (s *Store) ApplyNextLate(d time.Duration) {
	s.setFault(func(f *storeFaults) { f.late = append(f.late, d) })
}

// Reset ends all faults and sets the counts of calls to zero. Values and leases stay.
func (s *Store) Reset() {
	s.setFault(func(f *storeFaults) {
		*f = storeFaults{}
		s.calls = newCallCount()
	})
}

func (s *Store) setFault(set func(*storeFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set(&s.faults)
	s.broadcast()
}

// takeWriteFault returns the fault for one write and uses it up.
func (s *Store) takeWriteFault() (lose bool, late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults.late) > 0 {
		late = s.faults.late[0]
		s.faults.late = s.faults.late[1:]
		return false, late
	}
	if s.faults.loseAnswers > 0 {
		s.faults.loseAnswers--
		return true, 0
	}
	return false, 0
}

func (s *Store) answerDown(w http.ResponseWriter, r *http.Request, mode DownMode) {
	switch mode {
	case DownClose:
		loseAnswer()
	case DownSilent:
		s.awaitReset(r)
		loseAnswer()
	default:
		refuse(w, http.StatusServiceUnavailable, "unavailable", "the store is down")
	}
}

// awaitReset waits until the store is no longer silent or the caller has gone.
func (s *Store) awaitReset(r *http.Request) {
	drainBody(r)
	for {
		s.mu.Lock()
		changed, down := s.changed, s.faults.down
		s.mu.Unlock()
		if down != DownSilent {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) adminRoutes() {
	type length struct {
		Milliseconds int64 `json:"milliseconds"`
	}
	s.mux.HandleFunc("POST /admin/down", admin(func(v struct {
		Mode DownMode `json:"mode"`
	},
	) {
		if v.Mode == "" {
			v.Mode = DownRefuse
		}
		s.SetDown(v.Mode)
	}))
	s.mux.HandleFunc("POST /admin/slow", admin(func(v length) { s.SetSlow(milliseconds(v.Milliseconds)) }))
	s.mux.HandleFunc("POST /admin/lose-next-answer", admin(func(struct{}) { s.LoseNextAnswer() }))
	s.mux.HandleFunc("POST /admin/apply-next-late", admin(func(v length) {
		s.ApplyNextLate(milliseconds(v.Milliseconds))
	}))
	s.mux.HandleFunc("POST /admin/reset", admin(func(struct{}) { s.Reset() }))
	s.mux.HandleFunc("GET /admin/calls", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Calls())
	})
}
