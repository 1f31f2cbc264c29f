package gwdispatch

import "time"

// pace spaces the starts of requests evenly.
type pace struct {
	interval time.Duration
	// nextStart is when a request may start.
	nextStart time.Time
}

// admits reports whether a request may start now.
func (p *pace) admits(now time.Time) bool {
	return !now.Before(p.nextStart)
}

// started counts a request that starts now. After a time without requests, credit is how much of it counts, so that
// later ones may follow sooner.
func (p *pace) started(now time.Time, credit time.Duration) {
	p.nextStart = latest(p.nextStart, now.Add(-credit)).Add(p.interval)
}

// minWait returns the least time until a request with a number of requests ahead of it may start.
func (p *pace) minWait(now time.Time, ahead int) time.Duration {
	return max(p.nextStart.Sub(now), 0) + time.Duration(ahead)*p.interval
}
