package gwfakes

import "net/http"

type leaseMessage struct {
	Lease        string `json:"lease"`
	Milliseconds int64  `json:"milliseconds"`
}

func (s *Store) openLease(w http.ResponseWriter, r *http.Request) {
	var m leaseMessage
	if !readJSON(w, r, adminBodyBytes, &m) {
		return
	}
	if m.Milliseconds <= 0 {
		refuse(w, http.StatusBadRequest, "bad-request", "milliseconds is not above zero")
		return
	}
	s.mu.Lock()
	m.Lease = s.values.OpenLease(s.now(), milliseconds(m.Milliseconds))
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, m)
}

func (s *Store) renewLease(w http.ResponseWriter, r *http.Request) {
	s.changeLease(w, r, func(m leaseMessage) error {
		return s.values.RenewLease(s.now(), m.Lease, milliseconds(m.Milliseconds))
	})
}

func (s *Store) closeLease(w http.ResponseWriter, r *http.Request) {
	s.changeLease(w, r, func(m leaseMessage) error {
		return s.values.CloseLease(s.now(), m.Lease)
	})
}

func (s *Store) changeLease(w http.ResponseWriter, r *http.Request, change func(leaseMessage) error) {
	var m leaseMessage
	if !readJSON(w, r, adminBodyBytes, &m) {
		return
	}
	s.mu.Lock()
	err := change(m)
	s.mu.Unlock()
	if err != nil {
		refuse(w, http.StatusNotFound, "no-lease", "the lease does not exist or has expired")
		return
	}
	writeJSON(w, http.StatusOK, m)
}
