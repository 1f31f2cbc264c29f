// Package gwfeed passes versioned items on to every host.
package gwfeed

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
)

// earlierVersions is how many earlier versions of an assignment a host keeps for others that have one of them. Hosts
// pull 150 ms after news, and the cells of a key space commit a few times a second each.
const earlierVersions = 8

// maxReplyBytes bounds the items that are sent at once, in bytes of their values, to a quarter of what a host reads as
// one message. The receiver asks for the others next.
const maxReplyBytes = 16 << 20

// errUnreadableChange is returned for a change that cannot be applied to the version that it was made from. The whole
// item may be in order.
var errUnreadableChange = errors.New("change of an item cannot be read")

// Hub holds the highest version of every item that this process has seen. It is safe for concurrent use.
type Hub struct {
	apply func(gw.Item) error

	mu      sync.Mutex
	items   map[gw.Topic]*heldItem
	changed chan struct{}
	// needsWhole holds the topics of which a change could not be read.
	needsWhole map[gw.Topic]bool
	// serves is set once another host has asked for items or is to be sent some. Earlier versions are kept since then.
	serves bool
}

// heldItem is an item with the earlier versions of its assignment, the oldest first, and the items that lead from
// them to the present one, which are made when they are first needed.
type heldItem struct {
	gw.Item
	earlier []gw.Item
	changes map[gw.ItemVersion]gw.Item
}

// NewHub returns a Hub that calls apply, in order and not concurrently, for each item that is newer than the one
// held. An item for which apply returns an error is not kept.
func NewHub(apply func(gw.Item) error) *Hub {
	return &Hub{
		apply: apply, items: map[gw.Topic]*heldItem{}, needsWhole: map[gw.Topic]bool{}, changed: make(chan struct{}),
	}
}

// Put keeps the items that are newer than those held and returns their topics. It returns the first error of
// apply after all items have been tried. A change of another version than the one held is not kept.
func (h *Hub) Put(items ...gw.Item) ([]gw.Topic, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var first error
	var kept []gw.Topic
	for _, item := range items {
		held := h.items[item.Topic]
		if held != nil && !held.Version.Less(item.Version) {
			continue
		}
		item, ok, err := resolve(held, item)
		if err == nil && ok {
			err = h.apply(item)
		}
		if err != nil && first == nil {
			first = err
		}
		if errors.Is(err, errUnreadableChange) {
			h.needsWhole[item.Topic] = true
		}
		if err != nil || !ok {
			continue
		}
		h.keep(held, item)
		delete(h.needsWhole, item.Topic)
		kept = append(kept, item.Topic)
	}
	if len(kept) > 0 {
		close(h.changed)
		h.changed = make(chan struct{})
	}
	return kept, first
}

// resolve decodes the assignment of an item. It returns false for a change of another version than the one held.
func resolve(held *heldItem, item gw.Item) (gw.Item, bool, error) {
	switch {
	case item.Assignment != nil:
	case item.Base != nil:
		if held == nil || held.Assignment == nil || held.Version != *item.Base {
			return item, false, nil
		}
		next, err := held.Assignment.WithChange(item.Change)
		if err != nil {
			return item, false, eris.Wrapf(errUnreadableChange, "item %s: %v", item.Topic, err)
		}
		item.Assignment, item.Base, item.Change = &next, nil, nil
	case len(item.Record) > 0:
		a, err := gw.DecodeAssignment(item.Record)
		if err != nil {
			return item, false, eris.Wrapf(err, "item %s", item.Topic)
		}
		item.Assignment = &a
	}
	return item, true, nil
}

// keep replaces the item held. The caller holds mu.
func (h *Hub) keep(held *heldItem, item gw.Item) {
	next := &heldItem{Item: item}
	if held != nil && held.Assignment != nil && item.Assignment != nil && h.serves {
		old := held.Item
		old.Record = nil
		next.earlier = append(slices.Clone(held.earlier), old)
		next.earlier = next.earlier[max(len(next.earlier)-earlierVersions, 0):]
	}
	h.items[item.Topic] = next
}

// Versions returns the version held of each topic.
func (h *Hub) Versions() map[gw.Topic]gw.ItemVersion {
	h.mu.Lock()
	defer h.mu.Unlock()
	versions := make(map[gw.Topic]gw.ItemVersion, len(h.items))
	for topic, item := range h.items {
		versions[topic] = item.Version
	}
	return versions
}

