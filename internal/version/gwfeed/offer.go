package gwfeed

import (
	"context"
	"maps"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// offerEnd says how the offer to a relay ended.
type offerEnd struct {
	relay gw.HostName
	err   error
}

// offerProgress is the state of the offers to one relay.
type offerProgress int

const (
	offerRunning offerProgress = iota + 1
	// offerFailed lasts until the next tick, so that a relay that refuses at once is not asked all the time.
	offerFailed
)

// offer passes own items on to all relays and repeats what a relay has not accepted. A relay that does not answer holds
// up nothing but its own offers.
func (f *Feed) offer(ctx context.Context) error {
	timer := time.NewTicker(offerInterval)
	defer timer.Stop()
	ended := make(chan offerEnd)
	progress := map[gw.HostName]offerProgress{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.wake:
		case end := <-ended:
			delete(progress, end.relay)
			if end.err != nil {
				progress[end.relay] = offerFailed
			}
		case <-timer.C:
			maps.DeleteFunc(progress, func(_ gw.HostName, p offerProgress) bool { return p == offerFailed })
		}
		f.startOffers(ctx, progress, ended)
	}
}

// startOffers offers each relay what it has not accepted, unless an offer to it is under way or has just failed.
func (f *Feed) startOffers(ctx context.Context, progress map[gw.HostName]offerProgress, ended chan<- offerEnd) {
	for _, relay := range f.offerTargets() {
		if progress[relay.Name] != 0 {
			continue
		}
		items := f.pending(relay)
		if len(items) == 0 {
			continue
		}
		progress[relay.Name] = offerRunning
		go func() {
			bounded, cancel := context.WithTimeout(ctx, callSlack)
			defer cancel()
			end := offerEnd{relay: relay.Name, err: f.offerTo(bounded, relay, items)}
			select {
			case ended <- end:
			case <-ctx.Done():
			}
		}()
	}
}

// offerTargets returns the relays that are offered items: all of the own region, and of each data centre of other
// regions the first, since bytes between regions are dear and the second pulls from it. The second is offered them
// too while the first does not accept.
func (f *Feed) offerTargets() []gw.HostEntry {
	relays := withoutHost(f.topologyOf().all, f.self.Name)
	f.mu.Lock()
	defer f.mu.Unlock()
	var targets []gw.HostEntry
	failing := map[gw.DataCentreName]bool{}
	seen := map[gw.DataCentreName]bool{}
	for _, relay := range relays {
		if relay.Region == f.self.Region || !seen[relay.DataCentre] || failing[relay.DataCentre] {
			targets = append(targets, relay)
		}
		seen[relay.DataCentre] = true
		failing[relay.DataCentre] = f.refused[relay.Name]
	}
	return targets
}

// pending returns the own items that a relay has not accepted, up to maxReplyBytes.
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
	bytes := 0
	for topic := range topics {
		accepted, ok := f.accepted[relay].versions[topic]
		item, newer, err := f.hub.Since(topic, accepted, ok)
		if err != nil {
			f.log.Error("item cannot be encoded for a relay", "topic", string(topic), "error", err)
		}
		if !newer {
			continue
		}
		if bytes += size(item); bytes > maxReplyBytes && len(items) > 0 {
			// The rest follows when the relay has accepted these.
			break
		}
		items = append(items, item)
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
	for _, topic := range reply.Missing {
		delete(held.versions, topic)
	}
	if len(reply.Missing) > 0 {
		f.wakeOffers()
	}
	f.accepted[relay.Name] = held
	return nil
}
