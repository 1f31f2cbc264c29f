//go:build review

package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Times of the case moved-id.
const (
	crashAt    = 22 * time.Second
	backAt     = crashAt + 2*time.Second
	movedIDEnd = 40 * time.Second
)

// movedID plays OWNER: a server crashes and starts again under the id that it had, in another zone.
func movedID(ctx context.Context, p *play) (bool, error) {
	p.addOwners = func() {
		for _, at := range places {
			for i := range 4 {
				p.owners = append(p.owners, &owner{
					id: fmt.Sprintf("i-k%s-%d", at.Name, i+1), service: "wuno96b", zone: at.Name, slots: 4,
					work: 60 * time.Millisecond, store: p.store, rec: p.rec, all: &p.owners,
				})
			}
		}
	}
	if err := p.build(2, 2, 4, 60*time.Millisecond); err != nil {
		return false, err
	}
	if err := p.sleep(ctx, trafficAfter); err != nil {
		return false, err
	}
	done := make(chan struct{})
	var watching sync.WaitGroup
	var broken int
	var longest time.Duration
	watching.Go(func() { broken, longest = watchOwners(p.rec, p.owners, done) })
	traffic, endTraffic := context.WithCancel(ctx)
	defer endTraffic()
	var clients sync.WaitGroup
	for range 24 {
		clients.Go(func() { freshClient(traffic, p.hosts, keyedPath, 200*time.Millisecond, &p.results) })
	}
	if err := p.sleep(ctx, crashAt); err != nil {
		return false, err
	}
	if p.trouble {
		p.owners[0].crash()
		if err := p.sleep(ctx, backAt); err != nil {
			return false, err
		}
		if err := p.owners[0].start(p.ip(), places[1].Name); err != nil {
			return false, err
		}
	}
	if err := p.sleep(ctx, movedIDEnd); err != nil {
		return false, err
	}
	endTraffic()
	clients.Wait()
	close(done)
	watching.Wait()
	statuses := map[int]int{}
	for _, q := range p.results.all {
		statuses[q.status]++
	}
	p.rec.printf("answers to clients: %v", statuses)
	p.rec.printf("requests that began on a key while another server held it: %v", beganOnHeld(p.owners))
	p.rec.printf("%d keys were held by two servers for over half a second, %v at most", broken, longest)
	return broken > 0, nil
}
