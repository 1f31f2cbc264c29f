package gwfeed

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/process/gwtimer"
)

const (
	// pullWait is how long a relay may hold a pull without news.
	pullWait = 3 * time.Second
	// pullPause is the time between news and the next pull, so that several commits cost a host one item. It takes in each
	// item whole, and the cells of a large key space commit many times a second.
	pullPause = 150 * time.Millisecond
	// reliedPullPause replaces pullPause where many hosts pull from one relay.
	reliedPullPause = 250 * time.Millisecond
	// callSlack is added to pullWait, and bounds calls that are answered at once.
	callSlack = time.Second
	// offerInterval repeats offers that a relay has not accepted yet.
	offerInterval = 500 * time.Millisecond
	// followWait and secondInterval replace pullWait and syncInterval in a data centre whose hosts rely on their relays: a
	// relay that no longer answers, or that the store no longer answers, is noticed within them.
	followWait     = time.Second
	secondInterval = time.Second
	// currentFor is how long the last answer of the store to a relay counts: one watch and the pause after it, and the
	// time until the relay is asked next.
	currentFor = 2200 * time.Millisecond
	// sourceCycle is how far a relay whose source is current may be behind the store: one watch and the pause after it.
	sourceCycle = 1150 * time.Millisecond
	// lookInterval is the time between looks at the list of hosts while this one has no relay, or is none. It costs
	// nothing, and a host that has just started knows no others yet.
	lookInterval = 100 * time.Millisecond
	// syncInterval is the time between comparisons of versions among relays.
	syncInterval = 2 * time.Second
	// watchWait bounds one watch of the store.
	watchWait = 20 * time.Second
	// retryDelay and maxRetryDelay bound the backoff after a failed call.
	retryDelay    = 100 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// neededAnswers is how many relays a new process hears before it trusts their configuration, since one relay
	// alone may be behind.
	neededAnswers = 2
)

// Feed keeps a Hub up to date: it pulls from the relays of its data centre, watches the store when this host is a
// relay, and offers the items that this host publishes to all relays.
type Feed struct {
	hub      *Hub
	peer     gw.Peer
	source   Source
	self     gw.HostEntry
	instance gw.InstanceID
	hosts    func() []gw.HostEntry
	log      *slog.Logger
	counters counters
	wake     chan struct{}
	// sourceCurrent reports whether the store answers this host. interests are the topics that this host needs while it is
	// no relay and wantsAll is false.
	sourceCurrent func() bool
	// sourceAge returns how long ago the store last answered this host.
	sourceAge func() time.Duration
	interests []gw.Topic
	wantsAll  func() bool
	// sourceMirrored is set when the source keeps a copy of the store as ReadMode says, so that reading it costs no call.
	sourceMirrored bool
	topology       atomic.Pointer[topology]
	// createdAt is when the process created the feed.
	createdAt time.Time
	// currentAt is when a relay with a current source last answered, nil before the first time. It has no lock, since what
	// applies an item may ask for it.
	currentAt atomic.Pointer[time.Time]
	// sourceAnsweredAt is when the store last answered a relay that has answered this host, nil before the first time.
	sourceAnsweredAt atomic.Pointer[time.Time]

	mu       sync.Mutex
	own      map[gw.Topic]struct{}
	accepted map[gw.HostName]acceptance
	// regional are the topics that are offered within the region only.
	regional map[gw.Topic]struct{}
	// refused holds the relays that did not accept the last offer.
	refused map[gw.HostName]bool
	// firstAnswered is when the first relay in the order of this host last answered a pull.
	firstAnswered time.Time
	// heardAt is when a relay or the store last answered.
	heardAt time.Time
	trusted bool
	ready   chan struct{}
}

// acceptance is what a relay has accepted from this host.
type acceptance struct {
	instance gw.InstanceID
	versions map[gw.Topic]gw.ItemVersion
}

