package gwstore

import (
	"context"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	gw "github.com/geraniumworks/geraniumworks"
)

// budgets limits the calls of this process to the store: writes together, reads by purpose.
type budgets struct {
	writes *rate.Limiter
	reads  map[Purpose]*rate.Limiter
}

func newBudgets(o options) budgets {
	b := budgets{writes: o.writes.limiter(), reads: make(map[Purpose]*rate.Limiter, len(o.reads))}
	for p, limit := range o.reads {
		b.reads[p] = limit.limiter()
	}
	return b
}

func (b budget) limiter() *rate.Limiter {
	return rate.NewLimiter(rate.Limit(b.perSecond), b.burst)
}

func (b budgets) limiter(kind callKind, p Purpose) *rate.Limiter {
	if kind == kindCompareAndSwap {
		return b.writes
	}
	if l, ok := b.reads[p]; ok {
		return l
	}
	return b.reads[PurposeOther]
}

// take uses up one call, or returns gw.ErrCallBudget. A watch waits for its turn instead, since it is a loop
// that would otherwise be repeated at once.
func (b budgets) take(ctx context.Context, kind callKind, p Purpose) error {
	l := b.limiter(kind, p)
	if kind != kindWatch {
		if l.Allow() {
			return nil
		}
		return eris.Wrapf(gw.ErrCallBudget, "%s for %s", kind, p)
	}
	if err := l.Wait(ctx); err != nil {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return eris.Wrapf(gw.ErrCallBudget, "%s for %s: %v", kind, p, err)
	}
	return nil
}
