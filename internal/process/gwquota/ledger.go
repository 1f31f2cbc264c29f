package gwquota

import (
	"math"
	"slices"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/version/gwrank"
)

// Ledger lends the quotas of the tenants that this host coordinates. The first listed host in the tenant's rendezvous
// order is its coordinator; a later one stands in for hosts that cannot reach the first. It has no clock of its own.
//
// It addresses tenants whose clients are spread over 85 hosts in lumps, tenants whose rate rises 7.5 times at once, and
// links between data centres that are cut: both sides together lend no more than the quota.
type Ledger struct {
	self     gw.HostEntry
	contacts *contacts
	tenants  map[gw.TenantName]gw.Tenant
	orders   map[gw.TenantName][]gw.HostName
	buckets  map[gw.TenantName]*bucket
	// names are the hosts that may coordinate, since changed.
	names   []gw.HostName
	changed time.Time
	// ticked is the time of the last tick.
	ticked  time.Time
	stopped bool
	// started is when this host first had a configuration or a listing. lentAt is when it last lent to a tenant.
	started time.Time
	lentAt  map[gw.TenantName]time.Time
}

// bucket holds the tokens of one tenant.
type bucket struct {
	tokens float64
	// at is until when tokens have accrued, start when lending begins.
	at, start time.Time
	// first is set while this host is first in the tenant's order. taken is until when this host coordinates although it
	// is not, since the one before it has handed over.
	first bool
	taken time.Time
	// agreed is what the other hosts of the order last said about not lending.
	agreed map[gw.HostName]agreement
	// claimed are the tokens that they had left.
	claimed float64
	// givenTo is the host that this one has handed over to, until givenUntil.
	givenTo    gw.HostName
	givenUntil time.Time
	asked      time.Time
	// standIn is since when other hosts have asked this one in place of an earlier one, standIns when each did last.
	standIn  time.Time
	standIns map[gw.HostName]time.Time
	// lent and missing count the tokens lately lent, of which no more can be returned, and those lately asked for in vain.
	// Both decay from countedAt.
	lent, missing float64
	countedAt     time.Time
}

// agreement is the answer of a host that does not lend to a tenant: when it was asked for, and for how long it had lent
// nothing then.
type agreement struct {
	at   time.Time
	idle time.Duration
}

// Handover is the end of this host's coordination of tenants, to be told to the next coordinator.
type Handover struct {
	To      gw.HostName
	Tenants []gw.QuotaHandover
}

// NewLedger returns a Ledger without tenants or hosts.
func NewLedger(self gw.HostEntry) *Ledger {
	return &Ledger{
		self: self, contacts: newContacts(self), tenants: map[gw.TenantName]gw.Tenant{},
		orders: map[gw.TenantName][]gw.HostName{}, buckets: map[gw.TenantName]*bucket{},
		lentAt: map[gw.TenantName]time.Time{},
	}
}

// SetTenants applies the quotas of a configuration. A lower quota binds the tokens that are not lent yet at once.
func (l *Ledger) SetTenants(now time.Time, tenants []gw.Tenant) []Handover {
	l.tenants = map[gw.TenantName]gw.Tenant{}
	for _, t := range tenants {
		if t.QuotaPerSecond > 0 {
			l.tenants[t.Name] = t
		}
	}
	for name := range l.buckets {
		if _, ok := l.tenants[name]; !ok {
			delete(l.buckets, name)
		}
	}
	for name, at := range l.lentAt {
		if _, ok := l.tenants[name]; !ok && now.Sub(at) > creditTime {
			delete(l.lentAt, name)
		}
	}
	return l.reorder(now)
}

// SetHosts applies a listing.
func (l *Ledger) SetHosts(now time.Time, hosts []gw.HostEntry) []Handover {
	l.contacts.setHosts(now, hosts)
	if slices.Equal(l.candidates(now), l.names) {
		// Ranking 85 hosts for 85 tenants each second would take more than all messages.
		return nil
	}
	return l.reorder(now)
}

// Stop ends the coordination of all tenants at a planned stop.
func (l *Ledger) Stop(now time.Time) []Handover {
	l.stopped = true
	return l.reorder(now)
}

