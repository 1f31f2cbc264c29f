package gwdispatch

import (
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// pace spaces the requests to a server that is cold, whatever its slots would permit. It answers the load of a server
// that comes back while requests wait for it: each of its slots would otherwise take a request at once.
type pace struct {
	// until is when the server is warm, gap the time between two requests before that.
	until time.Time
	gap   time.Duration
	next  time.Time
}

// paceShare is the part of the rate that a cold server bears which is used. It leaves room for requests that were
// already on their way when the server was found to be cold.
const paceShare = 0.9

// set takes over what a lease says of the server.
func (p *pace) set(origin time.Time, server gw.DispatchServer) {
	if server.ColdUntil == 0 || server.ColdRequestsPerSecond <= 0 {
		p.until = time.Time{}
		return
	}
	p.until = origin.Add(time.Duration(server.ColdUntil) * time.Millisecond)
	p.gap = time.Duration(float64(time.Second) / (server.ColdRequestsPerSecond * paceShare))
}

// admits reports whether a request may start now.
func (p *pace) admits(now time.Time) bool {
	return !now.Before(p.until) || !now.Before(p.next)
}

func (p *pace) started(now time.Time) {
	if now.Before(p.until) {
		p.next = latest(p.next, now).Add(p.gap)
	}
}

// wait returns the least time before a request behind others may start.
func (p *pace) wait(now time.Time, ahead int) time.Duration {
	if !now.Before(p.until) {
		return 0
	}
	return max(p.next.Sub(now), 0) + time.Duration(ahead)*p.gap
}

// wake returns when admits may change, zero when it will not.
func (p *pace) wake(now time.Time) time.Time {
	if p.admits(now) {
		return time.Time{}
	}
	return earliest(p.next, p.until)
}
