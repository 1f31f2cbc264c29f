package gwhost

import (
	"slices"
	"sync"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/version/gwtable"
)

const (
	// topicHosts is the topic of the hosts in the latest listing. topicServersPrefix precedes the data centre in the
	// topics of the servers: a host needs those of its own data centre only, unless it may control cells.
	topicHosts         gw.Topic = "hosts"
	topicServersPrefix string   = "servers/"
)

// interests returns the prefixes of the topics that a host needs that passes requests on and controls no cell.
func (h *Host) interests() []gw.Topic {
	return []gw.Topic{
		gwtable.TopicConfig, gwtable.AssignmentTopics, gwtable.DirectoryTopics, topicHosts,
		gw.Topic(topicServersPrefix + string(h.self.DataCentre)),
	}
}

// receivedAt returns the last time at which what other hosts pass on was known to be up to date here.
func (h *Host) receivedAt() time.Time {
	if h.feed == nil {
		return time.Time{}
	}
	return h.feed.CurrentAt()
}

// distributedListing is what this host has last passed on of its readings of the host list.
type distributedListing struct {
	mu      sync.Mutex
	hosts   []gw.HostEntry
	servers map[gw.DataCentreName][]gw.ServerEntry
}

// parts returns the parts of a listing that differ from those passed on last, and keeps them. Parts without a revision
// cannot be ordered, so they are not passed on.
func (d *distributedListing) parts(l gw.Listing) []gw.Listing {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changed []gw.Listing
	if l.HostsRevision > 0 && !slices.Equal(l.Hosts, d.hosts) {
		d.hosts = l.Hosts
		changed = append(changed, gw.Listing{HostsRevision: l.HostsRevision, Hosts: l.Hosts})
	}
	if l.Revision == 0 {
		return changed
	}
	servers := make(map[gw.DataCentreName][]gw.ServerEntry, len(d.servers))
	for dc := range d.servers {
		servers[dc] = nil
	}
	for _, s := range l.Servers {
		servers[s.DataCentre] = append(servers[s.DataCentre], s)
	}
	for dc, part := range servers {
		if held, ok := d.servers[dc]; !ok || !slices.Equal(held, part) {
			changed = append(changed, gw.Listing{Revision: l.Revision, Servers: part, DataCentre: dc})
		}
	}
	d.servers = servers
	return changed
}

// distributeListing passes what has changed in a listing on to the hosts that pull from this one.
func (h *Host) distributeListing(listing gw.Listing) {
	for _, part := range h.distributed.parts(listing) {
		topic, revision := topicHosts, part.HostsRevision
		if part.Revision > 0 {
			topic, revision = gw.Topic(topicServersPrefix+string(part.DataCentre)), part.Revision
		}
		item, err := gw.NewItem(topic, gw.ItemVersion{Sequence: revision}, part)
		if err == nil {
			err = h.feed.Keep(item)
		}
		if err != nil {
			h.log.Error("listing was not passed on", "topic", string(topic), "revision", revision, "error", err)
		}
	}
}

// applyRemoteListing applies a part of a listing that another host has read.
func (h *Host) applyRemoteListing(item gw.Item) error {
	var listing gw.Listing
	if err := item.Decode(&listing); err != nil {
		return err
	}
	h.members.ApplyRemote(listing)
	return nil
}
