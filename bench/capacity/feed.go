package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwpeer"
	"github.com/geraniumworks/geraniumworks/internal/process/gwtimer"
	"github.com/geraniumworks/geraniumworks/internal/version/gwfeed"
)

// feedTimeout bounds the wait for an item on all hosts.
const feedTimeout = 20 * time.Second

type feedCommand struct {
	Hosts   []int `long:"hosts" default:"10" default:"50" default:"150" description:"hosts of a data centre with two relays"`
	Topics  []int `long:"topics" default:"10" default:"100" default:"1000" description:"items held besides the configuration"`
	KB      []int `long:"config-kb" default:"10" default:"100" default:"1000" description:"size of the configuration"`
	Changes int   `long:"changes" default:"3" description:"configuration changes that are timed"`
	Rest    int   `long:"rest-seconds" default:"9" description:"measured time without changes"`
}

// Execute implements flags.Commander.
func (c *feedCommand) Execute([]string) error {
	fmt.Println("in rest: hosts, topics; bytes a second of a host that is no relay (sent, received), CPU ms a second of " +
		"a host, relay's share included")
	for _, topics := range c.Topics {
		if err := c.run(c.Hosts[0], topics, c.KB[0], 0); err != nil {
			return err
		}
	}
	fmt.Println("change: hosts, KB of configuration; bytes received by a host that is no relay, sizes of the " +
		"configuration in them, ms until all hosts have it (each change), CPU ms of a host and change")
	for _, kb := range c.KB {
		for _, hosts := range c.Hosts {
			if err := c.run(hosts, c.Topics[0], kb, c.Changes); err != nil {
				return err
			}
		}
	}
	return nil
}

// member is a host with its feed, its peer listener and its counters.
type member struct {
	hub      *gwfeed.Hub
	registry *prometheus.Registry
	relay    bool
}

// storeItem is the configuration item that relays read.
type storeItem struct {
	mu      sync.Mutex
	item    gw.Item
	changed chan struct{}
}

func newStoreItem() *storeItem { return &storeItem{changed: make(chan struct{})} }

func (s *storeItem) set(item gw.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.item = item
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *storeItem) get() (gw.Item, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.item, s.changed
}

// Current implements gwfeed.Source.
func (s *storeItem) Current(context.Context) ([]gw.Item, error) {
	item, _ := s.get()
	return []gw.Item{item}, nil
}