// Orders returns the hosts that may coordinate a tenant, in order.
func (l *Ledger) Orders() map[gw.TenantName][]gw.HostName {
	return l.orders
}

// candidates returns the hosts that may coordinate, without this one when it stops.
func (l *Ledger) candidates(now time.Time) []gw.HostName {
	return slices.DeleteFunc(l.contacts.candidates(now), func(n gw.HostName) bool {
		return l.stopped && n == l.self.Name
	})
}

// reorder computes the coordinators anew and returns what this host hands over.
func (l *Ledger) reorder(now time.Time) []Handover {
	if l.started.IsZero() {
		l.started = now
	}
	names := l.candidates(now)
	if l.changed.IsZero() || !slices.Equal(names, l.names) {
		l.names, l.changed = names, now
	}
	begin := later(l.changed, l.contacts.matureAt()).Add(grace)
	l.orders = make(map[gw.TenantName][]gw.HostName, len(l.tenants))
	byHost := map[gw.HostName][]gw.QuotaHandover{}
	for name, t := range l.tenants {
		order := gwrank.Order("quota "+string(name), names)
		l.orders[name] = order[:min(len(order), maxRank)]
		b := l.buckets[name]
		first := len(order) > 0 && order[0] == l.self.Name
		switch {
		case first && b == nil:
			// A tenant that is new at a coordinator of long standing has its whole bucket.
			l.buckets[name] = &bucket{first: true, at: begin, start: begin}
		case first && !b.first:
			b.first = true
			// A host that has lent in place of the one before goes on.
			if !now.Before(b.taken) && (b.standIn.IsZero() || now.Before(b.start)) {
				b.tokens, b.at, b.start = 0, now, begin
			}
		case !first && b != nil && b.first && len(order) == 0:
			delete(l.buckets, name)
		case !first && b != nil && b.first:
			l.accrue(now, t, b)
			byHost[order[0]] = append(byHost[order[0]], gw.QuotaHandover{Tenant: name, Tokens: b.tokens})
			*b = bucket{at: now, start: now.Add(grace), givenTo: order[0], givenUntil: now.Add(standInMemory)}
		}
	}
	var handovers []Handover
	for to, tenants := range byHost {
		handovers = append(handovers, Handover{To: to, Tenants: tenants})
	}
	return handovers
}

// Claims returns the tenants that this host is to lend to as the first, by the hosts that must not have lent to them.
// There are none while a host that has vanished from the list may still lend.
func (l *Ledger) Claims(now time.Time) map[gw.HostName][]gw.TenantName {
	claims := map[gw.HostName][]gw.TenantName{}
	if l.stopped || l.contacts.lostSince(now.Add(-2*grace)) {
		return claims
	}
	for name, b := range l.buckets {
		if b.first && now.Before(b.start) {
			l.beginIfAgreed(now, l.tenants[name], b)
			for _, other := range l.orders[name][1:] {
				claims[other] = append(claims[other], name)
			}
		}
	}
	return claims
}

// Answered applies what the answer of a host to a message sent at the given time says about that host.
func (l *Ledger) Answered(now, sent time.Time, host gw.HostName, reply gw.QuotaReply) {
	l.contacts.heardFrom(now, host)
	if h := l.contacts.hosts[host]; h != nil {
		h.cuts = reply.Cut[:min(len(reply.Cut), maxAsks)]
	}
	for _, h := range reply.Claimed[:min(len(reply.Claimed), maxAsks)] {
		t, ok := l.tenants[h.Tenant]
		b := l.buckets[h.Tenant]
		if !ok || b == nil || !b.first || !now.Before(b.start) {
			continue
		}
		if b.agreed == nil {
			b.agreed = map[gw.HostName]agreement{}
		}
		b.agreed[host] = agreement{at: sent, idle: time.Duration(clamp(int(h.IdleMilliseconds), maxIdle)) * time.Millisecond}
		// Tokens count once lending begins.
		b.claimed = max(b.claimed, bounded(h.Tokens, depth(t)))
		l.beginIfAgreed(now, t, b)
	}
}

