package gwfakes

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/process/gwtimer"
)

// decodeStrict refuses unknown fields, so that a misspelt field in a listing is noticed.
func decodeStrict(data []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	return dec.Decode(v)
}

func (h *HostList) routes() {
	h.mux.HandleFunc("GET /v1/hosts", h.hosts)
	h.mux.HandleFunc("PUT /admin/listing", h.putListing)
	h.mux.HandleFunc("PUT /admin/host", putEntry(h, func(l *gw.Listing) *[]gw.HostEntry { return &l.Hosts },
		func(e gw.HostEntry) string { return string(e.Name) }))
	h.mux.HandleFunc("PUT /admin/server", putEntry(h, func(l *gw.Listing) *[]gw.ServerEntry { return &l.Servers },
		func(e gw.ServerEntry) string { return string(e.Name) }))
	type name struct {
		Name string `json:"name"`
	}
	h.mux.HandleFunc("POST /admin/leaving", admin(func(v name) { h.MarkLeaving(v.Name) }))
	h.mux.HandleFunc("POST /admin/remove", admin(func(v name) { h.Remove(v.Name) }))
	type length struct {
		Milliseconds int64 `json:"milliseconds"`
	}
	h.mux.HandleFunc("POST /admin/lag", admin(func(v length) {
		h.setFault(func() { h.lag = milliseconds(v.Milliseconds) })
	}))
	h.mux.HandleFunc("POST /admin/slow", admin(func(v length) { h.SetSlow(milliseconds(v.Milliseconds)) }))
	h.mux.HandleFunc("POST /admin/down", admin(func(struct{}) { h.SetDown(true) }))
	h.mux.HandleFunc("POST /admin/reset", admin(func(struct{}) {
		h.setFault(func() { h.down, h.slow = false, 0 })
	}))
}

func (h *HostList) hosts(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	down, slow := h.down, h.slow
	h.mu.Unlock()
	if down {
		refuse(w, http.StatusServiceUnavailable, "unavailable", "the host list is down")
		return
	}
	if !gwtimer.Sleep(r.Context(), slow) {
		return
	}
	listing, err := h.Listing()
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, "unavailable", err.Error())
		return
	}
	writeJSON(w, http.StatusOK, listing)
}

func (h *HostList) putListing(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, adminBodyBytes))
	if err != nil {
		refuse(w, http.StatusBadRequest, "bad-request", err.Error())
		return
	}
	listing, err := parseListing(data)
	if err != nil {
		refuse(w, http.StatusBadRequest, "bad-request", err.Error())
		return
	}
	h.Change(func(l *gw.Listing) { *l = listing })
	writeJSON(w, http.StatusOK, struct{}{})
}

// putEntry adds an entry or replaces the one with the same name.
func putEntry[T any](h *HostList, list func(*gw.Listing) *[]T, name func(T) string) http.HandlerFunc {
	return admin(func(entry T) {
		h.Change(func(l *gw.Listing) {
			entries := list(l)
			i := slices.IndexFunc(*entries, func(e T) bool { return name(e) == name(entry) })
			if i < 0 {
				*entries = append(*entries, entry)
				return
			}
			(*entries)[i] = entry
		})
	})
}

// MarkLeaving sets the state of the host or server with the name to leaving.
func (h *HostList) MarkLeaving(name string) {
	h.Change(func(l *gw.Listing) {
		for i := range l.Hosts {
			if string(l.Hosts[i].Name) == name {
				l.Hosts[i].State = gw.EntryLeaving
			}
		}
		for i := range l.Servers {
			if string(l.Servers[i].Name) == name {
				l.Servers[i].State = gw.EntryLeaving
			}
		}
	})
}

// Remove deletes the host or server with the name.
func (h *HostList) Remove(name string) {
	h.Change(func(l *gw.Listing) {
		l.Hosts = slices.DeleteFunc(l.Hosts, func(e gw.HostEntry) bool { return string(e.Name) == name })
		l.Servers = slices.DeleteFunc(l.Servers, func(e gw.ServerEntry) bool { return string(e.Name) == name })
	})
}

// SetDown makes calls fail with 503.
func (h *HostList) SetDown(down bool) {
	h.setFault(func() { h.down = down })
}

// SetSlow delays calls.
func (h *HostList) SetSlow(d time.Duration) {
	h.setFault(func() { h.slow = d })
}

func (h *HostList) setFault(set func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	set()
}
