package gwfakes

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

const (
	// maxKeyBytes bounds a key.
	maxKeyBytes = 1 << 10
	// swapBodyBytes is the size of a value somewhat above the limit in base64, so that it is refused as too
	// large and not as a bad request.
	swapBodyBytes = 2 * gw.MaxValueBytes
	// maxWatchWait bounds a waiting watch.
	maxWatchWait = time.Minute
)

type storedValue struct {
	Key     string          `json:"key"`
	Version gw.StoreVersion `json:"version"`
	Data    []byte          `json:"data"`
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	key, ok := readKey(w, r.FormValue("key"))
	if !ok {
		return
	}
	s.mu.Lock()
	v, err := s.values.Get(s.now(), key)
	s.mu.Unlock()
	if err != nil {
		refuseStore(w, err)
		return
	}
	writeJSON(w, http.StatusOK, storedValue(v))
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	values := s.values.List(s.now(), r.FormValue("prefix"))
	s.mu.Unlock()
	answer := struct {
		Values []storedValue `json:"values"`
	}{Values: make([]storedValue, 0, len(values))}
	for _, v := range values {
		answer.Values = append(answer.Values, storedValue(v))
	}
	writeJSON(w, http.StatusOK, answer)
}

func (s *Store) compareAndSwap(w http.ResponseWriter, r *http.Request) {
	var swap struct {
		Key      string          `json:"key"`
		Expected gw.StoreVersion `json:"expected"`
		Data     []byte          `json:"data"`
		Lease    string          `json:"lease"`
	}
	if !readJSON(w, r, swapBodyBytes, &swap) {
		return
	}
	if _, ok := readKey(w, swap.Key); !ok {
		return
	}
	apply := func() (gw.StoreVersion, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		version, err := s.values.CompareAndSwap(s.now(), swap.Key, swap.Expected, swap.Data, swap.Lease)
		if err == nil {
			s.broadcast()
		}
		return version, err
	}
	lose, late := s.takeWriteFault()
	if late > 0 {
		time.AfterFunc(late, func() { _, _ = apply() })
		loseAnswer()
	}
	version, err := apply()
	if lose {
		loseAnswer()
	}
	if err != nil {
		refuseStore(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Version gw.StoreVersion `json:"version"`
	}{version})
}

// watch answers 204 when the version is not above after within the wait.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	key, ok := readKey(w, r.FormValue("key"))
	if !ok {
		return
	}
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, "bad-request", "after is not a version")
		return
	}
	ms, err := strconv.ParseInt(r.FormValue("wait-milliseconds"), 10, 64)
	if err != nil || ms < 0 {
		refuse(w, http.StatusBadRequest, "bad-request", "wait-milliseconds is not a length of time")
		return
	}
	timer := time.NewTimer(min(milliseconds(ms), maxWatchWait))
	defer timer.Stop()
	for {
		s.mu.Lock()
		v, err := s.values.Get(s.now(), key)
		changed, down := s.changed, s.faults.down
		s.mu.Unlock()
		if down != "" {
			s.answerDown(w, r, down)
			return
		}
		if err == nil && v.Version > gw.StoreVersion(after) {
			writeJSON(w, http.StatusOK, storedValue(v))
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			loseAnswer()
		}
	}
}

// readKey answers 400 and returns false for an empty or too long key.
func readKey(w http.ResponseWriter, key string) (string, bool) {
	if key == "" || len(key) > maxKeyBytes {
		refuse(w, http.StatusBadRequest, "bad-request", "key has no byte or more than 1024")
		return "", false
	}
	return key, true
}

func refuseStore(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, gw.ErrNotFound):
		refuse(w, http.StatusNotFound, "not-found", "no value under the key")
	case errors.Is(err, gw.ErrConflict):
		refuse(w, http.StatusConflict, "conflict", "the key has another version")
	case errors.Is(err, gw.ErrValueTooLarge):
		refuse(w, http.StatusRequestEntityTooLarge, "value-too-large", "the value is above 1 MiB")
	default:
		refuse(w, http.StatusBadRequest, "bad-request", err.Error())
	}
}