// beginIfAgreed begins to lend when all other hosts of the order have agreed lately. The bucket has what they had left,
// and what has accrued while none of them lent: nothing is lent to any host then, such as after all of them have lost
// power, and their callers return together.
func (l *Ledger) beginIfAgreed(now time.Time, t gw.Tenant, b *bucket) {
	idle := l.idle(now, t.Name)
	for _, other := range l.orders[t.Name][1:] {
		a, ok := b.agreed[other]
		if !ok || now.Sub(a.at) > grace {
			return
		}
		idle = min(idle, a.idle)
	}
	credit := t.QuotaPerSecond * min(idle, creditTime).Seconds()
	b.tokens, b.at, b.start = bounded(b.claimed+credit, depth(t)), now, now
	b.claimed, b.agreed = 0, nil
}

// idle returns for how long this host knows that it has lent nothing to a tenant, and that no other host has joined or
// left those that may.
func (l *Ledger) idle(now time.Time, tenant gw.TenantName) time.Duration {
	return max(now.Sub(later(later(l.started, l.changed), l.lentAt[tenant])), 0)
}

// agree answers the claim of a host. It ends the lending of this host, unless the claiming host is not the first here.
func (l *Ledger) agree(now time.Time, host gw.HostName, t gw.Tenant) (gw.QuotaHandover, bool) {
	order := l.orders[t.Name]
	if len(order) == 0 || order[0] != host {
		return gw.QuotaHandover{}, false
	}
	handover := gw.QuotaHandover{Tenant: t.Name, IdleMilliseconds: l.idle(now, t.Name).Milliseconds()}
	if b := l.buckets[t.Name]; b != nil && !now.Before(b.start) {
		l.accrue(now, t, b)
		handover.Tokens, handover.IdleMilliseconds = b.tokens, 0
		*b = bucket{at: now, start: now.Add(grace), givenTo: host, givenUntil: now.Add(standInMemory)}
	}
	return handover, true
}

// bounded returns a number of tokens that a host has sent, within the depth of the bucket.
func bounded(tokens, depth float64) float64 {
	if math.IsNaN(tokens) {
		return 0
	}
	return min(max(tokens, 0), depth)
}

// Tick notes the passing of time. It returns the hosts to be sent a message with the given asks, which may be none, in
// order to tell whether they can be reached. No tenant is active if it is empty.
func (l *Ledger) Tick(now time.Time) map[gw.HostName][]gw.QuotaAsk {
	if !l.ticked.IsZero() && now.Sub(l.ticked) > frozenAfter {
		l.contacts.reset()
		for _, b := range l.buckets {
			*b = bucket{first: b.first, at: now, start: now.Add(grace), asked: b.asked}
		}
	}
	l.ticked = now
	l.contacts.update(now)
	checks := map[gw.HostName][]gw.QuotaAsk{}
	active := false
	for name, b := range l.buckets {
		if b.asked.IsZero() || now.Sub(b.asked) > activeFor {
			continue
		}
		if l.coordinates(now, b) {
			active = true
			continue
		}
		earlier, ok := l.earlier(name)
		if !ok || b.standIn.IsZero() {
			continue
		}
		for i, host := range earlier {
			checks[host] = append(checks[host], []gw.QuotaAsk{}...)
			if i == 0 {
				// The coordinator checks contact only for tenants that are active there.
				checks[host] = append(checks[host], gw.QuotaAsk{Tenant: name})
			}
		}
	}
	if active {
		for _, host := range l.contacts.checks(now) {
			checks[host] = append(checks[host], []gw.QuotaAsk{}...)
		}
	}
	return checks
}

// Answer answers a message.
func (l *Ledger) Answer(now time.Time, req gw.QuotaRequest) gw.QuotaReply {
	reply := gw.QuotaReply{Grants: l.Ask(now, req), Cut: l.contacts.cutSites()}
	for _, name := range req.Claims[:min(len(req.Claims), maxAsks)] {
		if t, ok := l.tenants[name]; ok {
			if handover, agreed := l.agree(now, req.Host, t); agreed {
				reply.Claimed = append(reply.Claimed, handover)
			}
		}
	}
	return reply
}

