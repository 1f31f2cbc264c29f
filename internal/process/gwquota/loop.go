package gwquota

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	gw "github.com/geraniumworks/geraniumworks"
)

const (
	// callTimeout limits a message. Tokens in a later answer could not be used any more.
	callTimeout = loanLife
	// callInterval is the least time between two messages to the same coordinator.
	callInterval = 20 * time.Millisecond
	// admitTimeout limits the wait of a request for tokens, startTimeout while the coordinator is about to lend. Latency
	// objectives are 1 s and more where tenants have quotas, and all requests of a tenant would be refused until then.
	admitTimeout = 100 * time.Millisecond
	startTimeout = time.Second
	// suspectTime is how long a coordinator that did not answer twice is passed over, longSuspectTime when it does not
	// answer after that either. Requests wait in vain when it is tried again; the host that stands in tells when it is
	// back. After one failure it is asked again, since a host may pause for longer than callTimeout.
	failuresToSuspect = 2
	// failuresAtStart is the same while this host has just started. Others have, too, when all lost power together.
	failuresAtStart = 4
	suspectTime     = time.Second
	longSuspectTime = 8 * time.Second
	// adviceTime is how long the coordinator that another host has named is asked.
	adviceTime = 2 * time.Second
	// spreadTime is how long a quota that is new in a later configuration admits all requests, until the configuration is
	// in force at all hosts.
	spreadTime = 3 * time.Second
	// leastRetryAfter is the least Retry-After.
	leastRetryAfter = 50 * time.Millisecond
)

// Loop asks coordinators for the tokens of the requests that arrive here, and coordinates tenants itself. It is safe
// for concurrent use.
type Loop struct {
	self    gw.HostEntry
	peer    gw.Peer
	listing func() (gw.Listing, uint64)
	log     *slog.Logger
	metrics *metrics

	// wake asks Run for a step. results carries the ends of the calls that Run has started.
	wake    chan struct{}
	results chan callResult

	mu      sync.Mutex
	ledger  *Ledger
	share   *Share
	quotas  map[gw.TenantName]float64
	free    map[gw.TenantName]time.Time
	waiters map[gw.TenantName][]*waiter
	// due holds the tenants that may have something to ask for, by when.
	due     map[gw.TenantName]time.Time
	advice  map[gw.TenantName]advice
	targets map[gw.HostName]*target
	hosts   map[gw.HostName]gw.HostEntry
	// number is that of the listing applied last, at appliedAt.
	number    uint64
	appliedAt time.Time
	handovers []Handover
	cut       int
	// startedAt is when this host started. claimedAt is when claims that are not answered were last sent to a host.
	startedAt time.Time
	claimedAt map[gw.HostName]time.Time
}

// target is the state of the messages to one host.
type target struct {
	busy     bool
	notUntil time.Time
	// suspect is until when the host is passed over, after a number of failures in a row.
	suspect  time.Time
	failures int
}

type advice struct {
	host  gw.HostName
	until time.Time
}

type waiter struct {
	since, until time.Time
	ended        chan verdict
}

type verdict struct {
	admitted bool
	retry    time.Time
}

type callResult struct {
	host  gw.HostName
	sent  time.Time
	asks  []gw.QuotaAsk
	check bool
	claim bool
	reply gw.QuotaReply
	err   error
}

// Option configures a Loop.
type Option func(*Loop)

// WithPeer sets the peers that messages are sent through. It is required.
func WithPeer(p gw.Peer) Option {
	return func(l *Loop) { l.peer = p }
}

// WithListing sets the function that returns the host list and its number. It is required.
func WithListing(listing func() (gw.Listing, uint64)) Option {
	return func(l *Loop) { l.listing = listing }
}

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(log *slog.Logger) Option {
	return func(l *Loop) { l.log = log }
}

// WithRegisterer registers the metrics.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(l *Loop) { l.metrics.register(r) }
}

