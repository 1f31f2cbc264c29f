package gwentry

import (
	"context"

	gw "github.com/geraniumworks/geraniumworks"
)

// takeToken takes a token of the tenant's quota. Further attempts of the request take none.
func (c *call) takeToken(ctx context.Context) *gw.Refusal {
	if c.handler.opts.Quota == nil {
		return nil
	}
	var refusal *gw.Refusal
	c.giveBack, refusal = c.handler.opts.Quota.Admit(ctx, c.tenant)
	return refusal
}

// giveBackUnsent returns the token when the refusal promises that no server has run the request.
func (c *call) giveBackUnsent(refusal *gw.Refusal) {
	if c.giveBack == nil || refusal == nil || refusal.Reason.Outcome() != gw.OutcomeNotRun {
		return
	}
	c.giveBack()
	c.giveBack = nil
}
