//go:build review

package main

import (
	"context"
	"sync"
	"time"
)

func init() { cases["restored"] = restored }

// Times of the case restored.
const (
	awayAt     = 28 * time.Second
	lossAt     = awayAt + 500*time.Millisecond
	lossFor    = time.Second
	restoredAt = awayAt + 2*time.Second
	copyAge    = 4 * time.Second
	// restoredEnd is how long the traffic of a day of the bench goes on after a final fault.
	restoredEnd = lossAt + lossFor + recovery + 5*time.Second
)

// restored plays RECOVER: all hosts are killed while the store is away, and it comes back from an older copy.
func restored(ctx context.Context, p *play) (bool, error) {
	p.addOwners = func() { p.owners = p.ownersOf(serversPerZone) }
	if err := p.build(2, 1, 60*time.Millisecond); err != nil {
		return false, err
	}
	if err := p.sleep(ctx, trafficAfter); err != nil {
		return false, err
	}
	traffic, endTraffic := context.WithCancel(ctx)
	defer endTraffic()
	var clients sync.WaitGroup
	for range 24 {
		clients.Go(func() { freshClient(traffic, p.hosts, keyedPath, 200*time.Millisecond, &p.results) })
	}
	if err := p.sleep(ctx, awayAt); err != nil {
		return false, err
	}
	if p.trouble {
		p.store.takeDown()
	}
	if err := p.sleep(ctx, lossAt); err != nil {
		return false, err
	}
	p.rec.printf("final fault: all processes are killed")
	for _, h := range p.hosts {
		h.kill()
	}
	if err := p.sleep(ctx, lossAt+lossFor); err != nil {
		return false, err
	}
	for _, h := range p.hosts {
		if err := h.start(); err != nil {
			return false, err
		}
	}
	back := time.Now()
	p.rec.printf("all processes start again")
	if err := p.sleep(ctx, restoredAt); err != nil {
		return false, err
	}
	if p.trouble {
		p.store.restore(copyAge)
		p.store.put("op/config", config(1))
	}
	if err := p.sleep(ctx, restoredEnd); err != nil {
		return false, err
	}
	endTraffic()
	clients.Wait()
	return p.judgeRecovery(lossAt, back.Add(recovery)), nil
}
