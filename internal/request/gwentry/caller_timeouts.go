package gwentry

import (
	"sync"

	gw "github.com/geraniumworks/geraniumworks"
)

// callerTimeouts stores the longest timeout that callers have sent for each route. A caller that retries after a
// refusal sends the time that it has left, so the difference to the longest timeout is the time that its request has
// already taken.
type callerTimeouts struct {
	mu      sync.RWMutex
	longest map[gw.RouteName]int64
}

// elapsed returns the milliseconds that a request with the given timeout has already taken, zero without a timeout.
func (p *callerTimeouts) elapsed(route gw.RouteName, timeout int64) int64 {
	if timeout <= 0 {
		return 0
	}
	p.mu.RLock()
	longest := p.longest[route]
	p.mu.RUnlock()
	if timeout <= longest {
		return longest - timeout
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.longest == nil {
		p.longest = make(map[gw.RouteName]int64)
	}
	p.longest[route] = max(p.longest[route], timeout)
	return 0
}
