package gwfakes

import (
	"net/http"

	"github.com/google/uuid"

	gw "github.com/geraniumworks/geraniumworks"
)

func (s *Server) adminRoutes() {
	type length struct {
		Milliseconds int64 `json:"milliseconds"`
	}
	handle := func(name string, h http.HandlerFunc) { s.mux.HandleFunc("POST /admin/"+name, h) }
	handle("freeze", admin(func(v length) { s.Freeze(milliseconds(v.Milliseconds)) }))
	handle("cut-answers", admin(func(v struct {
		Bytes int64 `json:"bytes"`
	},
	) {
		s.CutAnswers(v.Bytes)
	}))
	handle("answer-late", admin(func(v length) { s.AnswerLate(milliseconds(v.Milliseconds)) }))
	handle("answer-endlessly", admin(func(v length) { s.AnswerEndlessly(milliseconds(v.Milliseconds)) }))
	handle("wrong-request-id", admin(func(struct{}) { s.AnswerWrongID() }))
	handle("silence", admin(func(struct{}) { s.Silence() }))
	handle("straggle", admin(func(v struct {
		Factor float64 `json:"factor"`
	},
	) {
		s.Straggle(v.Factor)
	}))
	handle("cold", admin(func(v struct {
		Percent      int   `json:"percent"`
		Milliseconds int64 `json:"milliseconds"`
	},
	) {
		s.TurnCold(v.Percent, milliseconds(v.Milliseconds))
	}))
	handle("restart", s.restart)
	handle("leave", admin(func(struct{}) { s.SetLeaving() }))
	handle("reset", admin(func(struct{}) { s.ResetFaults() }))
	s.mux.HandleFunc("GET /admin/executions", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, s.Executions(r.FormValue("only") == "repeated"))
	})
	s.mux.HandleFunc("GET /admin/state", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.State())
	})
}

// restart restarts the server and closes all connections but the one of this call.
func (s *Server) restart(w http.ResponseWriter, r *http.Request) {
	admin(func(v struct {
		Incarnation gw.Incarnation `json:"incarnation"`
	},
	) {
		if v.Incarnation == "" {
			v.Incarnation = gw.Incarnation(uuid.NewString())
		}
		s.reset(v.Incarnation)
		s.conns.closeExcept(connNumber(r.Context()))
	})(w, r)
}

// ServerState is what the admin path tells about a server.
type ServerState struct {
	Status          gw.ServerStatus   `json:"status"`
	SessionLive     bool              `json:"session-live"`
	Ranges          []gw.GrantedRange `json:"ranges"`
	Running         int               `json:"running"`
	Limit           int               `json:"limit"`
	OpenConnections int               `json:"open-connections"`
}

// State returns the server's state as it is, even while the server is frozen.
func (s *Server) State() ServerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := ServerState{
		Status:          s.status(),
		Running:         s.slots.running,
		Limit:           s.slots.limit(s.now()),
		OpenConnections: s.conns.count(),
	}
	if s.fence != nil {
		state.SessionLive = s.fence.Live(state.Status.Clock)
		state.Ranges = s.fence.Ranges()
	}
	return state
}
