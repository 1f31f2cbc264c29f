package gwquota

import (
	"math"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

const (
	// demandTime is the time constant of the measured demand.
	demandTime = time.Second
	// aheadTime is how much of its demand a host holds tokens for. A host with less than one request in that time asks
	// for each request.
	aheadTime = 200 * time.Millisecond
	// lowTime is how much of its demand a host still holds tokens for when it asks for more. A round trip between regions
	// takes 40 ms.
	lowTime = 80 * time.Millisecond
	// unusedDelay is how long unused tokens wait for a message that returns them with others.
	unusedDelay = 100 * time.Millisecond
)

// Verdict is the decision about a request of a tenant with a quota.
type Verdict int

// Verdicts.
const (
	Admitted Verdict = iota
	Refused
	// Waiting means that tokens have to be asked for.
	Waiting
)

// Share holds the tokens that a host was lent. It has no clock of its own.
//
// It addresses hosts with few requests of a tenant, which hold no tokens in advance, and busy ones, which ask for the
// demand of aheadTime at once. A host without requests asks for nothing.
type Share struct {
	tenants map[gw.TenantName]*holding
}

type holding struct {
	loans []loan
	// demand is in requests a second, measured at demandAt.
	demand   float64
	demandAt time.Time
	waiting  int
	asking   bool
	// answered is set once a coordinator has answered, starting while the last one that did was about to begin.
	answered, starting bool
	// notBefore is when further tokens may be asked for.
	notBefore time.Time
	// unused counts tokens that were not used in time, since unusedAt.
	unused   int
	unusedAt time.Time
}

type loan struct {
	tokens int
	until  time.Time
}

// NewShare returns a Share without tokens.
func NewShare() *Share {
	return &Share{tenants: map[gw.TenantName]*holding{}}
}

func (s *Share) holding(tenant gw.TenantName) *holding {
	h := s.tenants[tenant]
	if h == nil {
		h = &holding{}
		s.tenants[tenant] = h
	}
	return h
}

// Take decides about a new request. until is how long it can wait; retry is when further tokens are expected, for a
// refused one.
func (s *Share) Take(now time.Time, tenant gw.TenantName, until time.Time) (v Verdict, retry time.Time) {
	h := s.holding(tenant)
	h.demand = h.demandNow(now) + 1/demandTime.Seconds()
	h.demandAt = now
	switch {
	case h.waiting == 0 && h.use(now):
		return Admitted, time.Time{}
	case h.notBefore.After(until):
		return Refused, h.notBefore
	}
	h.waiting++
	return Waiting, time.Time{}
}

// Starting reports whether the coordinator of a tenant is about to lend and does not yet. unknown is the answer while
// none has answered.
func (s *Share) Starting(tenant gw.TenantName, unknown bool) bool {
	if h := s.tenants[tenant]; h != nil && h.answered {
		return h.starting
	}
	return unknown
}

// TakeWaiting decides about a request that waits.
func (s *Share) TakeWaiting(now time.Time, tenant gw.TenantName, until time.Time) (v Verdict, retry time.Time) {
	h := s.holding(tenant)
	switch {
	case h.use(now):
		h.waiting--
		return Admitted, time.Time{}
	case !now.Before(until) || h.notBefore.After(until):
		h.waiting--
		return Refused, h.notBefore
	}
	return Waiting, time.Time{}
}

// Leave records that a waiting request has ended.
func (s *Share) Leave(tenant gw.TenantName) {
	s.holding(tenant).waiting--
}

// GiveBack returns the token of a request that was not sent.
func (s *Share) GiveBack(now time.Time, tenant gw.TenantName) {
	s.holding(tenant).keepUnused(now, 1)
}

// Ask returns what to ask the coordinator for, and false when there is nothing. Answer or Failed must follow.
func (s *Share) Ask(now time.Time, tenant gw.TenantName) (gw.QuotaAsk, bool) {
	h := s.holding(tenant)
	if h.asking {
		return gw.QuotaAsk{}, false
	}
	ask := gw.QuotaAsk{Tenant: tenant}
	if wanted := h.wanted(now); !now.Before(h.notBefore) {
		ask.Tokens = wanted
	}
	if ask.Tokens == 0 && (h.unused == 0 || now.Sub(h.unusedAt) < unusedDelay) {
		return gw.QuotaAsk{}, false
	}
	ask.Returned, h.unused = h.unused, 0
	h.asking = true
	return ask, true
}

// wanted returns how many tokens are to be asked for.
func (h *holding) wanted(now time.Time) int {
	held, demand := h.held(now), h.demandNow(now)
	if h.waiting == 0 && float64(held) >= demand*lowTime.Seconds() {
		return 0
	}
	return max(h.waiting+int(demand*aheadTime.Seconds())-held, 0)
}

// Next returns when Ask may have something to ask for without a further request, and false when it will not.
func (s *Share) Next(now time.Time, tenant gw.TenantName) (time.Time, bool) {
	h := s.holding(tenant)
	wanted := h.wanted(now)
	switch {
	case h.asking:
		return time.Time{}, false
	case wanted > 0:
		return later(h.notBefore, now), true
	case h.unused > 0:
		return h.unusedAt.Add(unusedDelay), true
	case len(h.loans) > 0:
		return h.loans[0].until, true
	}
	return time.Time{}, false
}

func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// Answer applies what a coordinator has answered to a message sent at the given time.
func (s *Share) Answer(now, sent time.Time, g gw.QuotaGrant) {
	h := s.holding(g.Tenant)
	h.asking = false
	if g.Coordinator == "" {
		h.answered, h.starting = true, g.Starting
	}
	if tokens := clamp(g.Tokens, maxTokens); tokens > 0 && now.Before(sent.Add(loanLife)) {
		h.loans = append(h.loans, loan{tokens: tokens, until: sent.Add(loanLife)})
	} else {
		h.keepUnused(now, tokens)
	}
	h.notBefore = time.Time{}
	if wait := time.Duration(clamp(int(g.WaitMilliseconds), int(maxWait.Milliseconds()))); wait > 0 {
		h.notBefore = now.Add(wait * time.Millisecond)
	}
}

// Failed records that a message was not answered.
func (s *Share) Failed(now time.Time, tenant gw.TenantName) {
	h := s.holding(tenant)
	h.asking = false
	h.notBefore = now.Add(minWait)
}

// Forget drops the state of tenants that were idle for a long time, or have no quota any more.
func (s *Share) Forget(now time.Time, keep func(gw.TenantName) bool) {
	for name, h := range s.tenants {
		if h.waiting == 0 && !h.asking && (!keep(name) || now.Sub(h.demandAt) > 10*demandTime) {
			delete(s.tenants, name)
		}
	}
}

func (h *holding) demandNow(now time.Time) float64 {
	return h.demand * math.Exp(-now.Sub(h.demandAt).Seconds()/demandTime.Seconds())
}

// held returns the number of tokens that may be used, and drops the others.
func (h *holding) held(now time.Time) int {
	n := 0
	for len(h.loans) > 0 && (h.loans[0].tokens == 0 || !now.Before(h.loans[0].until)) {
		h.keepUnused(now, h.loans[0].tokens)
		h.loans = h.loans[1:]
	}
	for _, l := range h.loans {
		n += l.tokens
	}
	return n
}

func (h *holding) keepUnused(now time.Time, tokens int) {
	if tokens > 0 && h.unused == 0 {
		h.unusedAt = now
	}
	h.unused += tokens
}

func (h *holding) use(now time.Time) bool {
	if h.held(now) == 0 {
		return false
	}
	h.loans[0].tokens--
	return true
}
