//go:build review

package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["memory"] = memory }

// Times and sizes of the case memory.
const (
	burstAt      = 50 * time.Second
	memoryEnd    = 56 * time.Second
	strangers    = 100
	maxHeadBytes = 16384
)

// memory plays LOST: callers that nobody controls send requests of legal size with very many short header lines.
func memory(ctx context.Context, p *play) (bool, error) {
	if err := p.build(1, 8, 150*time.Millisecond); err != nil {
		return false, err
	}
	if err := p.sleep(ctx, trafficAfter); err != nil {
		return false, err
	}
	traffic, endTraffic := context.WithCancel(ctx)
	defer endTraffic()
	var clients sync.WaitGroup
	for _, h := range p.hosts {
		for i := range 24 {
			method, path := http.MethodGet, safePath
			if i%3 == 0 {
				method, path = http.MethodPost, unsafePath
			}
			clients.Go(func() { keptClient(traffic, h, method, path, 100*time.Millisecond, &p.results) })
		}
	}
	if err := p.sleep(ctx, burstAt); err != nil {
		return false, err
	}
	if p.trouble {
		p.burst(p.hosts[0])
	}
	if err := p.sleep(ctx, memoryEnd); err != nil {
		return false, err
	}
	endTraffic()
	clients.Wait()
	return p.judgeLost(), nil
}

// strangeHead returns the head of a request of legal size with as many short header lines as fit, without its end.
func strangeHead() string {
	var b strings.Builder
	b.WriteString("GET " + safePath + " HTTP/1.1\r\nHost: " + routeHost + "\r\nX-Attempt-Id: " + newID() +
		"\r\nX-Request-Deadline: 1200\r\n")
	for b.Len()+6 <= maxHeadBytes {
		b.WriteString("a:\r\n")
	}
	return b.String()
}

// burst lets strangers send a request each to a host.
func (p *play) burst(h *host) {
	heads := make([]string, strangers)
	for i := range heads {
		heads[i] = strangeHead()
	}
	p.rec.printf("%d clients that nobody controls send a request each of %d bytes and %d lines to %s",
		strangers, len(heads[0]), strings.Count(heads[0], "\n"), h.name)
	var all sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]int{}
	for _, head := range heads {
		all.Go(func() {
			result := "no connection"
			if conn, err := net.DialTimeout("tcp", h.callers, time.Second); err == nil {
				_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
				_, err = io.WriteString(conn, head)
				line := make([]byte, 12)
				if _, rerr := io.ReadFull(conn, line); err == nil && rerr == nil {
					result = string(line)
				} else {
					result = "closed without an answer"
				}
				_ = conn.Close()
			}
			mu.Lock()
			answers[result]++
			mu.Unlock()
		})
	}
	all.Wait()
	p.rec.printf("what these clients got: %v", answers)
}

// judgeLost applies the rule LOST to the clients that keep to the pages.
func (p *play) judgeLost() bool {
	lost, cut, sent, other := 0, 0, 0, map[int]int{}
	for _, q := range p.results.all {
		sent++
		if !q.cut {
			other[q.status]++
			continue
		}
		cut++
		for _, b := range p.backends {
			began, ok := b.began(q.id)
			if !ok {
				continue
			}
			p.rec.printf("request %s to %s, sent at %.3f s on a connection that was kept (%v): server %s began at %.3f s, "+
				"%s closed the connection without an answer at %.3f s",
				q.id, q.path, p.rec.at(q.sentAt), q.kept, b.id, p.rec.at(began), q.host, p.rec.at(q.endAt))
			if q.kept {
				lost++
			}
		}
	}
	p.rec.printf("%d requests of clients that keep to the pages, %d ended without an answer, "+
		"%d of them passed on from a kept connection; statuses of the others %v", sent, cut, lost, other)
	if lost > 3 {
		p.rec.printf("BROKEN LOST: more than three requests were passed on, and their connections closed without an answer")
	}
	return lost > 3
}
