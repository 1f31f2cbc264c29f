package gwentry

import (
	"context"
	"net/http"
	"slices"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
)

// choosesByScore reports whether the servers of the call are chosen by the expected time to finish.
func (c *call) choosesByScore() bool {
	return c.service.CostAware && !c.service.DividedByKey
}

// nextByScore asks the router for the server with the best score. Servers that had no free slot are avoided while
// others can be asked; after that the request waits at the best one of those that were asked, or in another region.
func (c *call) nextByScore(ctx context.Context) (gw.Target, *gw.Refusal) {
	req := gw.RouteRequest{
		HomeRegions: c.homes, BodyBytes: c.body.Size(), Exclude: c.exclude,
		LargeAnswer: c.route.Kind == gw.RouteDownload, Objective: c.objective,
	}
	if len(c.search.busy) > 0 && c.search.canProbe() {
		other := req
		other.Exclude, other.NoWait = slices.Concat(c.exclude, c.search.busy), true
		if target, refusal := c.askRouter(ctx, other); refusal == nil {
			return target, nil
		}
		c.search.exhausted = true
	}
	excluded := func(name gw.ServerName) bool { return slices.Contains(c.exclude, name) }
	if busy := slices.DeleteFunc(slices.Clone(c.search.busy), excluded); len(busy) > 0 {
		// A server that was not asked may have a much longer queue than is usual, so that it is not used now.
		asked := req
		asked.Asked, asked.NoWait = busy, true
		if target, refusal := c.askRouter(ctx, asked); refusal == nil {
			return target, nil
		}
	}
	return c.askRouter(ctx, req)
}

// report tells what an attempt that began at start has shown about a server of a cost-aware service.
func (c *call) report(ctx context.Context, res result, start time.Time, dispatcher *gwforward.DispatcherReport) {
	if !c.choosesByScore() {
		return
	}
	out := AttemptReport{Dispatcher: dispatcher, Took: time.Since(start), AnswerBytes: -1}
	if answer := res.answer; answer != nil {
		out.Failed = answer.Status >= http.StatusInternalServerError
		out.Took, out.Served, out.AnswerBytes = answer.FirstByte.Sub(start), answer.Served, answer.Length()
		if dispatcher != nil {
			out.Served = dispatcher.Served
		}
	}
	if res.refusal != nil && !cancelled(ctx) {
		// The end of a cancelled attempt, such as the slower one of a hedge, says nothing about the server.
		out.Failed = res.refusal.Reason.Outcome() == gw.OutcomeUnknown
	}
	c.handler.opts.Reports(res.target, out)
}
