//go:build review

package main

import (
	"context"
	"sync"
	"time"
)

func init() { cases["moved-id"] = movedID }

// Times of the case moved-id.
const (
	crashAt    = 22 * time.Second
	crashEvery = 15 * time.Second
	downTime   = time.Second
	movedIDEnd = 98 * time.Second
	// serversPerZone makes the one that is lost an eighth of the servers.
	serversPerZone = 4
)

// movedID plays OWNER: servers crash and start again under the ids that they had, in the other zone.
func movedID(ctx context.Context, p *play) (bool, error) {
	p.addOwners = func() { p.owners = p.ownersOf(serversPerZone) }
	if err := p.build(2, 2, 60*time.Millisecond); err != nil {
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
	// Five servers one after the other, of each zone in turn.
	for i, moved := range []struct {
		server *owner
		to     place
	}{
		{p.owners[0], places[1]},
		{p.owners[serversPerZone], places[0]},
		{p.owners[1], places[1]},
		{p.owners[serversPerZone+1], places[0]},
		{p.owners[2], places[1]},
	} {
		at := crashAt + time.Duration(i)*crashEvery
		if !p.trouble {
			break
		}
		if err := p.sleep(ctx, at); err != nil {
			return false, err
		}
		moved.server.crash()
		if err := p.sleep(ctx, at+downTime); err != nil {
			return false, err
		}
		if err := moved.server.start(p.ip(), moved.to.Name); err != nil {
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
