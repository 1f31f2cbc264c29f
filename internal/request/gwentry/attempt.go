package gwentry

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"slices"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/process/gwtimer"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
	"github.com/geraniumworks/geraniumworks/internal/request/gwretry"
	"github.com/geraniumworks/geraniumworks/internal/request/gwstage"
)

// maxRouteWait is how long a request waits for newer state when the table cannot be right.
const maxRouteWait = time.Second

// result is how an attempt ended.
type result struct {
	target  gw.Target
	answer  *gwforward.Answer
	refusal *gw.Refusal
}

// run attempts the request until there is an answer or no further attempt is permitted.
func (c *call) run(ctx context.Context) (*gwforward.Answer, *gw.Refusal) {
	limits := c.service.Limits
	var last *gw.Refusal
	for {
		target, refusal := c.target(ctx)
		if refusal != nil {
			if last != nil {
				// There is no other target; the reason of the earlier attempt says more.
				refusal = last
			}
			return nil, c.final(refusal)
		}
		c.search.noWait = c.probes(target)
		res := c.attempt(ctx, target)
		if res.answer != nil {
			return res.answer, nil
		}
		last = res.refusal
		if c.search.noWait && last.Reason == gw.ReasonOverloaded {
			// Nothing was sent to a server, so that the next one is no retry.
			c.attempts--
			c.search.found(res.target.Server, last.RetryAfterMilliseconds)
			continue
		}
		d := c.retries.Retry(limits, gwretry.Failed{
			Refusal: last, HasKey: res.target.HasKey, Repeatable: c.repeatable, Replayable: c.body.Replayable(),
			Attempts: c.attempts, MaxAttempts: c.route.Attempts, Now: time.Now(), Deadline: c.deadline,
			Jitter: mathrand.Float64(),
		})
		if d.Verdict != gwretry.VerdictRetry || cancelled(ctx) {
			return nil, c.final(last)
		}
		if d.Exclude {
			c.exclude = append(c.exclude, res.target.Server)
		}
		if d.Stale {
			c.stale = max(c.stale, res.target.Token)
		}
		if !waitUntil(ctx, d.NotBefore) {
			return nil, c.final(last)
		}
	}
}

// target asks the router for the next target. A service that is not divided by key is asked for in this host's region
// first, since bytes between regions are paid for.
func (c *call) target(ctx context.Context) (gw.Target, *gw.Refusal) {
	avoid := c.search.avoid()
	if !c.service.DividedByKey && !c.search.crosses(c.body) {
		near := gw.RouteRequest{HomeRegions: c.nearHomes(), Exclude: slices.Concat(c.exclude, avoid), NoWait: true}
		if target, refusal := c.ask(ctx, near); refusal == nil {
			return target, nil
		}
		c.search.over = c.search.over || len(avoid) > 0
		near.Exclude = c.exclude
		if target, refusal := c.ask(ctx, near); refusal == nil {
			return target, nil
		}
	} else if len(avoid) > 0 {
		wide := gw.RouteRequest{HomeRegions: c.route.HomeRegions, Exclude: slices.Concat(c.exclude, avoid), NoWait: true}
		if target, refusal := c.ask(ctx, wide); refusal == nil {
			return target, nil
		}
		c.search.over = true
	}
	return c.ask(ctx, gw.RouteRequest{HomeRegions: c.route.HomeRegions, Exclude: c.exclude})
}

// nearHomes returns this host's region when the route may be served there, and the route's home regions otherwise.
func (c *call) nearHomes() []gw.RegionName {
	own := c.handler.opts.Region
	if homes := c.route.HomeRegions; len(homes) > 0 && !slices.Contains(homes, own) {
		return homes
	}
	return []gw.RegionName{own}
}