// New returns a Loop for the host self.
func New(self gw.HostEntry, opts ...Option) *Loop {
	l := &Loop{
		self: self, log: slog.New(slog.DiscardHandler), metrics: newMetrics(),
		wake: make(chan struct{}, 1), results: make(chan callResult),
		ledger: NewLedger(self), share: NewShare(),
		free: map[gw.TenantName]time.Time{}, waiters: map[gw.TenantName][]*waiter{},
		due: map[gw.TenantName]time.Time{}, advice: map[gw.TenantName]advice{},
		targets: map[gw.HostName]*target{}, hosts: map[gw.HostName]gw.HostEntry{},
		startedAt: time.Now(), claimedAt: map[gw.HostName]time.Time{},
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// SetConfig applies the quotas of a configuration.
func (l *Loop) SetConfig(cfg gw.Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	quotas := map[gw.TenantName]float64{}
	for _, t := range cfg.Tenants {
		if t.QuotaPerSecond <= 0 {
			continue
		}
		quotas[t.Name] = t.QuotaPerSecond
		if l.quotas != nil && l.quotas[t.Name] == 0 {
			l.free[t.Name] = now.Add(spreadTime)
		}
	}
	l.quotas = quotas
	keep := func(name gw.TenantName) bool { return quotas[name] > 0 }
	l.share.Forget(now, keep)
	for name := range l.free {
		if !keep(name) {
			delete(l.free, name)
		}
	}
	for name := range l.advice {
		if !keep(name) {
			delete(l.advice, name)
		}
	}
	l.handovers = append(l.handovers, l.ledger.SetTenants(now, cfg.Tenants)...)
	l.signal()
}

// Admit takes a token for a request of a tenant, or refuses it with gw.ReasonTenantLimit. It waits for admitTimeout at
// most. giveBack returns the token of a request that was never sent; it is called at most once.
func (l *Loop) Admit(ctx context.Context, tenant gw.Tenant) (giveBack func(), refusal *gw.Refusal) {
	if tenant.QuotaPerSecond <= 0 {
		return func() {}, nil
	}
	now := time.Now()
	w, v := l.take(now, tenant.Name)
	if w != nil {
		v = l.await(ctx, tenant.Name, w)
	}
	if v.admitted {
		return func() { l.giveBack(tenant.Name) }, nil
	}
	l.metrics.requests.WithLabelValues("refused").Inc()
	after := max(time.Until(v.retry), leastRetryAfter)
	// Callers that were refused together do not return together.
	after += rand.N(after)
	return nil, gw.Refuse(gw.ReasonTenantLimit, "the tenant exceeds its quota").WithRetryAfter(after.Milliseconds())
}

// take decides about a request, or returns the waiter for the decision.
func (l *Loop) take(now time.Time, tenant gw.TenantName) (*waiter, verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.free[tenant]) {
		return nil, verdict{admitted: true}
	}
	until := now.Add(admitTimeout)
	if l.share.Starting(tenant, now.Sub(l.startedAt) < startPeriod) {
		until = now.Add(startTimeout)
	}
	v, retry := l.share.Take(now, tenant, until)
	if v == Waiting && l.coordinator(now, tenant) == l.self.Name {
		l.askSelf(now, tenant)
		v, retry = l.share.TakeWaiting(now, tenant, until)
	}
	l.plan(now, tenant)
	switch v {
	case Admitted:
		l.metrics.requests.WithLabelValues("admitted").Inc()
		return nil, verdict{admitted: true}
	case Refused:
		return nil, verdict{retry: retry}
	}
	w := &waiter{since: now, until: until, ended: make(chan verdict, 1)}
	l.waiters[tenant] = append(l.waiters[tenant], w)
	return w, verdict{}
}

// await waits for the decision about a request.
func (l *Loop) await(ctx context.Context, tenant gw.TenantName, w *waiter) verdict {
	// w.until changes under mu only.
	until := w.since.Add(admitTimeout)
	for {
		timer := time.NewTimer(time.Until(until))
		select {
		case v := <-w.ended:
			timer.Stop()
			return v
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		l.mu.Lock()
		if ctx.Err() != nil || !w.until.After(until) {
			break
		}
		// The coordinator is about to lend.
		until = w.until
		l.mu.Unlock()
	}
	defer l.mu.Unlock()
	select {
	case v := <-w.ended:
		return v
	default:
	}
	l.waiters[tenant] = slices.DeleteFunc(l.waiters[tenant], func(x *waiter) bool { return x == w })
	if len(l.waiters[tenant]) == 0 {
		delete(l.waiters, tenant)
	}
	l.share.Leave(tenant)
	l.metrics.requests.WithLabelValues("unanswered").Inc()
	return verdict{retry: time.Now().Add(admitTimeout)}
}

func (l *Loop) giveBack(tenant gw.TenantName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.share.GiveBack(now, tenant)
	l.plan(now, tenant)
}

// serve decides about the waiting requests of a tenant, in the order of their arrival. The caller holds mu.
func (l *Loop) serve(now time.Time, tenant gw.TenantName) {
	waiting := l.waiters[tenant]
	for i, w := range waiting {
		v, retry := l.share.TakeWaiting(now, tenant, w.until)
		if v == Waiting {
			l.waiters[tenant] = waiting[i:]
			return
		}
		if v == Admitted {
			l.metrics.requests.WithLabelValues("waited").Inc()
		}
		w.ended <- verdict{admitted: v == Admitted, retry: retry}
	}
	delete(l.waiters, tenant)
}

// plan notes when a tenant has something to ask for. The caller holds mu.
func (l *Loop) plan(now time.Time, tenant gw.TenantName) {
	at, ok := l.share.Next(now, tenant)
	if !ok {
		delete(l.due, tenant)
		return
	}
	before, planned := l.due[tenant]
	l.due[tenant] = at
	if !planned || at.Before(before) {
		l.signal()
	}
}

func (l *Loop) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// coordinator returns the host to ask for tokens of a tenant, empty when there is none. The caller holds mu.
func (l *Loop) coordinator(now time.Time, tenant gw.TenantName) gw.HostName {
	if a, ok := l.advice[tenant]; ok {
		if _, listed := l.hosts[a.host]; listed && now.Before(a.until) {
			return a.host
		}
		delete(l.advice, tenant)
	}
	for _, name := range l.ledger.Orders()[tenant] {
		if t := l.targets[name]; t == nil || !now.Before(t.suspect) {
			return name
		}
	}
	return ""
}

// askSelf asks this host's own ledger. The caller holds mu.
func (l *Loop) askSelf(now time.Time, tenant gw.TenantName) {
	ask, ok := l.share.Ask(now, tenant)
	if !ok {
		return
	}
	l.apply(now, now, []gw.QuotaAsk{ask}, l.ask(now, gw.QuotaRequest{Host: l.self.Name, Asks: []gw.QuotaAsk{ask}}))
}

// ask asks this host's ledger. The caller holds mu.
func (l *Loop) ask(now time.Time, req gw.QuotaRequest) gw.QuotaReply {
	reply := l.ledger.Answer(now, req)
	for _, g := range reply.Grants {
		l.metrics.lent.Add(float64(g.Tokens))
	}
	return reply
}

// apply applies the answer to asks. The caller holds mu.
func (l *Loop) apply(now, sent time.Time, asks []gw.QuotaAsk, reply gw.QuotaReply) {
	for _, ask := range asks {
		i := slices.IndexFunc(reply.Grants, func(g gw.QuotaGrant) bool { return g.Tenant == ask.Tenant })
		if i < 0 {
			l.share.Failed(now, ask.Tenant)
			continue
		}
		g := reply.Grants[i]
		l.share.Answer(now, sent, g)
		if g.Starting {
			l.holdOn(ask.Tenant)
		}
		if g.Coordinator != "" {
			l.share.Failed(now, ask.Tenant)
			l.advice[ask.Tenant] = advice{host: g.Coordinator, until: now.Add(adviceTime)}
		}
	}
}

// holdOn lets the waiting requests of a tenant wait until its coordinator lends. The caller holds mu.
func (l *Loop) holdOn(tenant gw.TenantName) {
	for _, w := range l.waiters[tenant] {
		w.until = later(w.until, w.since.Add(startTimeout))
	}
}

// ShareQuota answers another host.
func (l *Loop) ShareQuota(_ context.Context, req gw.QuotaRequest) (gw.QuotaReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ask(time.Now(), req), nil
}

// Stop hands the coordination of tenants over at a planned stop.
func (l *Loop) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handovers = append(l.handovers, l.ledger.Stop(time.Now())...)
	l.signal()
}

// Run sends messages until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	ticker.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	calls, ticking := 0, false
	for {
		select {
		case <-ctx.Done():
			for ; calls > 0; calls-- {
				<-l.results
			}
			return nil
		case r := <-l.results:
			calls--
			l.end(r)
		case <-ticker.C:
			calls += l.tick(ctx)
		case <-l.wake:
			// Without quotas there is nothing to check.
			if enabled := l.enabled(); enabled != ticking {
				ticking = enabled
				ticker.Reset(tickInterval)
				if !enabled {
					ticker.Stop()
				}
			}
		case <-timer.C:
		}
		started, next := l.step(ctx)
		calls += started
		timer.Reset(next)
	}
}

