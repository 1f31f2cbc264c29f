package gwpublish

import (
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// Option changes a Publisher.
type Option func(*Publisher)

// WithStore sets the store. It is required.
func WithStore(store gw.Store) Option {
	return func(p *Publisher) { p.store = store }
}

// WithPublisher sets who publishes and from which machine, for the audit trail.
func WithPublisher(by, from string) Option {
	return func(p *Publisher) { p.by, p.from = clip(by), clip(from) }
}

// WithClock sets the clock that gives the times in the audit trail.
func WithClock(clock gw.Clock) Option {
	return func(p *Publisher) { p.clock = clock }
}

// WithAttempts bounds the attempts at each store operation and at the change as a whole.
func WithAttempts(n int) Option {
	return func(p *Publisher) { p.attempts = n }
}

// WithBackoff sets the wait before the second attempt; it doubles up to a second, and is drawn between half and all
// of it. Zero means no wait.
func WithBackoff(d time.Duration) Option {
	return func(p *Publisher) { p.backoff = d }
}

// WithWriteIDs sets the source of write ids, which must never repeat.
func WithWriteIDs(next func() string) Option {
	return func(p *Publisher) { p.writeID = next }
}