// Have returns the versions that other hosts need not send, and may send changes from. It leaves out the topics of
// which a change could not be read, so that these are sent whole.
func (h *Hub) Have() map[gw.Topic]gw.ItemVersion {
	versions := h.Versions()
	h.mu.Lock()
	defer h.mu.Unlock()
	for topic := range h.needsWhole {
		delete(versions, topic)
	}
	return versions
}

// Get returns the item held under topic.
func (h *Hub) Get(topic gw.Topic) (gw.Item, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, ok := h.items[topic]
	if !ok {
		return gw.Item{}, false
	}
	return held.Item, true
}

// Since returns the item of a topic for a host that has the given version of it, and false when that host is up to
// date. ok is whether the host has any version.
func (h *Hub) Since(topic gw.Topic, have gw.ItemVersion, ok bool) (gw.Item, bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.serves = true
	held := h.items[topic]
	if held == nil || ok && !have.Less(held.Version) {
		return gw.Item{}, false, nil
	}
	item, err := held.since(have, ok)
	return item, err == nil, err
}

// since returns what a host with the given version needs: the change from that version if it is known, else the whole
// item.
func (i *heldItem) since(have gw.ItemVersion, ok bool) (gw.Item, error) {
	if i.Assignment == nil {
		return i.Item, nil
	}
	if change, found := i.changes[have]; ok && found {
		return change, nil
	}
	n := slices.IndexFunc(i.earlier, func(e gw.Item) bool { return e.Version == have })
	if !ok || n < 0 {
		if len(i.Record) == 0 {
			record, err := gw.EncodeAssignment(*i.Assignment)
			if err != nil {
				return gw.Item{}, err
			}
			i.Record = record
		}
		return i.Item, nil
	}
	data, err := gw.EncodeChange(*i.earlier[n].Assignment, *i.Assignment)
	if err != nil {
		return gw.Item{}, err
	}
	base := have
	change := gw.Item{Topic: i.Topic, Version: i.Version, StoreVersion: i.StoreVersion, Change: data, Base: &base}
	if i.changes == nil {
		i.changes = map[gw.ItemVersion]gw.Item{}
	}
	i.changes[have] = change
	return change, nil
}

// Wait returns the items newer than those in have, ordered by topic, of the topics that begin with one of the prefixes
// in only, of all topics when there are none, up to maxReplyBytes. When there are no such items it waits until ctx ends
// and then returns none. The error names items that cannot be encoded; it does not hold up the others.
func (h *Hub) Wait(ctx context.Context, have map[gw.Topic]gw.ItemVersion, only ...gw.Topic) ([]gw.Item, error) {
	h.mu.Lock()
	h.serves = true
	h.mu.Unlock()
	for {
		items, changed, err := h.newer(have, only)
		if len(items) > 0 {
			return items, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, err
		}
	}
}

func (h *Hub) newer(have map[gw.Topic]gw.ItemVersion, only []gw.Topic) ([]gw.Item, <-chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var items []gw.Item
	var failed error
	bytes := 0
	for _, topic := range slices.Sorted(maps.Keys(h.items)) {
		version, ok := have[topic]
		held := h.items[topic]
		if !wanted(topic, only) || ok && !version.Less(held.Version) {
			continue
		}
		item, err := held.since(version, ok)
		if err != nil {
			failed = errors.Join(failed, eris.Wrapf(err, "item %s", topic))
			continue
		}
		if bytes += size(item); bytes > maxReplyBytes && len(items) > 0 {
			break
		}
		items = append(items, item)
	}
	return items, h.changed, failed
}

// size returns the size of an item's value as it is sent, in bytes.
func size(item gw.Item) int {
	return len(item.Data) + len(item.Packed) + len(item.Record) + len(item.Change)
}

// wanted reports whether a topic begins with one of the prefixes in only, or only is empty.
func wanted(topic gw.Topic, only []gw.Topic) bool {
	return len(only) == 0 || slices.ContainsFunc(only, func(prefix gw.Topic) bool {
		return strings.HasPrefix(string(topic), string(prefix))
	})
}