// Ask answers a host that asks for tokens. Numbers out of range count as the nearest in range; tenants without a quota
// and asks beyond maxAsks get no answer.
func (l *Ledger) Ask(now time.Time, req gw.QuotaRequest) []gw.QuotaGrant {
	if !l.ticked.IsZero() && now.Sub(l.ticked) > frozenAfter {
		l.Tick(now)
	}
	l.contacts.heardFrom(now, req.Host)
	l.contacts.update(now)
	var grants []gw.QuotaGrant
	for _, ask := range req.Asks[:min(len(req.Asks), maxAsks)] {
		t, ok := l.tenants[ask.Tenant]
		if !ok {
			continue
		}
		grants = append(grants, l.lend(now, t, req.Host, ask))
	}
	for _, h := range req.Handovers[:min(len(req.Handovers), maxAsks)] {
		if t, ok := l.tenants[h.Tenant]; ok && l.contacts.hosts[req.Host] != nil {
			l.take(now, t, h.Tokens)
		}
	}
	return grants
}

// take accepts the tokens of the coordinator before, once for each change.
func (l *Ledger) take(now time.Time, t gw.Tenant, tokens float64) {
	b := l.bucket(now, t)
	if l.stopped || !b.start.After(now) && l.coordinates(now, b) {
		return
	}
	b.tokens, b.at, b.start = bounded(tokens, depth(t)), now, now
	b.taken, b.givenTo, b.standIn = now.Add(2*standInMemory), "", time.Time{}
}

func (l *Ledger) bucket(now time.Time, t gw.Tenant) *bucket {
	b := l.buckets[t.Name]
	if b == nil {
		b = &bucket{at: now, start: now.Add(grace)}
		l.buckets[t.Name] = b
	}
	return b
}

// coordinates reports whether this host coordinates a tenant as the first of all.
func (l *Ledger) coordinates(now time.Time, b *bucket) bool {
	return b.first || now.Before(b.taken)
}

func (l *Ledger) lend(now time.Time, t gw.Tenant, host gw.HostName, ask gw.QuotaAsk) gw.QuotaGrant {
	b := l.bucket(now, t)
	grant := gw.QuotaGrant{Tenant: t.Name}
	b.asked = now
	if l.coordinates(now, b) {
		b.standIn = time.Time{}
	} else if to := l.askElsewhere(now, t, b, host); to != "" {
		grant.Coordinator = to
		return grant
	}
	l.accrue(now, t, b)
	past := now.Sub(b.countedAt).Seconds()
	b.lent *= math.Exp(-past / standInMemory.Seconds())
	b.missing *= math.Exp(-past / missingTime.Seconds())
	b.countedAt = now
	returned := min(float64(clamp(ask.Returned, maxTokens)), b.lent)
	b.lent -= returned
	b.tokens = min(b.tokens+returned, max(depth(t), b.tokens))
	wanted := clamp(ask.Tokens, maxTokens)
	grant.Tokens = min(wanted, int(b.tokens))
	b.tokens -= float64(grant.Tokens)
	b.lent += float64(grant.Tokens)
	if grant.Tokens > 0 {
		l.lentAt[t.Name] = now
	}
	if missing := wanted - grant.Tokens; missing > 0 {
		b.missing += float64(missing)
		grant.Starting = now.Before(b.start) && (b.first || b.start.Sub(now) < startTimeout)
		grant.WaitMilliseconds = l.wait(now, t, b).Milliseconds()
	}
	return grant
}

// wait returns when a host is to ask again.
func (l *Ledger) wait(now time.Time, t gw.Tenant, b *bucket) time.Duration {
	switch {
	case now.Before(b.start) && now.Sub(l.started) < startPeriod:
		return startWait
	case now.Before(b.start):
		// A handover may arrive at any moment.
		return 2 * minWait
	}
	seconds := min(b.missing/t.QuotaPerSecond, maxWait.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minWait)
}

