//go:build review

package main

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, deleted when it is the event of a removal.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreatedAt int64  `json:"created_at,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Deleted   bool   `json:"deleted,omitempty"`
}

// txn is the body of a conditional write.
type txn struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expect"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"writes"`
	Remove []string `json:"remove"`
}

// copyOf is the state of the store at a time.
type copyOf struct {
	at       time.Time
	revision int64
	items    map[string]item
	leases   map[int64]lease
}

// lease is a lease of the store.
type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in for the platform's metadata store.
type store struct {
	address string
	rec     *record

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	changed  chan struct{}
	// era counts the restores, down is set while the store is away. copies are the states of the last seconds.
	era int
	// oldest is the revision before which there is no history.
	oldest int64
	down   bool
	copies []copyOf
	// lose decides whether a write gets no answer, and how much later it is done. It is called with mu held.
	lose func(t txn) (late time.Duration, lost bool)
	// writes and lost count the writes since countFrom.
	counting     bool
	writes, lost int
}

func newStore(rec *record, ip string) (*store, error) {
	s := &store{
		era: 1,
		rec: rec, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{}), revision: 100,
	}
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.getKey)
	mux.HandleFunc("GET /kv-range", s.getRange)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.transact)
	mux.HandleFunc("POST /kv-lease", s.startLease)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	go func() { _ = http.Serve(listener, s.guard(mux)) }()
	go s.expire()
	go s.copyAll()
	return s, nil
}

// guard adds the era to all answers, and turns calls away while the store is down.
func (s *store) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		era, down := s.era, s.down
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.Itoa(era))
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// copyAll keeps copies of the last 12 seconds.
func (s *store) copyAll() {
	for range time.Tick(250 * time.Millisecond) {
		s.mu.Lock()
		c := copyOf{at: time.Now(), revision: s.revision, items: maps.Clone(s.items), leases: map[int64]lease{}}
		for id, l := range s.leases {
			c.leases[id] = *l
		}
		s.copies = append(s.copies, c)
		s.copies = s.copies[max(len(s.copies)-48, 0):]
		s.mu.Unlock()
	}
}

// takeDown makes the store answer nothing but 503, and cuts watches.
func (s *store) takeDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
	s.notify()
	s.rec.printf("store: down")
}

// restore brings the store back from a copy of the given age.
func (s *store) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	want := time.Now().Add(-age)
	from := s.copies[0]
	for _, c := range s.copies {
		if c.at.Before(want) {
			from = c
		}
	}
	s.era++
	s.revision, s.items, s.history, s.leases = from.revision, maps.Clone(from.items), nil, map[int64]*lease{}
	for id, l := range from.leases {
		s.leases[id] = &lease{ttl: l.ttl, end: time.Now().Add(l.ttl)}
	}
	s.oldest, s.copies, s.down = s.revision, nil, false
	s.notify()
	s.rec.printf("store: back from a copy of %v ago, revision %d, era %d", time.Since(from.at), s.revision, s.era)
}

// put writes a key of the operator or of a server.
func (s *store) put(key string, value any) {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	s.revision++
	s.set(key, data, 0)
	s.notify()
}

// remove removes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok && !s.down {
		s.revision++
		s.drop(key)
		s.notify()
	}
}

func (s *store) set(key string, value []byte, lease int64) {
	it := item{Key: key, Value: value, Revision: s.revision, CreatedAt: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.CreatedAt = old.CreatedAt
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *store) drop(key string) {
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends leases whose time has passed.
func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.end) {
				s.endOf(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endOf(id int64) {
	delete(s.leases, id)
	var gone []string
	for key, it := range s.items {
		if it.Lease == id {
			gone = append(gone, key)
		}
	}
	if len(gone) == 0 {
		return
	}
	s.revision++
	for _, key := range gone {
		s.drop(key)
		s.rec.printf("store: lease %d has ended, %s is removed", id, key)
	}
	s.notify()
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		StoreRevision int64 `json:"store_revision"`
	}{it, at})
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if s.down || s.era != era || after > s.revision || after < s.oldest {
			down := s.down
			s.mu.Unlock()
			if down {
				panic(http.ErrAbortHandler)
			}
			answer(w, http.StatusGone, struct{}{})
			return
		}
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	if s.counting {
		s.writes++
	}
	if s.lose != nil {
		if late, lost := s.lose(t); lost {
			s.lost++
			s.mu.Unlock()
			s.rec.printf("store: a write of %s gets no answer and is done %v later", t.Writes[0].Key, late)
			time.AfterFunc(late, func() {
				s.mu.Lock()
				status, _ := s.apply(t)
				s.mu.Unlock()
				s.rec.printf("store: the late write of %s is done: status %d, %s", t.Writes[0].Key, status, t.Writes[0].Value)
			})
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	status, body := s.apply(t)
	s.mu.Unlock()
	for _, e := range t.Writes {
		if strings.Contains(e.Key, "hosts/") {
			s.rec.printf("store: write of %s: status %d, %s", e.Key, status, e.Value)
		}
	}
	answer(w, status, body)
}

// apply does a conditional write. The caller holds mu.
func (s *store) apply(t txn) (int, any) {
	current := []item{}
	holds := true
	for _, e := range t.Expect {
		it, ok := s.items[e.Key]
		if !ok {
			it = item{Key: e.Key}
		}
		current = append(current, it)
		holds = holds && it.Revision == e.Revision
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, e := range t.Writes {
		if _, ok := s.leases[e.Lease]; e.Lease != 0 && !ok {
			return http.StatusNotFound, struct{}{}
		}
	}
	s.revision++
	for _, e := range t.Writes {
		s.set(e.Key, e.Value, e.Lease)
	}
	for _, key := range t.Remove {
		if _, ok := s.items[key]; ok {
			s.drop(key)
		}
	}
	s.notify()
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) startLease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL string `json:"ttl_time"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	ttl, err := time.ParseDuration(in.TTL)
	if err != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counting {
		s.writes++
	}
	s.revision++
	id := s.revision + 70000
	s.leases[id] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttl_time": in.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	l.end = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl_time": strconv.FormatInt(l.ttl.Milliseconds(), 10) + "ms"})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endOf(id)
	answer(w, http.StatusOK, struct{}{})
}
