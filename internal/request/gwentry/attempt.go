package gwentry

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"slices"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/process/gwtimer"
	"github.com/geraniumworks/geraniumworks/internal/request/gwcost"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
	"github.com/geraniumworks/geraniumworks/internal/request/gwretry"
	"github.com/geraniumworks/geraniumworks/internal/request/gwstage"
)

// maxRouteWait is how long a request waits for a newer routing table when the current one has no usable target.
const maxRouteWait = time.Second

// result is how an attempt ended.
type result struct {
	target  gw.Target
	answer  *gwforward.Answer
	refusal *gw.Refusal
}

// run makes attempts until there is an answer or no further attempt is permitted.
func (c *call) run(ctx context.Context) (*gwforward.Answer, *gw.Refusal) {
	limits := c.service.Limits
	var last *gw.Refusal
	for {
		target, refusal := c.nextTarget(ctx)
		if refusal != nil {
			if last != nil {
				// There is no other target. The refusal of the earlier attempt is more specific.
				refusal = last
			}
			return nil, c.finalRefusal(refusal)
		}
		c.search.noWait = c.probesForSlot(target)
		res := c.attempt(ctx, target)
		if res.answer != nil {
			return res.answer, nil
		}
		last = res.refusal
		if c.search.noWait && last.Reason == gw.ReasonOverloaded {
			// Nothing was sent to a server, so the next attempt does not count as a retry.
			c.attempts--
			c.search.addBusy(res.target.Server, last.RetryAfterMilliseconds)
			continue
		}
		d := c.retries.Retry(limits, gwretry.FailedAttempt{
			Refusal: last, HasKey: res.target.HasKey, Repeatable: c.repeatable, Replayable: c.body.Replayable(),
			Attempts: c.attempts, MaxAttempts: c.route.Attempts, Now: time.Now(), Deadline: c.deadline,
			Jitter: mathrand.Float64(),
		})
		if d.Verdict != gwretry.VerdictRetry || cancelled(ctx) {
			return nil, c.finalRefusal(last)
		}
		if d.ExcludeServer {
			c.exclude = append(c.exclude, res.target.Server)
		}
		if d.StaleToken {
			c.staleToken = max(c.staleToken, res.target.Token)
		}
		if !waitUntil(ctx, d.NotBefore) {
			return nil, c.finalRefusal(last)
		}
	}
}

// nextTarget asks the router for the target of the next attempt. For a service that is not divided by key it asks for a
// server in this host's region first, since bytes between regions are paid for.
func (c *call) nextTarget(ctx context.Context) (gw.Target, *gw.Refusal) {
	if c.choosesByScore() {
		return c.nextByScore(ctx)
	}
	avoid := c.search.avoid()
	if !c.service.DividedByKey && !c.search.mayCrossRegions(c.body) {
		near := gw.RouteRequest{HomeRegions: c.nearRegions(), Exclude: slices.Concat(c.exclude, avoid), NoWait: true}
		if target, refusal := c.askRouter(ctx, near); refusal == nil {
			return target, nil
		}
		c.search.exhausted = c.search.exhausted || len(avoid) > 0
		near.Exclude = c.exclude
		if target, refusal := c.askRouter(ctx, near); refusal == nil {
			return target, nil
		}
	} else if len(avoid) > 0 {
		anywhere := gw.RouteRequest{HomeRegions: c.homes, Exclude: slices.Concat(c.exclude, avoid), NoWait: true}
		if target, refusal := c.askRouter(ctx, anywhere); refusal == nil {
			return target, nil
		}
		c.search.exhausted = true
	}
	return c.askRouter(ctx, gw.RouteRequest{HomeRegions: c.homes, Exclude: c.exclude})
}

// nearRegions returns this host's region if the request may be served there, otherwise its home regions.
func (c *call) nearRegions() []gw.RegionName {
	own := c.handler.opts.Region
	if homes := c.homes; len(homes) > 0 && !slices.Contains(homes, own) {
		return homes
	}
	return []gw.RegionName{own}
}

