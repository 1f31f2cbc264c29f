//go:build review

// Review-standin-2 plays a case of the second review: it starts hosts of the project as processes on loopback
// addresses, with stand-ins for the platform's store, the backend servers and the clients, and checks one rule.
package main

import (
	"context"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// trafficAfter is how long after the hosts the traffic starts.
const trafficAfter = 8 * time.Second

// cases are the cases by name. Each file with a case adds its own.
var cases = map[string]func(context.Context, *play) (bool, error){}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as seconds of the play.
func (r *record) at(t time.Time) float64 {
	return t.Sub(r.start).Seconds()
}

// play is a deployment and what is needed to judge it.
type play struct {
	rec      *record
	trouble  bool
	dir      string
	ip       func() string
	store    *store
	backends []*backend
	owners   []*owner
	// addOwners, if not nil, adds the servers of the service that is divided by key once the store runs.
	addOwners func()
	hosts     []*host
	results   results
}

var places = []place{{Name: "almaty-a", Region: "almaty-south"}, {Name: "almaty-b", Region: "almaty-south"}}

// ipsOf returns a function that gives out loopback addresses of a network drawn at random.
func ipsOf() func() string {
	a, b := 10+mathrand.IntN(200), mathrand.IntN(250)
	n := 0
	return func() string {
		n++
		return fmt.Sprintf("127.%d.%d.%d", a, b, n)
	}
}

// build starts the store and the servers, and writes the first configuration and the settings of the hosts.
func (p *play) build(hostsPerZone, serversPerZone int, work time.Duration) error {
	var err error
	if p.store, err = newStore(p.rec, p.ip()); err != nil {
		return err
	}
	p.store.put("op/config", config(1))
	if p.addOwners != nil {
		p.addOwners()
	}
	for _, at := range places {
		for i := range serversPerZone {
			b, err := newBackend(p.store, fmt.Sprintf("i-%s-%d", at.Name, i+1), p.ip(), at.Name, "huvo11a", work)
			if err != nil {
				return err
			}
			p.backends = append(p.backends, b)
		}
		for i := range hostsPerZone {
			name := fmt.Sprintf("edge-%s-%d", at.Name, i+1)
			h, err := newHost(p.dir, name, p.ip(), at, places, p.store.address)
			if err != nil {
				return err
			}
			p.hosts = append(p.hosts, h)
		}
	}
	for _, o := range p.owners {
		if err := o.start(p.ip(), o.zone); err != nil {
			return err
		}
	}
	for _, h := range p.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return awaitReady(p.hosts, trafficAfter)
}

// config returns the document of the operator.
func config(version int) any {
	columns := []string{
		"name", "host", "prefix", "route_type", "timeout", "target_latency", "priority", "max_attempts",
		"allowed_regions", "service",
	}
	return map[string]any{
		"version": fmt.Sprintf("r%d", version),
		"routes": map[string]any{"columns": columns, "rows": [][]any{
			{"r-safe", routeHost, "/lepu270/", "safe", "1200ms", "300ms", 2, 2, []string{}, "huvo11a"},
			{"r-unsafe", routeHost, "/xapu221/", "unsafe", "1200ms", "300ms", 1, 2, []string{}, "huvo11a"},
			{"r-keyed", routeHost, "/fiti832/", "safe", "1200ms", "300ms", 1, 2, []string{}, "wuno96b"},
		}},
		"services": map[string]any{
			"columns": []string{
				"name", "health_path", "max_connections", "protocol", "tls", "warmup", "cold_per_s", "sharded", "warm", "grants",
			},
			"rows": [][]any{
				{"huvo11a", "/health", 130, "h1", false, "3s", 9.3, nil, nil, nil},
				{"wuno96b", "/health", 130, "h1", false, "3s", 9.3, true, "5s", "rpc"},
			},
		},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms",
		},
	}
}

// dump writes what was sent, answered and run.
func (p *play) dump() {
	p.rec.printf("what was sent and answered:")
	for _, q := range p.results.all {
		came := fmt.Sprintf("status %d", q.status)
		switch {
		case q.cut:
			came = "closed without an answer"
		case q.status == 0:
			came = "no answer before the deadline"
		}
		p.rec.printf("sent %.3f %s %s to %s: %s at %.3f",
			p.rec.at(q.sentAt), q.id, q.path, q.host, came, p.rec.at(q.endAt))
	}
	p.rec.printf("what was run:")
	for _, b := range p.backends {
		for id, at := range b.arrived {
			p.rec.printf("ran %s at %s from %.3f", id, b.id, p.rec.at(at))
		}
	}
	for _, o := range p.owners {
		for _, r := range o.runs {
			p.rec.printf("ran %s at %s on key %d from %.3f", r.id, o.id, r.key, p.rec.at(r.at))
		}
	}
}

// end ends all processes that the play has started.
func (p *play) end() {
	for _, h := range p.hosts {
		if h.process != nil {
			h.kill()
		}
	}
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Println("usage: review-standin-2 CASE FOLDER")
		return exitNotRun
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	p := &play{
		rec: &record{file: file, start: time.Now()}, dir: dir, ip: ipsOf(), trouble: os.Getenv("TROUBLE") != "0",
	}
	defer func() {
		p.end()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		}
	}()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	do, ok := cases[os.Args[1]]
	if !ok {
		fmt.Println("no such case")
		return exitNotRun
	}
	broken, err := do(ctx, p)
	if err == nil {
		err = ctx.Err()
	}
	p.end()
	p.dump()
	switch {
	case err != nil:
		p.rec.printf("NOT RUN: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken:
		fmt.Println("broken, see record.txt")
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

var errStopped = errors.New("stopped")

// sleep waits until a time of the play.
func (p *play) sleep(ctx context.Context, until time.Duration) error {
	select {
	case <-time.After(until - time.Since(p.rec.start)):
		return nil
	case <-ctx.Done():
		return errStopped
	}
}