// askElsewhere returns the coordinator that a host is to ask instead. It is empty when this host stands in, because the
// asking host and this one cannot reach those before it.
func (l *Ledger) askElsewhere(now time.Time, t gw.Tenant, b *bucket, host gw.HostName) gw.HostName {
	if b.givenTo != "" && now.Before(b.givenUntil) {
		return b.givenTo
	}
	if b.standIn.IsZero() || now.Sub(newest(b.standIns)) > standInMemory {
		b.standIn, b.standIns = now, map[gw.HostName]time.Time{}
	}
	var from gw.DataCentreName
	if h := l.contacts.hosts[host]; h != nil {
		from = h.entry.DataCentre
		b.standIns[host] = now
	}
	earlier, ok := l.earlier(t.Name)
	b.start = b.standIn.Add(grace)
	for _, name := range earlier {
		if h := l.contacts.hosts[name]; h != nil && !h.heard.IsZero() {
			if h.near(now) {
				if slices.Contains(h.cuts, from) {
					// That host lends nothing there.
					continue
				}
				b.tokens, b.standIn = 0, now
				return name
			}
			if quiet := h.heard.Add(grace); quiet.After(b.start) {
				b.start = quiet
			}
		}
	}
	if !ok {
		b.start = now.Add(grace)
	}
	if now.Before(b.start) {
		b.tokens, b.at = 0, now
	}
	return ""
}

func newest(times map[gw.HostName]time.Time) time.Time {
	var last time.Time
	for _, at := range times {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// earlier returns the hosts before this one in the order of a tenant, and false when this one is too far down.
func (l *Ledger) earlier(tenant gw.TenantName) ([]gw.HostName, bool) {
	order := l.orders[tenant]
	i := slices.Index(order, l.self.Name)
	if i < 0 {
		return nil, false
	}
	return order[:i], true
}

// accrue adds the tokens of the time since the last call, scaled by the share of hosts that this host lends to.
func (l *Ledger) accrue(now time.Time, t gw.Tenant, b *bucket) {
	from := b.at
	if b.start.After(from) {
		from = b.start
	}
	share := l.share(now, t, b)
	if now.After(from) {
		b.tokens += share * t.QuotaPerSecond * now.Sub(from).Seconds()
	}
	b.tokens = min(b.tokens, max(1, share*depth(t)))
	if now.After(b.at) {
		b.at = now
	}
	if now.Before(b.start) {
		b.tokens = 0
	}
}

func (l *Ledger) share(now time.Time, t gw.Tenant, b *bucket) float64 {
	if l.coordinates(now, b) {
		return l.contacts.share(func(dc gw.DataCentreName, s *site) float64 {
			switch {
			case !s.cut:
				return float64(s.hosts)
			case dc == l.self.DataCentre:
				return aloneShare
			}
			return 0
		})
	}
	earlier, _ := l.earlier(t.Name)
	asking := map[gw.DataCentreName]int{}
	for name, at := range b.standIns {
		if h := l.contacts.hosts[name]; h != nil && now.Sub(at) <= standInMemory {
			asking[h.entry.DataCentre]++
		}
	}
	return l.contacts.share(func(dc gw.DataCentreName, s *site) float64 {
		reachEarlier := slices.ContainsFunc(earlier, func(name gw.HostName) bool {
			h := l.contacts.hosts[name]
			return h != nil && h.near(now) && !slices.Contains(h.cuts, dc)
		})
		switch {
		case asking[dc] == 0 || reachEarlier:
			return 0
		case asking[dc] == 1 && s.hosts > 1:
			// It may be the only one there that cannot reach the coordinator.
			return aloneShare
		}
		return float64(s.hosts)
	})
}

// pick returns one of the names, another one for each n.
func pick(names []gw.HostName, n int) gw.HostName {
	slices.Sort(names)
	return names[n%len(names)]
}

// Coordinated returns the number of tenants that this host coordinates.
func (l *Ledger) Coordinated(now time.Time) int {
	n := 0
	for _, b := range l.buckets {
		if l.coordinates(now, b) {
			n++
		}
	}
	return n
}

// Cut returns the number of data centres that cannot be reached.
func (l *Ledger) Cut() int {
	n := 0
	for _, s := range l.contacts.sites {
		if s.cut {
			n++
		}
	}
	return n
}
