//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["changed-path"] = changedPath }

// paths are request targets as clients that nobody controls send them, and as careful clients send the same.
var paths = []struct{ odd, careful string }{
	{safePath + "/van%2Fdam|3", safePath + "/van%2Fdam%7C3"},
	{safePath + "/Zeeën%2FNoord", safePath + "/Zee%C3%ABn%2FNoord"},
	{safePath + `/a%2Fb%2Bc"d"`, safePath + "/a%2Fb%2Bc%22d%22"},
	{safePath + "/{id}%2F7", safePath + "/%7Bid%7D%2F7"},
}

// changedPath plays UNASKED: clients that nobody controls send characters in paths that careful ones would encode.
func changedPath(ctx context.Context, p *play) (bool, error) {
	if err := p.build(1, 2, 20*time.Millisecond); err != nil {
		return false, err
	}
	if err := p.sleep(ctx, trafficAfter); err != nil {
		return false, err
	}
	broken := 0
	for _, h := range p.hosts {
		for _, each := range paths {
			target := each.careful
			if p.trouble {
				target = each.odd
			}
			sentAt := time.Now()
			id, status, err := sendTarget(h, target)
			if err != nil {
				return false, err
			}
			p.results.add(request{
				id: id, path: target, sentAt: sentAt, host: h.name, status: status, endAt: time.Now(),
			})
			p.rec.printf("client sends %s with path %s to %s, answer %d", id, target, h.name, status)
			for _, b := range p.backends {
				got, ran := b.pathOf(id)
				if !ran {
					continue
				}
				p.rec.printf("server %s runs %s with path %s", b.id, id, got)
				if got != target {
					broken++
					p.rec.printf("BROKEN UNASKED: the server runs %s with the path changed", id)
				}
			}
		}
	}
	p.rec.printf("%d requests ran with another path than the client had sent", broken)
	return broken > 0, nil
}

// sendTarget sends a request with a path, byte by byte as it is given.
func sendTarget(h *host, target string) (id string, status int, err error) {
	conn, err := net.DialTimeout("tcp", h.callers, time.Second)
	if err != nil {
		return "", 0, err
	}
	defer func() { _ = conn.Close() }()
	id = newID()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Request-Deadline: %d\r\n\r\n",
		target, routeHost, id, deadline.Milliseconds())
	if err != nil {
		return id, 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return id, 0, err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return id, resp.StatusCode, resp.Body.Close()
}
