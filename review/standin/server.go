//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	keys        = 65536
	slots       = 4
	queue       = 8
	heartbeat   = 1500 * time.Millisecond
	drainTime   = 2500 * time.Millisecond
	leaveSlack  = 1500 * time.Millisecond
	meanWork    = 220 * time.Millisecond
	warmup      = 3 * time.Second
	connections = 130
)

// server is a stand-in of a backend server that is divided by key, as PROTOCOL.md describes it. All of its state is
// guarded by the mutex of the fleet, so that the check of ownership sees one order of events.
type server struct {
	f        *fleet
	id       string
	zone     string
	address  string
	born     int64
	listener net.Listener
	// startedAt is the start of the server.
	startedAt time.Time
	// faulty is a number from 0 to 1. A disruption hits the servers up to its share.
	faulty float64

	up       bool
	draining bool
	sequence int
	// fence and until are the highest token and the end of the hold of each key. wouldEnd is the end of the hold as if
	// it had not been released.
	fence    [keys]uint64
	until    [keys]time.Time
	wouldEnd [keys]time.Time
	running  [keys]int
	total    int
	waiting  int
	idle     *sync.Cond
	conns    map[net.Conn]bool
	// answers and spoiled count since counted, the begin of the disruption.
	counted time.Time
	answers int
	spoiled int
}

func (s *server) holds(key int, now time.Time) bool {
	return s.up && (!s.f.divided || now.Before(s.until[key]))
}

// coldFor returns how much longer the server is cold: one that starts during traffic is cold for a while. The caller
// holds mu.
func (s *server) coldFor() time.Duration {
	if s.f.trafficAt.IsZero() || s.startedAt.Before(s.f.trafficAt) {
		return 0
	}
	return max(warmup-time.Since(s.startedAt), 0)
}

// beat writes the entry of the server.
func (s *server) beat() {
	s.f.mu.Lock()
	s.sequence++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	entry, up := map[string]any{
		"service": serviceName, "address": s.address, "zone": s.zone, "version": "v1", "concurrency": slots,
		"state": state, "warmup_time": milliseconds(s.coldFor()), "sequence": s.sequence, "born": s.born,
	}, s.up
	s.f.mu.Unlock()
	if up {
		data, _ := json.Marshal(entry)
		s.f.store.set("servers/"+s.id, data)
	}
}

func (s *server) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.connection(conn)
	}
}

// connection serves one request at a time.
func (s *server) connection(conn net.Conn) {
	s.f.mu.Lock()
	s.conns[conn] = true
	s.f.mu.Unlock()
	defer func() {
		_ = conn.Close()
		s.f.mu.Lock()
		delete(s.conns, conn)
		s.f.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	var copyOf []byte
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		arrived := time.Now()
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if copyOf != nil {
			// The extra copy of the last answer.
			s.f.rec.note("extra %s: the last answer once more, before that to %s", s.id, r.URL.Path)
			_, _ = conn.Write(copyOf)
			copyOf = nil
		}
		status, header, content := s.handle(r, body, arrived)
		if s.f.disturbed.what == wrongByte && s.isSpoiled(r.URL.Path) {
			s.spoil(header)
		}
		answer := encode(status, header, content)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if s.f.disturbed.what == secondCopy && s.isSpoiled(r.URL.Path) {
			copyOf = answer
		}
	}
}

// isSpoiled decides whether the disruption hits an answer. While it lasts, it hits at most the given share of a faulty
// server's answers, those to orders first.
func (s *server) isSpoiled(path string) bool {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	now, d := time.Now(), s.f.disturbed
	if s.faulty > d.servers || now.Before(s.f.from) || !now.Before(s.f.to) {
		return false
	}
	if s.counted != s.f.from {
		s.counted, s.answers, s.spoiled = s.f.from, 0, 0
	}
	s.answers++
	if float64(s.spoiled+1) > d.answers*float64(s.answers) {
		return false
	}
	order := path == "/grant" && d.what == secondCopy || path == "/release"
	if !order && rand.Float64() >= d.answers {
		return false
	}
	s.spoiled++
	return true
}

// spoil replaces one byte of what the server hands over by any other byte that a header may have.
func (s *server) spoil(header map[string]string) {
	value := []byte(header["X-Handover"])
	if len(value) == 0 {
		return
	}
	at := rand.IntN(len(value))
	for value[at] = 0; value[at] <= ' ' || value[at] == 0x7f; {
		value[at] = byte(rand.IntN(256))
	}
	header["X-Handover"] = string(value)
	s.f.rec.note("spoil %s: hands over %q", s.id, value)
}

func encode(status int, header map[string]string, content []byte) []byte {
	out := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, value := range header {
		out = fmt.Appendf(out, "%s: %s\r\n", name, value)
	}
	out = fmt.Appendf(out, "Keep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n", len(content))
	return append(out, content...)
}

