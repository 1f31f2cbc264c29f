//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// load is the traffic of clients: lookups at random keys, of which a share is about a few neighbouring keys that
// change at times.
type load struct {
	rec      *record
	hosts    []*host
	hotShare float64
	hotKey   atomic.Int64
	hotWidth int
	client   *http.Client

	mu     sync.Mutex
	status map[int]int
}

const requestDeadline = 3000 * time.Millisecond

func newLoad(rec *record, hosts []*host) *load {
	transport := &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 10 * time.Second, DisableCompression: true}
	return &load{
		rec: rec, hosts: hosts, client: &http.Client{Transport: transport}, status: map[int]int{},
		hotShare: 0.4, hotWidth: 60,
	}
}

// run sends requests at a rate until ctx ends.
func (l *load) run(ctx context.Context, perSecond float64) {
	var sent sync.WaitGroup
	defer sent.Wait()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		key := rand.IntN(keys)
		if rand.Float64() < l.hotShare {
			key = (int(l.hotKey.Load()) + rand.IntN(l.hotWidth)) % keys
		}
		sent.Add(1)
		go func() {
			defer sent.Done()
			l.request(key)
		}()
	}
}

func (l *load) request(key int) int {
	h := l.hosts[rand.IntN(len(l.hosts))]
	id := fmt.Sprintf("%016x", rand.Uint64())
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.front+"/look/"+id, nil)
	if err != nil {
		return 0
	}
	r.Host = clientHost
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Request-Deadline", strconv.FormatInt(requestDeadline.Milliseconds(), 10))
	r.Header.Set("X-Shard-Key", strconv.Itoa(key))
	status := 0
	begun := time.Now()
	if resp, err := l.client.Do(r); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		status = resp.StatusCode
	}
	l.rec.note("client %s key %d by %s: %d after %d ms", id, key, h.name, status, time.Since(begun).Milliseconds())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.status[status]++
	return status
}

// take returns how many requests were served and how many ended since the last call.
func (l *load) take() (served, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for status, n := range l.status {
		all += n
		if status == http.StatusOK {
			served += n
		}
	}
	clear(l.status)
	return served, all
}

func (l *load) summary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprint(l.status)
}
