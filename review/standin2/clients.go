//go:build review

package main

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	deadline   = 1200 * time.Millisecond
	routeHost  = "jepu9.example"
	safePath   = "/lepu270/2f"
	unsafePath = "/xapu221/2f"
	keyedPath  = "/fiti832/2f"
)

// request is a client attempt and what came of it.
type request struct {
	id     string
	path   string
	sentAt time.Time
	host   string
	// kept is set when the connection had served an earlier request.
	kept   bool
	status int
	// cut is set when the connection ended without a complete answer before the deadline.
	cut   bool
	endAt time.Time
}

// results collects the requests of all clients.
type results struct {
	mu  sync.Mutex
	all []request
}

func (r *results) add(q request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, q)
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// attempt sends a request to the address of a host and reads the answer.
func attempt(client *http.Client, method, path, address string) (status int, cut bool, id string) {
	id = newID()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader(strings.Repeat("b", 2000))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return 0, true, id
	}
	req.GetBody = nil
	req.Host = routeHost
	req.Header.Set("X-Attempt-Id", id)
	if path == keyedPath {
		req.Header.Set("X-Shard-Key", strconv.Itoa(1024*mathrand.IntN(keys/1024)))
	}
	req.Header.Set("X-Request-Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		return 0, ctx.Err() == nil, id
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return 0, ctx.Err() == nil, id
	}
	return resp.StatusCode, false, id
}

// freshClient sends requests to hosts drawn at random, each on a new connection, until ctx ends. After a refusal or a
// failure of an idempotent request it tries another host once.
func freshClient(ctx context.Context, hosts []*host, path string, pause time.Duration, out *results) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		for range 2 {
			h := hosts[mathrand.IntN(len(hosts))]
			q := request{path: path, sentAt: time.Now(), host: h.name}
			q.status, q.cut, q.id = attempt(client, http.MethodGet, path, h.callers)
			q.endAt = time.Now()
			out.add(q)
			if q.status == http.StatusOK {
				break
			}
		}
		time.Sleep(pause)
	}
}

// keptClient sends requests to one host on one connection, one after the other, until ctx ends. It opens a new
// connection when that one was closed.
func keptClient(ctx context.Context, h *host, method, path string, pause time.Duration, out *results) {
	var conn net.Conn
	var reader *bufio.Reader
	served := 0
	for ctx.Err() == nil {
		// Clients do not send in step.
		time.Sleep(mathrand.N(2 * pause))
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", h.callers, time.Second); err != nil {
				conn = nil
				continue
			}
			reader, served = bufio.NewReader(conn), 0
		}
		q := request{id: newID(), path: path, sentAt: time.Now(), host: h.name, kept: served > 0}
		again := exchange(conn, reader, method, &q)
		q.endAt = time.Now()
		out.add(q)
		if served++; !again {
			_ = conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// exchange sends a request on a connection and reads its answer. It reports whether the connection can be used again.
func exchange(conn net.Conn, reader *bufio.Reader, method string, q *request) bool {
	body := ""
	if method == http.MethodPost {
		body = strings.Repeat("b", 2000)
	}
	head := method + " " + q.path + " HTTP/1.1\r\nHost: " + routeHost + "\r\nX-Attempt-Id: " + q.id +
		"\r\nX-Request-Deadline: " + strconv.FormatInt(deadline.Milliseconds(), 10) + "\r\n"
	if body != "" {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	_ = conn.SetDeadline(time.Now().Add(deadline))
	if _, err := io.WriteString(conn, head+"\r\n"+body); err != nil {
		q.cut = true
		return false
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		q.cut = time.Since(q.sentAt) < deadline
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		q.cut = time.Since(q.sentAt) < deadline
		return false
	}
	q.status = resp.StatusCode
	return !resp.Close
}
