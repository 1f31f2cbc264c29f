package gwfakes

import (
	"net/http"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// loadSample is the load that is reported until it is older than the configured age.
type loadSample struct {
	taken    time.Time
	inFlight int
}

func (s *Server) reportLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	now := s.now()
	if s.load.taken.IsZero() || now.Sub(s.load.taken) >= s.options.loadAge {
		s.load = loadSample{taken: now, inFlight: s.slots.running}
	}
	report := gw.LoadReport{
		Server:          s.entry.Name,
		Incarnation:     s.incarnation,
		InFlight:        s.load.inFlight,
		Slots:           s.slots.slots,
		AgeMilliseconds: now.Sub(s.load.taken).Milliseconds(),
	}
	s.mu.Unlock()
	if report.Slots > 0 {
		report.Utilisation = float64(report.InFlight) / float64(report.Slots) * s.options.loadFactor
	}
	writeJSON(w, http.StatusOK, report)
}
