package geraniumworks

import (
	"context"
	"time"
)

// EntryState is the state that the host list gives for an entry.
type EntryState string

// States of an entry of the host list.
const (
	EntryLive    EntryState = "live"
	EntryLeaving EntryState = "leaving"
)

// HostEntry is a host of the system in the host list.
type HostEntry struct {
	Name       HostName       `json:"name"`
	Region     RegionName     `json:"region"`
	DataCentre DataCentreName `json:"data-centre"`
	State      EntryState     `json:"state"`
	// CallerAddress is where callers reach the host, PeerAddress where other hosts reach it for control, and
	// RelayAddress where they pass on requests. All are IP and port.
	CallerAddress string `json:"caller-address"`
	PeerAddress   string `json:"peer-address"`
	RelayAddress  string `json:"relay-address"`
	// Cores is the share of processor cores that the host has, LinkMegabits what its network link carries in Mbit/s. Zero
	// means that it is not known.
	Cores        float64 `json:"cores,omitempty"`
	LinkMegabits float64 `json:"link-megabits,omitempty"`
}

const (
	// unknownWeight is the weight of a host of which neither processor nor link is known.
	unknownWeight = 100
	// weightPerCore makes a core weigh as much as a link of 100 Mbit/s: passing requests on at 100 Mbit/s takes about one
	// core, at 1 ms and 12 KB a request.
	weightPerCore = 100
	// callersWeight is what the callers of a host take of its weight, since the balancer gives every host the same share
	// of them: 45 requests a second with 10 KB each way are 4 Mbit/s, and twice that in bursts. leastShare is the share
	// of the weight that is left at least.
	callersWeight = 8
	leastShare    = 0.2
)

// Weight is how much work for others a host can take compared with other hosts: what its scarcer resource permits
// beside its own callers.
func (h HostEntry) Weight() float64 {
	weight := max(h.Cores*weightPerCore, h.LinkMegabits)
	switch {
	case weight <= 0:
		return unknownWeight
	case h.Cores > 0 && h.LinkMegabits > 0:
		weight = min(h.Cores*weightPerCore, h.LinkMegabits)
	}
	return max(weight-callersWeight, weight*leastShare)
}

// ServerEntry is a backend server in the host list.
type ServerEntry struct {
	Name       ServerName     `json:"name"`
	Service    ServiceName    `json:"service"`
	Region     RegionName     `json:"region"`
	DataCentre DataCentreName `json:"data-centre"`
	State      EntryState     `json:"state"`
	// Address is the IP and port for work and control.
	Address string `json:"address"`
	// Incarnation identifies the run of the server, empty when the list does not say.
	Incarnation Incarnation `json:"incarnation,omitempty"`
	// Slots is the number of requests that the server runs at once, zero for the configured number.
	Slots int `json:"slots,omitempty"`
	// WarmAt is the Unix time in milliseconds from which the server bears its full load, zero when it is warm.
	WarmAt int64 `json:"warm-at-unix-milliseconds,omitempty"`
	// Lapsed is set for an entry that is no longer in the list, but may be back soon, since the list was away.
	Lapsed bool `json:"lapsed,omitempty"`
}

// Listing is one reading of the host list, or a part of one that a host passes on to others. It may lag behind the
// hosts' true state.
type Listing struct {
	// Revision orders readings of Servers by different hosts, HostsRevision those of Hosts. Zero means that the list does
	// not say, or that this listing does not hold them.
	Revision      uint64        `json:"revision,omitempty"`
	HostsRevision uint64        `json:"hosts-revision,omitempty"`
	Hosts         []HostEntry   `json:"hosts"`
	Servers       []ServerEntry `json:"servers"`
	// DataCentre is set in a part that holds the servers of one data centre only.
	DataCentre DataCentreName `json:"data-centre,omitempty"`
	// ChangedAfter is the last time at which the reader knew the servers before to be current, zero when it does not
	// tell. What differs from the reading before may have changed since then.
	ChangedAfter time.Time `json:"-"`
}

// HostList is the platform's lagging list of live and leaving hosts.
type HostList interface {
	// Hosts returns the current listing, or an error when the list cannot be read.
	Hosts(ctx context.Context) (Listing, error)
	// Changed returns a channel that receives when a newer listing is known to exist, nil when the list does not tell.
	Changed() <-chan struct{}
	// CurrentAt returns the last time at which this process knew the list to be current, zero when it does not tell.
	CurrentAt() time.Time
}

// ReadMode says what a host reads of the host list and the operators' configurations itself.
type ReadMode int

const (
	// ReadForOthers means that other hosts rely on what this host reads, or that it has nobody else to rely on.
	ReadForOthers ReadMode = iota
	// ReadForSelf means that this host also receives what other hosts read, and reads for the case that they fail.
	ReadForSelf
	// ReadHosts means that this host looks for the hosts that it may rely on.
	ReadHosts
	// ReadNothing means that this host relies on others, which have answered lately.
	ReadNothing
)