// Next implements gwfeed.Source.
func (s *storeItem) Next(ctx context.Context, have map[gw.Topic]gw.ItemVersion) ([]gw.Item, error) {
	for {
		item, changed := s.get()
		if have[item.Topic].Less(item.Version) {
			return []gw.Item{item}, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// handler answers pulls and offers.
type handler struct {
	gwpeer.Handler
	feed *gwfeed.Feed
}

// Pull implements gwpeer.Handler.
func (h handler) Pull(ctx context.Context, req gw.PullRequest) (gw.PullReply, error) {
	return h.feed.Serve(ctx, req), nil
}

// Offer implements gwpeer.Handler.
func (h handler) Offer(_ context.Context, req gw.OfferRequest) (gw.OfferReply, error) {
	return h.feed.Accept(req)
}

func configItem(version uint64, kb int) gw.Item {
	data, _ := json.Marshal(strings.Repeat("a", 1000*kb))
	return gw.Item{Topic: "config", Version: gw.ItemVersion{Sequence: version}, Data: data}
}

func (c *feedCommand) run(hosts, topics, kb, changes int) error {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	defer func() {
		cancel()
		_ = group.Wait()
	}()
	store := newStoreItem()
	store.set(configItem(1, kb))
	members, err := startMembers(ctx, group, hosts, store)
	if err != nil {
		return err
	}
	if err := eventually(ctx, members, "config", 1); err != nil {
		return err
	}
	for t := range topics {
		topic := gw.Topic(fmt.Sprintf("directory/lookups-%d/region-%d-dc-%d", t/9, t%9/3, t%3))
		item := gw.Item{Topic: topic, Version: gw.ItemVersion{Epoch: 3, Sequence: 100}, Data: json.RawMessage(`"x"`)}
		for _, m := range members {
			if _, err := m.hub.Put(item); err != nil {
				return err
			}
		}
	}
	if !gwtimer.Sleep(ctx, time.Second) {
		return ctx.Err()
	}
	if changes == 0 {
		return c.inRest(ctx, members, topics)
	}
	return c.change(ctx, members, store, kb, changes)
}

func startMembers(ctx context.Context, group *errgroup.Group, hosts int, store *storeItem) ([]member, error) {
	entries := make([]gw.HostEntry, hosts)
	listeners := make([]net.Listener, hosts)
	var config net.ListenConfig
	for i := range entries {
		l, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, eris.Wrap(err, "listen")
		}
		listeners[i] = l
		entries[i] = gw.HostEntry{
			Name: gw.HostName(fmt.Sprintf("region-0-dc-0-entry-%d", i)), DataCentre: "region-0-dc-0",
			State: gw.EntryLive, PeerAddress: l.Addr().String(),
		}
	}
	relays := map[gw.HostName]bool{}
	for _, r := range gwfeed.Relays(entries, "region-0-dc-0") {
		relays[r.Name] = true
	}
	members := make([]member, hosts)
	for i, entry := range entries {
		m := member{
			hub:      gwfeed.NewHub(func(gw.Item) error { return nil }),
			registry: prometheus.NewRegistry(), relay: relays[entry.Name],
		}
		client := gwpeer.NewClient(gwpeer.WithClientRegisterer(m.registry))
		feed := gwfeed.New(
			gwfeed.WithHub(m.hub), gwfeed.WithPeer(client), gwfeed.WithSource(store),
			gwfeed.WithSelf(entry, instanceOf(entry.Name)),
			gwfeed.WithHosts(func() []gw.HostEntry { return entries }))
		server := gwpeer.NewServer(handler{feed: feed})
		group.Go(func() error { return server.Serve(ctx, listeners[i]) })
		group.Go(func() error {
			defer func() { _ = client.Close() }()
			return feed.Run(ctx)
		})
		members[i] = m
	}
	return members, nil
}

func eventually(ctx context.Context, members []member, topic gw.Topic, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, feedTimeout)
	defer cancel()
	for _, m := range members {
		for {
			if item, ok := m.hub.Get(topic); ok && item.Version.Sequence >= version {
				break
			}
			if !gwtimer.Sleep(ctx, time.Millisecond) {
				return eris.Wrapf(ctx.Err(), "waiting for version %d", version)
			}
		}
	}
	return nil
}

// peerBytes returns the bytes that the clients of hosts that are no relays have sent and received, for one host.
func peerBytes(members []member) (sent, received float64, err error) {
	hosts := 0.0
	for _, m := range members {
		if m.relay {
			continue
		}
		hosts++
		families, err := m.registry.Gather()
		if err != nil {
			return 0, 0, err
		}
		for _, family := range families {
			if family.GetName() != "geraniumworks_peer_bytes_total" {
				continue
			}
			for _, metric := range family.GetMetric() {
				for _, label := range metric.GetLabel() {
					switch label.GetValue() {
					case "sent":
						sent += metric.GetCounter().GetValue()
					case "received":
						received += metric.GetCounter().GetValue()
					}
				}
			}
		}
	}
	return sent / hosts, received / hosts, nil
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func (c *feedCommand) inRest(ctx context.Context, members []member, topics int) error {
	sent, received, err := peerBytes(members)
	if err != nil {
		return err
	}
	cpu := processorTime()
	start := time.Now()
	if !gwtimer.Sleep(ctx, time.Duration(c.Rest)*time.Second) {
		return ctx.Err()
	}
	seconds := time.Since(start).Seconds()
	cpu = processorTime() - cpu
	sentAfter, receivedAfter, err := peerBytes(members)
	if err != nil {
		return err
	}
	fmt.Printf("  %4d %5d  %8.0f %8.0f %8.3f\n", len(members), topics, (sentAfter-sent)/seconds,
		(receivedAfter-received)/seconds, 1000*cpu.Seconds()/seconds/float64(len(members)))
	return nil
}

func (c *feedCommand) change(ctx context.Context, members []member, store *storeItem, kb, changes int) error {
	_, received, err := peerBytes(members)
	if err != nil {
		return err
	}
	cpu := processorTime()
	var times []int64
	for n := range changes {
		version := uint64(n + 2)
		start := time.Now()
		store.set(configItem(version, kb))
		if err := eventually(ctx, members, "config", version); err != nil {
			return err
		}
		times = append(times, time.Since(start).Milliseconds())
		// Answers of the second relay, and pulls that a host makes only now and then, come later.
		if !gwtimer.Sleep(ctx, 4*time.Second) {
			return ctx.Err()
		}
	}
	cpu = processorTime() - cpu
	_, after, err := peerBytes(members)
	if err != nil {
		return err
	}
	each := (after - received) / float64(changes)
	fmt.Printf("  %4d %5d  %9.0f %5.2f  %v %8.3f\n", len(members), kb, each, each/float64(1000*kb), times,
		1000*cpu.Seconds()/float64(changes*len(members)))
	return nil
}
