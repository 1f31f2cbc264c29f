package gwdispatch

import (
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// serverLimit spaces the requests to a server that has named how many it takes a second from all hosts together. The
// dispatcher of a server sends all of its requests, so that it can keep the limit alone. Its successor learns the
// limit from the controller and begins without credit, so that a change of dispatchers adds no burst.
type serverLimit struct {
	// perSecond is zero when the server names no limit.
	perSecond float64
	// namedAt is when an answer last named the limit.
	namedAt time.Time
	pace    pace
	// heard is set once an answer to this dispatcher has shown whether the server names a limit.
	heard bool
}

// minLimitPerSecond is the least limit that is kept. A server that takes no request could not name another limit.
const minLimitPerSecond = 0.2

// set replaces the limit, zero ends it.
func (l *serverLimit) set(now time.Time, perSecond float64) {
	if perSecond <= 0 {
		l.perSecond = 0
		return
	}
	fresh := l.perSecond == 0
	l.perSecond, l.namedAt = max(perSecond, minLimitPerSecond), now
	l.pace.interval = time.Duration(float64(time.Second) / l.perSecond)
	if next := now.Add(l.pace.interval); fresh || l.pace.nextStart.After(next) {
		l.pace.nextStart = next
	}
}

// note applies what an answer to a request says. An answer without a limit ends it only if its request started after
// the limit was named: others may have been written before.
func (l *serverLimit) note(now, started time.Time, result gw.AttemptResult) {
	switch {
	case result.Status == 0:
	case result.LimitPerSecond > 0:
		l.heard = true
		l.set(now, result.LimitPerSecond)
	case started.After(l.namedAt):
		l.heard = true
		l.set(now, 0)
	}
}

// lease applies the limit that an earlier dispatcher has reported to the controller. What answers have said to this
// one is newer.
func (l *serverLimit) lease(now time.Time, perSecond float64) {
	if perSecond > 0 && !l.heard {
		l.set(now, perSecond)
	}
}

// admits reports whether a request may start now.
func (l *serverLimit) admits(now time.Time) bool {
	return l.perSecond == 0 || l.pace.admits(now)
}

func (l *serverLimit) started(now time.Time) {
	if l.perSecond > 0 {
		// One interval of credit, so that a request that comes late does not lower the rate.
		l.pace.started(now, l.pace.interval)
	}
}

// minWait returns the least time until a request with a number of requests ahead of it may start.
func (l *serverLimit) minWait(now time.Time, ahead int) time.Duration {
	if l.perSecond == 0 {
		return 0
	}
	return l.pace.minWait(now, ahead)
}

// wakeAt returns when the result of admits changes, zero when it does not.
func (l *serverLimit) wakeAt(now time.Time) time.Time {
	if l.admits(now) {
		return time.Time{}
	}
	return l.pace.nextStart
}