// New returns a Feed.
func New(opts ...Option) *Feed {
	f := &Feed{
		log:      slog.New(slog.DiscardHandler),
		counters: newCounters(),
		wake:     make(chan struct{}, 1),
		own:      map[gw.Topic]struct{}{},
		accepted: map[gw.HostName]acceptance{},
		refused:  map[gw.HostName]bool{},
		regional: map[gw.Topic]struct{}{},
		ready:    make(chan struct{}),

		createdAt:     time.Now(),
		sourceCurrent: func() bool { return true },
		sourceAge:     func() time.Duration { return 0 },
		wantsAll:      func() bool { return true },
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Ready returns a channel that is closed when the configuration held is known to be one in force: the store or
// two relays have answered.
func (f *Feed) Ready() <-chan struct{} {
	return f.ready
}

// Publish makes an item of this host known to all hosts.
func (f *Feed) Publish(item gw.Item) error {
	if _, err := f.hub.Put(item); err != nil {
		return err
	}
	f.mu.Lock()
	f.own[item.Topic] = struct{}{}
	f.mu.Unlock()
	f.wakeOffers()
	return nil
}

func (f *Feed) wakeOffers() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Keep holds an item that every data centre reads for itself, for the hosts that pull from this one. A relay
// offers it to the relays of its region too, whose own path to the source may be cut.
func (f *Feed) Keep(item gw.Item) error {
	if err := f.put("own", []gw.Item{item}); err != nil {
		return err
	}
	f.mu.Lock()
	f.regional[item.Topic] = struct{}{}
	f.mu.Unlock()
	f.wakeOffers()
	return nil
}

// Serve answers a pull of another host. It waits for news as long as the request allows.
func (f *Feed) Serve(ctx context.Context, req gw.PullRequest) gw.PullReply {
	wait := min(max(time.Duration(req.WaitMilliseconds)*time.Millisecond, 0), pullWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	items, err := f.hub.Wait(ctx, req.Have, req.Only...)
	if err != nil {
		f.log.Error("items cannot be encoded for another host", "host", string(req.Host), "error", err)
	}
	return gw.PullReply{
		Instance: f.instance, Items: items, SourceCurrent: f.sourceCurrent(),
		SourceAgeMilliseconds: f.sourceAge().Milliseconds(),
	}
}

// Accept keeps the items that another host offers.
func (f *Feed) Accept(req gw.OfferRequest) (gw.OfferReply, error) {
	if err := f.put("offer", req.Items); err != nil && !errors.Is(err, errUnreadableChange) {
		return gw.OfferReply{}, err
	}
	reply := gw.OfferReply{Instance: f.instance}
	held := f.hub.Versions()
	for _, item := range req.Items {
		if held[item.Topic].Less(item.Version) {
			reply.Missing = append(reply.Missing, item.Topic)
		}
	}
	return reply, nil
}

// Run keeps the hub up to date until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for slot := range RelaysPerDataCentre {
		group.Go(func() error { return f.follow(ctx, slot) })
	}
	group.Go(func() error { return f.watch(ctx) })
	group.Go(func() error { return f.offer(ctx) })
	group.Go(func() error { return f.compare(ctx) })
	group.Go(func() error { return f.start(ctx) })
	return group.Wait()
}

// follow pulls from one relay of the own data centre.
//
// Pulls wait for news at the first relay in the order of this host only, while that one answers. With pulls waiting
// at both relays, each sends every new item, so that a host received each configuration twice.
func (f *Feed) follow(ctx context.Context, slot int) error {
	delay := newBackoff()
	for ctx.Err() == nil {
		relays := pullOrder(withoutHost(f.topologyOf().own, f.self.Name), f.self.Name)
		if slot >= len(relays) {
			gwtimer.Sleep(ctx, lookInterval)
			continue
		}
		wait, second, pause := pullWait, pullWait, pullPause
		if f.relies() {
			wait, second, pause = followWait, secondInterval, reliedPullPause
		}
		if slot > 0 && f.firstAnswers() {
			wait = 0
		}
		news, err := f.pull(ctx, relays[slot], wait)
		if err != nil {
			gwtimer.Sleep(ctx, delay.next())
			continue
		}
		delay = newBackoff()
		if news {
			gwtimer.Sleep(ctx, pause)
		}
		if slot == 0 {
			f.firstAnswer()
		} else if wait == 0 {
			// What the first relay does not pass on, although it answers, is late by this time at most.
			gwtimer.Sleep(ctx, jitter(second))
		}
	}
	return nil
}

func (f *Feed) firstAnswer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.firstAnswered = time.Now()
}

func (f *Feed) heard() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heardAt = time.Now()
}

// HeardAt returns when a relay or the store last answered this host, zero before the first time. A pull that waits for
// news is answered after 3 s at most, a watch of the store after 20 s.
func (f *Feed) HeardAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heardAt
}

// firstAnswers reports whether the first relay in the order of this host answers pulls.
func (f *Feed) firstAnswers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.firstAnswered) < pullWait+callSlack
}

// pull asks a host for the items that it holds and this one does not, and reports whether there were any.
func (f *Feed) pull(ctx context.Context, from gw.HostEntry, wait time.Duration) (news bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	req := gw.PullRequest{
		From:             f.instance,
		Host:             f.self.Name,
		Have:             f.hub.Have(),
		Only:             f.only(),
		WaitMilliseconds: wait.Milliseconds(),
	}
	reply, err := f.peer.Pull(ctx, from.PeerAddress, req)
	f.counters.pulls.WithLabelValues(result(err)).Inc()
	if err != nil {
		return false, err
	}
	err = f.put("relay", reply.Items)
	f.heard()
	if reply.SourceCurrent {
		now := time.Now()
		f.currentAt.Store(&now)
		answeredAt := now.Add(-time.Duration(reply.SourceAgeMilliseconds) * time.Millisecond)
		if last := f.sourceAnsweredAt.Load(); last == nil || last.Before(answeredAt) {
			f.sourceAnsweredAt.Store(&answeredAt)
		}
	}
	return len(reply.Items) > 0, err
}

