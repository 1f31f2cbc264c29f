package gwstore

import (
	"math/rand/v2"
	"time"
)

// backoff draws waits with full jitter: uniform below a bound that doubles with each failure.
type backoff struct {
	base  time.Duration
	limit time.Duration
}

// bound returns the upper bound of the wait after a number of failures, counted from one.
func (b backoff) bound(failures int) time.Duration {
	d := b.base
	for range failures - 1 {
		if d >= b.limit {
			break
		}
		d *= 2
	}
	return min(d, b.limit)
}

func (b backoff) draw(failures int) time.Duration {
	bound := b.bound(failures)
	if bound <= 0 {
		return 0
	}
	return rand.N(bound)
}
