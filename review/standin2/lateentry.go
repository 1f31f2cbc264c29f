//go:build review

package main

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["late-entry"] = lateEntry }

// Times of the case late-entry.
const (
	rollAt     = 26 * time.Second
	rollGap    = time.Second
	killAt     = rollAt + 3300*time.Millisecond
	lostFrom   = rollAt - 100*time.Millisecond
	lostFor    = 5600 * time.Millisecond
	downFor    = time.Second
	recovery   = 15 * time.Second
	lateEntryT = killAt + downFor + recovery + 20*time.Second
	lostShare  = 0.35
	lateBy     = 6 * time.Second
)

// lateEntry plays RECOVER: the store does some writes of stopping hosts late and unanswered, and all hosts are killed.
func lateEntry(ctx context.Context, p *play) (bool, error) {
	if err := p.build(2, 4, 60*time.Millisecond); err != nil {
		return false, err
	}
	if err := p.sleep(ctx, trafficAfter); err != nil {
		return false, err
	}
	traffic, endTraffic := context.WithCancel(ctx)
	defer endTraffic()
	var clients sync.WaitGroup
	for range 24 {
		clients.Go(func() { freshClient(traffic, p.hosts, safePath, 200*time.Millisecond, &p.results) })
	}
	if err := p.sleep(ctx, lostFrom); err != nil {
		return false, err
	}
	p.loseWrites()
	for i, h := range p.hosts {
		if err := p.sleep(ctx, rollAt+time.Duration(i)*rollGap); err != nil {
			return false, err
		}
		p.rec.printf("planned work: SIGTERM for %s", h.name)
		h.signal(syscall.SIGTERM)
	}
	if err := p.sleep(ctx, killAt); err != nil {
		return false, err
	}
	p.rec.printf("final fault: all processes are killed")
	for _, h := range p.hosts {
		h.kill()
	}
	if err := p.sleep(ctx, killAt+downFor); err != nil {
		return false, err
	}
	for _, h := range p.hosts {
		if err := h.start(); err != nil {
			return false, err
		}
	}
	back := time.Now()
	p.rec.printf("all processes start again")
	if err := p.sleep(ctx, lostFrom+lostFor); err != nil {
		return false, err
	}
	p.endLoss()
	if err := p.sleep(ctx, lateEntryT); err != nil {
		return false, err
	}
	endTraffic()
	clients.Wait()
	return p.judgeRecovery(killAt, back.Add(recovery)), nil
}

// loseWrites lets the store leave the entries of stopping hosts unanswered and do them late.
func (p *play) loseWrites() {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	p.store.counting = true
	if !p.trouble {
		return
	}
	seen := map[string]bool{}
	p.store.lose = func(t txn) (time.Duration, bool) {
		if len(t.Writes) != 1 || !strings.Contains(t.Writes[0].Key, "hosts/") || seen[t.Writes[0].Key] {
			return 0, false
		}
		seen[t.Writes[0].Key] = true
		return lateBy, true
	}
}

func (p *play) endLoss() {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	p.store.lose, p.store.counting = nil, false
	p.rec.printf("store: of %d writes in %v, %d were not answered and done late (a share of %.2f is allowed)",
		p.store.writes, lostFor, p.store.lost, lostShare)
}

// judgeRecovery applies the rule RECOVER.
func (p *play) judgeRecovery(fault time.Duration, from time.Time) bool {
	var before, beforeServed, after, afterServed int
	statuses := map[int]int{}
	seconds := map[int][2]int{}
	for _, q := range p.results.all {
		at := q.sentAt.Sub(p.rec.start)
		ok := q.status == http.StatusOK
		s := seconds[int(at.Seconds())]
		s[0]++
		if ok {
			s[1]++
		}
		seconds[int(at.Seconds())] = s
		switch {
		case at < fault:
			before++
			if ok {
				beforeServed++
			}
		case q.sentAt.After(from):
			after++
			statuses[q.status]++
			if ok {
				afterServed++
			}
		}
	}
	for i := range int(lateEntryT.Seconds()) + 1 {
		if s, ok := seconds[i]; ok {
			p.rec.printf("second %d: %d requests sent, %d served", i, s[0], s[1])
		}
	}
	p.rec.printf("before the final fault %d of %d requests were served, later than %v after the return %d of %d; "+
		"statuses %v", beforeServed, before, recovery, afterServed, after, statuses)
	broken := 4*beforeServed >= before && 4*afterServed < after
	if broken {
		p.rec.printf("BROKEN RECOVER: less than a quarter is served")
	}
	return broken
}
