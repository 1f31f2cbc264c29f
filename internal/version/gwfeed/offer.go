package gwfeed

import (
	"context"
	"maps"
	"time"

	"golang.org/x/sync/errgroup"

	gw "github.com/geraniumworks/geraniumworks"
)

// offer passes own items on to all relays and repeats what a relay has not accepted.
func (f *Feed) offer(ctx context.Context) error {
	timer := time.NewTicker(offerInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.wake:
		case <-timer.C:
		}
		f.offerAll(ctx)
	}
}

func (f *Feed) offerAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callSlack)
	defer cancel()
	var group errgroup.Group
	for _, relay := range f.offerTargets() {
		items := f.pending(relay)
		if len(items) > 0 {
			group.Go(func() error { return f.offerTo(ctx, relay, items) })
		}
	}
	// A relay that did not accept is offered the items again, so the error needs no handling here.
	_ = group.Wait()
}

// offerTargets returns the relays that are offered items: all of the own region, and of each data centre of other
// regions the first, since bytes between regions are dear and the second pulls from it. The second is offered them
// too while the first does not accept.
func (f *Feed) offerTargets() []gw.HostEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	var targets []gw.HostEntry
	failing := map[gw.DataCentreName]bool{}
	seen := map[gw.DataCentreName]bool{}
	for _, relay := range withoutHost(allRelays(f.hosts(), f.self.DataCentre), f.self.Name) {
		if relay.Region == f.self.Region || !seen[relay.DataCentre] || failing[relay.DataCentre] {
			targets = append(targets, relay)
		}
		seen[relay.DataCentre] = true
		failing[relay.DataCentre] = f.refused[relay.Name]
	}
	return targets
}

// pending returns the own items that a relay has not accepted.
func (f *Feed) pending(to gw.HostEntry) []gw.Item {
	inRegion := to.Region == f.self.Region && f.isRelay()
	f.mu.Lock()
	defer f.mu.Unlock()
	relay := to.Name
	topics := maps.Clone(f.own)
	if inRegion {
		maps.Copy(topics, f.regional)
	}
	var items []gw.Item
	for topic := range topics {
		item, ok := f.hub.Get(topic)
		if !ok {
			continue
		}
		if version, ok := f.accepted[relay].versions[topic]; !ok || version.Less(item.Version) {
			items = append(items, item)
		}
	}
	return items
}

func (f *Feed) offerTo(ctx context.Context, relay gw.HostEntry, items []gw.Item) error {
	reply, err := f.peer.Offer(ctx, relay.PeerAddress, gw.OfferRequest{From: f.instance, Items: items})
	f.counters.offers.WithLabelValues(result(err)).Inc()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused[relay.Name] = err != nil
	if err != nil {
		return err
	}
	held := f.accepted[relay.Name]
	if held.instance != reply.Instance {
		// A relay that was restarted has forgotten what it accepted.
		held = acceptance{instance: reply.Instance, versions: map[gw.Topic]gw.ItemVersion{}}
	}
	for _, item := range items {
		held.versions[item.Topic] = item.Version
	}
	f.accepted[relay.Name] = held
	return nil
}