// ask asks the router for a target under the conditions of req. It waits for newer state for as long as an answer
// would be worth much to the caller.
func (c *call) ask(ctx context.Context, req gw.RouteRequest) (gw.Target, *gw.Refusal) {
	until := time.Now().Add(maxRouteWait)
	if !c.objective.IsZero() && c.objective.Before(until) {
		until = c.objective
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	req.Service, req.Tenant, req.Key, req.Stale = c.service.Name, c.tenant.Name, c.key, c.stale
	target, refusal := c.handler.opts.Router.Route(ctx, req)
	if refusal != nil && refusal.Reason == gw.ReasonWrongRegion && len(refusal.HomeRegions) == 0 {
		refusal = c.wrongRegion()
	}
	return target, refusal
}

// deliver makes one attempt.
func (c *call) deliver(ctx context.Context, target gw.Target) result {
	start := time.Now()
	req := &gwforward.Request{
		ID: rand.Text(), CallerID: c.id, OperationID: c.operationID, Tenant: c.tenant.Name, Target: target,
		Repeatable: c.repeatable, Limits: c.service.Limits, Deadline: c.deadline,
		Objective: c.objective, Priority: c.route.Priority, NoWait: c.search.noWait,
		Method: c.in.Method, URL: c.in.URL, Host: c.in.Host, Header: c.in.Header, Body: c.body,
	}
	res := result{target: target}
	done := func(int, *gw.Refusal) {}
	if c.handler.opts.Observer != nil {
		done = c.handler.opts.Observer.Begin(target)
	}
	if target.Local && c.handler.opts.Local != nil {
		res.answer, res.refusal = c.handler.opts.Local.Deliver(ctx, req)
	} else {
		req.Address, req.Connections, req.Relay = target.RelayAddress, c.handler.opts.RelayConnections, true
		var failed *gwforward.Failure
		if res.answer, failed = c.handler.opts.Forwarder.Send(ctx, req); failed != nil {
			res.refusal = failed.Refusal
		}
	}
	c.observe(start, gwstage.StageAttempt, res.refusal)
	if res.answer != nil || cancelled(ctx) {
		// A cancelled attempt counts with the time it took so far: without it, the stragglers that hedges overtake
		// would be missing from the quantile.
		now := time.Now()
		c.retries.Observe(now, now.Sub(start))
	}
	if res.answer == nil {
		done(0, res.refusal)
		return res
	}
	res.answer.OnEnd(func(a *gwforward.Answer, _ bool) { done(a.Status, nil) })
	return res
}

// attempt makes one attempt, with a hedge when the request permits one.
func (c *call) attempt(ctx context.Context, target gw.Target) result {
	c.attempts++
	c.lastServer, c.lastHost, c.lastToken = target.Server, target.Dispatcher, target.Token
	var res result
	// The owner of a key is the only server that may run the request, so there is no other one for a hedge.
	at, ok := time.Time{}, false
	if c.repeatable && !target.HasKey && c.body.Concurrent() {
		at, ok = c.retries.HedgeAfter(c.service.Limits, time.Now())
	}
	if ok && at.Before(c.deadline) {
		res = c.race(ctx, target, at)
	} else {
		res = c.deliver(ctx, target)
	}
	if res.refusal != nil && res.refusal.Reason.Outcome() != gw.OutcomeNotRun {
		c.unknown = res.refusal
	}
	return res
}

// race makes an attempt, and another one at another server when the first has no answer at the given time. The
// first answer is used, the other attempt is cancelled.
func (c *call) race(ctx context.Context, target gw.Target, at time.Time) result {
	first, cancelFirst := c.start(ctx, target)
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case res := <-first:
		return res
	case <-timer.C:
	}
	other, ok := c.hedgeTarget(ctx, target)
	if !ok {
		return <-first
	}
	c.attempts++
	second, cancelSecond := c.start(ctx, other)
	select {
	case res := <-first:
		return c.settle(res, second, cancelSecond)
	case res := <-second:
		return c.settle(res, first, cancelFirst)
	}
}

// start runs an attempt, which reports its end on the returned channel.
func (c *call) start(ctx context.Context, target gw.Target) (<-chan result, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	c.cleanup = append(c.cleanup, cancel)
	ended := make(chan result, 1)
	go func() { ended <- c.deliver(ctx, target) }()
	return ended, cancel
}

// hedgeTarget returns another server for a hedge, when there is one and the budget permits it.
func (c *call) hedgeTarget(ctx context.Context, target gw.Target) (gw.Target, bool) {
	// A hedge is only worth while without waiting for newer state.
	ctx, cancel := context.WithTimeout(ctx, hedgeRouteWait)
	defer cancel()
	exclude := slices.Concat(c.exclude, []gw.ServerName{target.Server})
	other, refusal := c.handler.opts.Router.Route(ctx, gw.RouteRequest{
		Service: c.service.Name, Tenant: c.tenant.Name, HomeRegions: c.route.HomeRegions,
		Exclude: exclude, Stale: c.stale,
	})
	if refusal != nil || other.HasKey || other.Server == target.Server {
		return gw.Target{}, false
	}
	return other, c.retries.TakeHedge(c.service.Limits)
}

// hedgeRouteWait bounds the search for the server of a hedge.
const hedgeRouteWait = 5 * time.Millisecond

// settle returns the result of a race after one attempt has ended.
func (c *call) settle(res result, other <-chan result, cancelOther context.CancelFunc) result {
	if res.answer != nil {
		cancelOther()
		c.cleanup = append(c.cleanup, func() {
			if late := <-other; late.answer != nil {
				late.answer.Close()
			}
		})
		return res
	}
	c.exclude = append(c.exclude, res.target.Server)
	if res.refusal.Reason.Outcome() != gw.OutcomeNotRun {
		c.unknown = res.refusal
	}
	return <-other
}

// waitUntil waits until t and reports false when ctx ends first.
func waitUntil(ctx context.Context, t time.Time) bool {
	return t.IsZero() || gwtimer.Sleep(ctx, time.Until(t))
}
