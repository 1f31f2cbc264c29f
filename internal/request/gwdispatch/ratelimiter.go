package gwdispatch

import (
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// rateLimiter spaces the requests to a cold server, whatever its slots would permit. Otherwise a server that comes
// back while requests wait for it would get a request in each of its slots at once.
type rateLimiter struct {
	// warmAt is when the server is warm. The pace holds before that.
	warmAt time.Time
	pace   pace
}

// coldRateShare is the share of a cold server's rate that is used. The rest is for requests that were already sent
// when the server was found to be cold.
const coldRateShare = 0.9

// set takes the cold rate from the server's entry in a lease.
func (p *rateLimiter) set(origin time.Time, server gw.DispatchServer) {
	if server.ColdUntil == 0 || server.ColdRequestsPerSecond <= 0 {
		p.warmAt = time.Time{}
		return
	}
	p.warmAt = origin.Add(time.Duration(server.ColdUntil) * time.Millisecond)
	p.pace.interval = time.Duration(float64(time.Second) / (server.ColdRequestsPerSecond * coldRateShare))
}

// admits reports whether a request may start now.
func (p *rateLimiter) admits(now time.Time) bool {
	return !now.Before(p.warmAt) || p.pace.admits(now)
}

func (p *rateLimiter) started(now time.Time) {
	if now.Before(p.warmAt) {
		p.pace.started(now, 0)
	}
}

// minWait returns the least time until a request with a number of requests ahead of it may start.
func (p *rateLimiter) minWait(now time.Time, ahead int) time.Duration {
	if !now.Before(p.warmAt) {
		return 0
	}
	return p.pace.minWait(now, ahead)
}

// wakeAt returns when the result of admits may change, zero when it will not.
func (p *rateLimiter) wakeAt(now time.Time) time.Time {
	if p.admits(now) {
		return time.Time{}
	}
	return earliest(p.pace.nextStart, p.warmAt)
}