// only returns the topics that this host pulls, nil for all.
func (f *Feed) only() []gw.Topic {
	if f.wantsAll() || f.isRelay() {
		return nil
	}
	return f.interests
}

func (f *Feed) put(from string, items []gw.Item) error {
	kept, err := f.hub.Put(items...)
	f.counters.items.WithLabelValues(from).Add(float64(len(kept)))
	if err != nil {
		f.log.Warn("item refused", "from", from, "error", err)
	}
	return err
}

// watch reads the store while this host is a relay or reads for itself.
func (f *Feed) watch(ctx context.Context) error {
	delay := newBackoff()
	for ctx.Err() == nil {
		if !f.isRelay() && !f.readsForItself() {
			gwtimer.Sleep(ctx, lookInterval)
			continue
		}
		if err := f.read(ctx); err != nil {
			gwtimer.Sleep(ctx, delay.next())
			continue
		}
		delay = newBackoff()
	}
	return nil
}

// readsForItself reports whether this host reads configurations although it is no relay: it has none to rely on, or
// reading costs nothing.
func (f *Feed) readsForItself() bool {
	mode := f.ReadMode()
	return f.relies() && mode == gw.ReadForOthers || f.sourceMirrored && mode == gw.ReadForSelf
}

func (f *Feed) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchWait)
	defer cancel()
	items, err := f.source.Next(ctx, f.hub.Versions())
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return f.fromStore(items, err)
}

func (f *Feed) fromStore(items []gw.Item, err error) error {
	f.counters.reads.WithLabelValues(result(err)).Inc()
	if err != nil {
		return err
	}
	f.heard()
	for _, item := range items {
		if err := f.Keep(item); err != nil {
			return err
		}
	}
	f.trust()
	return nil
}

func (f *Feed) isRelay() bool {
	for _, r := range f.topologyOf().own {
		if r.Name == f.self.Name {
			return true
		}
	}
	return false
}

// start finds the configuration in force for a new process: from the store, or else from two relays.
func (f *Feed) start(ctx context.Context) error {
	delay := newBackoff()
	for ctx.Err() == nil {
		select {
		case <-f.ready:
			return nil
		default:
		}
		if mode := f.ReadMode(); mode == gw.ReadForOthers || mode == gw.ReadForSelf {
			f.askStore(ctx)
		}
		if f.askRelays(ctx) >= neededAnswers {
			f.trust()
		}
		gwtimer.Sleep(ctx, delay.next())
	}
	return nil
}

func (f *Feed) askStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callSlack)
	defer cancel()
	items, err := f.source.Current(ctx)
	_ = f.fromStore(items, err)
}

// askRelays pulls from all relays at once and returns how many answered, after the last of them has. The first two
// answers may both come from relays that are late, while a third one knows better.
func (f *Feed) askRelays(ctx context.Context) int {
	var answered atomic.Int64
	var group errgroup.Group
	for _, relay := range withoutHost(f.topologyOf().all, f.self.Name) {
		group.Go(func() error {
			if _, err := f.pull(ctx, relay, 0); err == nil {
				answered.Add(1)
			}
			return nil
		})
	}
	// The functions return no error.
	_ = group.Wait()
	return int(answered.Load())
}

// trust marks the process ready once it holds a configuration.
func (f *Feed) trust() {
	if _, ok := f.hub.Get(gw.Topic("config")); !ok {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.trusted {
		f.trusted = true
		close(f.ready)
	}
}

// compare exchanges versions with a random other relay while this host is a relay, to repair lost offers.
func (f *Feed) compare(ctx context.Context) error {
	for ctx.Err() == nil {
		gwtimer.Sleep(ctx, jitter(syncInterval))
		if !f.isRelay() {
			continue
		}
		others := withoutHost(f.topologyOf().all, f.self.Name)
		if len(others) > 0 {
			// A relay that cannot be reached now is asked again at another time.
			_, _ = f.pull(ctx, others[rand.IntN(len(others))], 0)
		}
	}
	return nil
}

// jitter returns a random time between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2)
}

// backoff doubles a delay up to maxRetryDelay.
type backoff struct{ delay time.Duration }

func newBackoff() *backoff {
	return &backoff{delay: retryDelay}
}

// next returns a random delay. Full jitter keeps a fleet from calling in step after an outage.
func (b *backoff) next() time.Duration {
	d := rand.N(b.delay) + 1
	b.delay = min(2*b.delay, maxRetryDelay)
	return d
}