// enabled reports whether a tenant has a quota.
func (l *Loop) enabled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.quotas) > 0
}

// tick applies the listing and checks contact with other hosts. It returns the number of calls started.
func (l *Loop) tick(ctx context.Context) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.applyListing(now)
	started := 0
	for name, asks := range l.ledger.Tick(now) {
		if h, ok := l.hosts[name]; ok {
			l.call(ctx, h, gw.QuotaRequest{Host: l.self.Name, Asks: asks}, true)
			started++
		}
	}
	for name, tenants := range l.ledger.Claims(now) {
		if h, ok := l.hosts[name]; ok && now.Sub(l.claimedAt[name]) >= claimInterval {
			l.claimedAt[name] = now
			l.call(ctx, h, gw.QuotaRequest{Host: l.self.Name, Claims: tenants}, true)
			started++
		}
	}
	l.share.Forget(now, func(name gw.TenantName) bool { return l.quotas[name] > 0 })
	l.metrics.coordinated.Set(float64(l.ledger.Coordinated(now)))
	if cut := l.ledger.Cut(); cut != l.cut {
		l.log.Warn("data centres whose share of quotas is not lent have changed", "before", l.cut, "now", cut)
		l.cut = cut
	}
	return started
}

// applyListing applies the listing when it has changed, and once in matureAfter because hosts have become candidates.
// The caller holds mu.
func (l *Loop) applyListing(now time.Time) {
	listing, number := l.listing()
	if number == l.number && now.Sub(l.appliedAt) < matureAfter/2 {
		return
	}
	l.number, l.appliedAt = number, now
	l.hosts = make(map[gw.HostName]gw.HostEntry, len(listing.Hosts))
	for _, h := range listing.Hosts {
		l.hosts[h.Name] = h
	}
	for name := range l.targets {
		if _, ok := l.hosts[name]; !ok && !l.targets[name].busy {
			delete(l.targets, name)
		}
	}
	l.handovers = append(l.handovers, l.ledger.SetHosts(now, listing.Hosts)...)
}