// askRouter asks the router for a target that meets the conditions of req. It waits for a newer routing table until the
// objective of the request has passed, for maxRouteWait at most.
func (c *call) askRouter(ctx context.Context, req gw.RouteRequest) (gw.Target, *gw.Refusal) {
	until := time.Now().Add(maxRouteWait)
	if !c.objective.IsZero() && c.objective.Before(until) {
		until = c.objective
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	req.Service, req.Tenant, req.Key, req.Stale = c.service.Name, c.tenant.Name, c.key, c.staleToken
	target, refusal := c.handler.opts.Router.Route(ctx, req)
	if refusal != nil && refusal.Reason == gw.ReasonWrongRegion && len(refusal.HomeRegions) == 0 {
		refusal = c.wrongRegion()
	}
	return target, refusal
}

// deliver makes one attempt at a target, through the local dispatcher or a relay.
func (c *call) deliver(ctx context.Context, target gw.Target) result {
	start := time.Now()
	req := &gwforward.Request{
		ID: rand.Text(), CallerID: c.id, OperationID: c.operationID, Tenant: c.tenant.Name, Target: target,
		Repeatable: c.repeatable, Limits: c.service.Limits, Deadline: c.deadline,
		Objective: c.objective, Priority: c.priority, NoWait: c.search.noWait,
		Method: c.in.Method, URL: c.in.URL, Path: c.path, Host: c.in.Host, Header: c.header, Body: c.body,
	}
	if c.service.CostAware {
		req.Class = gwcost.ClassOf(c.route.Name, c.in.Method, c.in.ContentLength)
	}
	if c.keysRequired {
		req.Regions = c.homes
	}
	res := result{target: target}
	var report *gwforward.DispatcherReport
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
			res.refusal, report = failed.Refusal, failed.Report
		} else {
			report = res.answer.Report
		}
	}
	c.report(ctx, res, start, report)
	c.observe(start, gwstage.StageAttempt, res.refusal)
	if res.answer != nil || cancelled(ctx) {
		// A cancelled attempt is recorded with the time it has taken so far. Otherwise slow attempts that were overtaken
		// by a hedge would be missing from the latency quantile.
		now := time.Now()
		c.retries.Observe(now, now.Sub(start))
	}
	if res.answer == nil {
		done(0, res.refusal)
		return res
	}
	if res.answer.Leaving && !target.Local {
		c.handler.opts.Leaving(target.Server, res.answer.Incarnation)
	}
	res.answer.OnEnd(func(a *gwforward.Answer, _ bool) { done(a.Status, nil) })
	return res
}

// attempt makes one attempt, together with a hedge when the request permits one.
func (c *call) attempt(ctx context.Context, target gw.Target) result {
	c.attempts++
	c.lastServer, c.lastHost, c.lastToken = target.Server, target.Dispatcher, target.Token
	var res result
	// Only the owner of a key may run a request with that key, so there is no other server for a hedge.
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
		c.unknownRefusal = res.refusal
	}
	return res
}

// race makes an attempt, and a hedge at another server when the first attempt has no answer at the given time. The
// first answer is used and the other attempt is cancelled.
func (c *call) race(ctx context.Context, target gw.Target, at time.Time) result {
	first, cancelFirst := c.startAttempt(ctx, target)
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
	second, cancelSecond := c.startAttempt(ctx, other)
	select {
	case res := <-first:
		return c.finishRace(res, second, cancelSecond)
	case res := <-second:
		return c.finishRace(res, first, cancelFirst)
	}
}

// startAttempt makes an attempt in a new goroutine and sends its result on the returned channel.
func (c *call) startAttempt(ctx context.Context, target gw.Target) (<-chan result, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	c.cleanup = append(c.cleanup, cancel)
	ended := make(chan result, 1)
	go func() { ended <- c.deliver(ctx, target) }()
	return ended, cancel
}

// hedgeTarget returns another server for a hedge, and false when there is none or the budget does not permit a hedge.
func (c *call) hedgeTarget(ctx context.Context, target gw.Target) (gw.Target, bool) {
	// A hedge is useful only if it starts at once, so it does not wait for a newer routing table.
	ctx, cancel := context.WithTimeout(ctx, hedgeRouteWait)
	defer cancel()
	exclude := slices.Concat(c.exclude, []gw.ServerName{target.Server})
	other, refusal := c.handler.opts.Router.Route(ctx, gw.RouteRequest{
		Service: c.service.Name, Tenant: c.tenant.Name, HomeRegions: c.homes,
		Exclude: exclude, Stale: c.staleToken,
	})
	if refusal != nil || other.HasKey || other.Server == target.Server {
		return gw.Target{}, false
	}
	return other, c.retries.TakeHedge(c.service.Limits)
}

// hedgeRouteWait is the longest time for which the router may look for the server of a hedge.
const hedgeRouteWait = 5 * time.Millisecond

// finishRace returns the result of a race after one attempt has ended with res. If that attempt was refused, it waits
// for the other one.
func (c *call) finishRace(res result, other <-chan result, cancelOther context.CancelFunc) result {
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
		c.unknownRefusal = res.refusal
	}
	return <-other
}

// waitUntil waits until t, not at all when t is zero, and reports false when ctx ends first.
func waitUntil(ctx context.Context, t time.Time) bool {
	return t.IsZero() || gwtimer.Sleep(ctx, time.Until(t))
}
