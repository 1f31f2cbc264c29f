package gwstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/process/gwtimer"
)

// errHeldBack reports a call that was not made because the store is out.
var errHeldBack = errors.New("calls are held back after failures")

// enter passes the gate. A watch waits until it opens; other calls fail at once.
func (s *Store) enter(ctx context.Context, kind callKind) (ticket, error) {
	if err := ctx.Err(); err != nil {
		return ticket{}, eris.Wrapf(err, "store %s", kind)
	}
	for {
		t, wait, ok := s.gate.enter(s.options.clock.Now())
		if ok {
			return t, nil
		}
		if kind != kindWatch {
			s.count(ctx, kind, resultHeldBack)
			return ticket{}, fmt.Errorf("%w: %w for another %s", gw.ErrStoreUnavailable, errHeldBack,
				wait.Round(time.Millisecond))
		}
		if !gwtimer.Sleep(ctx, wait) {
			return ticket{}, eris.Wrapf(ctx.Err(), "store %s", kind)
		}
	}
}

func (s *Store) leave(t ticket, v verdict) {
	s.gate.leave(t, v, s.options.clock.Now())
}

// take uses up one call of the budget.
func (s *Store) take(ctx context.Context, kind callKind) error {
	err := s.budgets.take(ctx, kind, purposeOf(ctx))
	if errors.Is(err, gw.ErrCallBudget) {
		s.count(ctx, kind, resultCallBudget)
	}
	return err
}

// finish counts a call that was made, remembers whether its endpoint is worth using again, and returns what
// the call says about the store.
func (s *Store) finish(ctx context.Context, kind callKind, result callResult, index int64) verdict {
	s.count(ctx, kind, result)
	switch result {
	case resultUnavailable, resultLimited, resultBadAnswer, resultWriteUnknown:
		s.preferred.Store((index + 1) % int64(len(s.options.endpoints)))
		return verdictFailed
	default:
		s.preferred.Store(index)
		return verdictReached
	}
}

func (s *Store) count(ctx context.Context, kind callKind, r callResult) {
	s.calls.WithLabelValues(string(kind), string(purposeOf(ctx)), string(r)).Inc()
}