// step sends what is due. It returns the number of calls started and when the next step is due.
func (l *Loop) step(ctx context.Context) (started int, next time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, h := range l.handovers {
		if host, ok := l.hosts[h.To]; ok {
			l.call(ctx, host, gw.QuotaRequest{Host: l.self.Name, Handovers: h.Tenants}, true)
			started++
		}
	}
	l.handovers = nil
	byHost := map[gw.HostName][]gw.TenantName{}
	for tenant, at := range l.due {
		if at.After(now) {
			continue
		}
		switch name := l.coordinator(now, tenant); name {
		case l.self.Name:
			l.askSelf(now, tenant)
			l.serve(now, tenant)
			l.plan(now, tenant)
		case "":
			l.share.Failed(now, tenant)
			l.serve(now, tenant)
			l.plan(now, tenant)
		default:
			if t := l.target(name); !t.busy && !now.Before(t.notUntil) {
				byHost[name] = append(byHost[name], tenant)
			}
		}
	}
	for name, tenants := range byHost {
		if l.send(ctx, now, name, tenants) {
			started++
		}
	}
	return started, max(l.nextStep(now), time.Millisecond)
}

// nextStep returns how long nothing will be due. The end of a call to a busy host is a step of its own. The caller
// holds mu.
func (l *Loop) nextStep(now time.Time) time.Duration {
	next := time.Minute
	for tenant, at := range l.due {
		if t := l.targets[l.coordinator(now, tenant)]; t != nil {
			if t.busy {
				continue
			}
			at = later(at, t.notUntil)
		}
		next = min(next, at.Sub(now))
	}
	return next
}

