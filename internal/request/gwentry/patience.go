package gwentry

import (
	"sync"

	gw "github.com/geraniumworks/geraniumworks"
)

// patience remembers the longest timeout that callers of each route have given. A caller that comes back after a
// refusal gives what is left of it, so that the difference is the time that its request has already taken.
type patience struct {
	mu      sync.RWMutex
	longest map[gw.RouteName]int64
}

// spent returns the milliseconds that a request with the given timeout has already taken, zero when it gives none.
func (p *patience) spent(route gw.RouteName, timeout int64) int64 {
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
