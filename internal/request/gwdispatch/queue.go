package gwdispatch

import (
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// fairQueue holds waiting requests, first in first out within a tenant and round robin between tenants.
type fairQueue struct {
	// tenants lists the tenants with waiting requests; the one at next is served next.
	tenants []*tenantQueue
	next    int
	length  int
}

type tenantQueue struct {
	name     gw.TenantName
	requests []*request
}

func (q *fairQueue) find(tenant gw.TenantName) *tenantQueue {
	for _, t := range q.tenants {
		if t.name == tenant {
			return t
		}
	}
	return nil
}

// push appends a request. A tenant without waiting requests joins at the end of the current round.
func (q *fairQueue) push(r *request) {
	t := q.find(r.Tenant)
	if t == nil {
		t = &tenantQueue{name: r.Tenant}
		q.tenants = append(q.tenants, nil)
		copy(q.tenants[q.next+1:], q.tenants[q.next:])
		q.tenants[q.next] = t
		if len(q.tenants) > 1 {
			q.next++
		}
	}
	t.requests = append(t.requests, r)
	q.length++
}

// pop removes the request whose turn it is when requests need as long as usual; the queue must not be empty.
func (q *fairQueue) pop(now time.Time, needed time.Duration) *request {
	if q.next >= len(q.tenants) {
		q.next = 0
	}
	t := q.tenants[q.next]
	first := t.next(now, needed)
	r := t.requests[first]
	q.take(q.next, first)
	if q.next < len(q.tenants) && q.tenants[q.next] == t {
		q.next++
	}
	return r
}

// take removes request j of tenant i.
func (q *fairQueue) take(i, j int) {
	t := q.tenants[i]
	copy(t.requests[j:], t.requests[j+1:])
	t.requests[len(t.requests)-1] = nil
	t.requests = t.requests[:len(t.requests)-1]
	q.length--
	if len(t.requests) > 0 {
		return
	}
	q.tenants = append(q.tenants[:i], q.tenants[i+1:]...)
	if i < q.next {
		q.next--
	}
	if q.next >= len(q.tenants) {
		q.next = 0
	}
}

// remove takes the request out and reports whether it was there.
func (q *fairQueue) remove(r *request) bool {
	for i, t := range q.tenants {
		if t.name != r.Tenant {
			continue
		}
		for j := range t.requests {
			if t.requests[j] == r {
				q.take(i, j)
				return true
			}
		}
	}
	return false
}

// displace removes the newest request of the tenant with most waiting requests if the tenant given would still
// have fewer after one more. It keeps a tenant that fills the queue from shutting out the others.
func (q *fairQueue) displace(tenant gw.TenantName) *request {
	own := 1
	if t := q.find(tenant); t != nil {
		own += len(t.requests)
	}
	longest := -1
	for i, t := range q.tenants {
		if len(t.requests) > own && (longest < 0 || len(t.requests) > len(q.tenants[longest].requests)) {
			longest = i
		}
	}
	if longest < 0 {
		return nil
	}
	t := q.tenants[longest]
	last := len(t.requests) - 1
	r := t.requests[last]
	q.take(longest, last)
	return r
}

// ahead is how many waiting requests would be served before a new one of the tenant.
func (q *fairQueue) ahead(tenant gw.TenantName) int {
	own := 0
	if t := q.find(tenant); t != nil {
		own = len(t.requests)
	}
	n := own
	for _, t := range q.tenants {
		if t.name != tenant {
			n += min(len(t.requests), own+1)
		}
	}
	return n
}

// filter removes the requests for which drop returns a refusal and passes them to refuse.
func (q *fairQueue) filter(drop func(*request) *gw.Refusal, refuse func(*request, *gw.Refusal)) {
	for i := len(q.tenants) - 1; i >= 0; i-- {
		t := q.tenants[i]
		for j := len(t.requests) - 1; j >= 0; j-- {
			r := t.requests[j]
			if ref := drop(r); ref != nil {
				q.take(i, j)
				refuse(r, ref)
			}
		}
	}
}

// earliest returns the earliest time at which a waiting request gives up, zero when none waits.
func (q *fairQueue) earliest() time.Time {
	var first time.Time
	for _, t := range q.tenants {
		for _, r := range t.requests {
			if first.IsZero() || r.giveUp.Before(first) {
				first = r.giveUp
			}
		}
	}
	return first
}