// send asks a coordinator for the tokens of tenants, in one message. The caller holds mu.
func (l *Loop) send(ctx context.Context, now time.Time, name gw.HostName, tenants []gw.TenantName) bool {
	var asks []gw.QuotaAsk
	for _, tenant := range tenants {
		if ask, ok := l.share.Ask(now, tenant); ok {
			asks = append(asks, ask)
			delete(l.due, tenant)
		} else {
			l.plan(now, tenant)
		}
	}
	if len(asks) == 0 {
		return false
	}
	l.target(name).busy = true
	l.call(ctx, l.hosts[name], gw.QuotaRequest{Host: l.self.Name, Asks: asks}, false)
	return true
}

func (l *Loop) target(name gw.HostName) *target {
	t := l.targets[name]
	if t == nil {
		t = &target{}
		l.targets[name] = t
	}
	return t
}

// call sends a message in a goroutine, which reports its end on results.
func (l *Loop) call(ctx context.Context, to gw.HostEntry, req gw.QuotaRequest, check bool) {
	sent, claim, timeout := time.Now(), len(req.Claims) > 0, callTimeout
	if claim {
		timeout = claimTimeout
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		reply, err := l.peer.ShareQuota(ctx, to.PeerAddress, req)
		l.results <- callResult{
			host: to.Name, sent: sent, asks: req.Asks, check: check, claim: claim, reply: reply, err: err,
		}
	}()
}

// end applies the end of a call.
func (l *Loop) end(r callResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	kind, result := "ask", "ok"
	if r.check {
		kind = "check"
	}
	if r.err != nil {
		result = "failed"
	} else {
		l.ledger.Answered(now, r.sent, r.host, r.reply)
	}
	if r.claim {
		delete(l.claimedAt, r.host)
	}
	l.metrics.messages.WithLabelValues(kind, result).Inc()
	if r.check {
		return
	}
	t := l.target(r.host)
	t.busy, t.notUntil = false, r.sent.Add(callInterval)
	if r.err != nil {
		t.failures++
		limit := failuresToSuspect
		if now.Sub(l.startedAt) < startPeriod {
			limit = failuresAtStart
		}
		switch {
		case t.failures < limit:
		case t.suspect.IsZero():
			l.log.Warn("coordinator of quotas does not answer", "host-asked", string(r.host), "error", r.err)
			t.suspect = now.Add(suspectTime)
		default:
			t.suspect = now.Add(longSuspectTime)
		}
	} else {
		t.failures, t.suspect = 0, time.Time{}
		l.apply(now, r.sent, r.asks, r.reply)
	}
	for _, ask := range r.asks {
		if r.err != nil {
			l.share.Failed(now, ask.Tenant)
			delete(l.advice, ask.Tenant)
		}
		l.serve(now, ask.Tenant)
		l.plan(now, ask.Tenant)
	}
}