func (s *server) handle(r *http.Request, body []byte, arrived time.Time) (int, map[string]string, []byte) {
	header := map[string]string{"X-Instance-Id": s.id}
	if id := r.Header.Get("X-Attempt-Id"); id != "" {
		header["X-Attempt-Id"] = id
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != s.id {
		header["X-Not-Executed"] = "1"
		return http.StatusMisdirectedRequest, header, nil
	}
	switch r.URL.Path {
	case "/grant":
		return s.grant(body, arrived), header, nil
	case "/release":
		return s.release(body, header), header, nil
	case "/health":
		s.f.mu.Lock()
		defer s.f.mu.Unlock()
		header["X-Server-Load"] = fmt.Sprintf("%d,%d,%d", s.total, s.waiting, slots)
		header["X-Warmup-Remaining"] = milliseconds(s.coldFor())
		if s.draining {
			return http.StatusServiceUnavailable, header, nil
		}
		return http.StatusOK, header, nil
	}
	return s.work(r, header, arrived)
}

type order struct {
	From   int    `json:"from"`
	Target int    `json:"target"`
	Fence  uint64 `json:"fence"`
	Hold   string `json:"hold_time"`
}

func decode(body []byte) (order, bool) {
	var o order
	err := json.Unmarshal(body, &o)
	return o, err == nil && o.From >= 0 && o.From <= o.Target && o.Target < keys
}

// grant applies a grant. The hold counts from the arrival of the call.
func (s *server) grant(body []byte, arrived time.Time) int {
	o, ok := decode(body)
	hold, err := time.ParseDuration(o.Hold)
	if !ok || err != nil || hold > maxHold {
		return http.StatusBadRequest
	}
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	for key := o.From; key <= o.Target; key++ {
		if s.fence[key] > o.Fence {
			return http.StatusConflict
		}
	}
	s.f.checkGrant(s, o, arrived)
	for key := o.From; key <= o.Target; key++ {
		s.fence[key] = o.Fence
		s.until[key] = arrived.Add(hold)
		s.wouldEnd[key] = s.until[key]
	}
	return http.StatusOK
}

// release stops new work on keys at once, and returns when the work that is running on them has ended.
func (s *server) release(body []byte, header map[string]string) int {
	o, ok := decode(body)
	if !ok {
		return http.StatusBadRequest
	}
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	now, busy := time.Now(), 0
	for key := o.From; key <= o.Target; key++ {
		if s.until[key].After(now) {
			s.until[key] = now
		}
		busy += s.running[key]
	}
	s.f.rec.note("release %s %d-%d fence %d arrives, %d requests are running on these keys", s.id, o.From, o.Target,
		o.Fence, busy)
	for s.runningOn(o) > 0 {
		s.idle.Wait()
	}
	s.f.rec.note("release %s %d-%d fence %d is answered", s.id, o.From, o.Target, o.Fence)
	header["X-Handover"] = strconv.FormatUint(rand.Uint64(), 16)
	return http.StatusOK
}

func (s *server) runningOn(o order) int {
	n := 0
	for key := o.From; key <= o.Target; key++ {
		n += s.running[key]
	}
	return n
}

// work runs a request of a client.
func (s *server) work(r *http.Request, header map[string]string, arrived time.Time) (int, map[string]string, []byte) {
	id := r.Header.Get("X-Attempt-Id")
	key, err := strconv.Atoi(r.Header.Get("X-Shard-Key"))
	if id == "" || err != nil || key < 0 || key >= keys {
		header["X-Not-Executed"] = "1"
		return http.StatusBadRequest, header, nil
	}
	deadline := arrived.Add(3 * time.Second)
	if n, err := strconv.Atoi(r.Header.Get("X-Request-Deadline")); err == nil {
		deadline = arrived.Add(time.Duration(n) * time.Millisecond)
	}
	if !s.begin(key, deadline) {
		header["X-Not-Executed"] = "1"
		s.f.mu.Lock()
		defer s.f.mu.Unlock()
		if !s.holds(key, time.Now()) {
			return http.StatusMisdirectedRequest, header, nil
		}
		return http.StatusServiceUnavailable, header, nil
	}
	begun := time.Now()
	time.Sleep(time.Duration(float64(meanWork) * (0.5 + rand.Float64())))
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.running[key]--
	s.total--
	s.idle.Broadcast()
	status := http.StatusOK
	if s.f.divided && time.Now().After(s.wouldEnd[key]) {
		status = http.StatusInternalServerError
	}
	s.f.rec.note("ran %s key %d at %s for %d ms: %d", id, key, s.id, time.Since(begun).Milliseconds(), status)
	header["X-Response-Signature"] = "sig." + id
	header["X-Server-Load"] = fmt.Sprintf("%d,%d,%d", s.total, s.waiting, slots)
	return status, header, []byte("answer to " + id)
}

// begin waits for a slot and begins work on a key, and reports false when the server does not run the request.
func (s *server) begin(key int, deadline time.Time) bool {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	if !s.holds(key, time.Now()) || s.total >= slots && s.waiting >= queue {
		return false
	}
	s.waiting++
	for s.total >= slots {
		s.idle.Wait()
	}
	s.waiting--
	now := time.Now()
	if !s.holds(key, now) || now.After(deadline) {
		s.idle.Broadcast()
		return false
	}
	s.total++
	s.running[key]++
	if s.f.divided {
		s.f.checkBegin(s, key, now)
	}
	return true
}
