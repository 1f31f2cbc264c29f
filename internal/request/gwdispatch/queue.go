package gwdispatch

import (
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// fairQueue holds waiting requests: round robin between tenants, and within a tenant in the order of request.precedes.
type fairQueue struct {
	// tenants are the tenants with waiting requests; the one at index next is served next.
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

// push adds a request. A tenant that had no waiting requests is served last in the current round.
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

// pop removes and returns the request that is served next; needed is how long a request is expected to take. The
// queue must not be empty.
func (q *fairQueue) pop(now time.Time, needed time.Duration) *request {
	if q.next >= len(q.tenants) {
		q.next = 0
	}
	t := q.tenants[q.next]
	first := t.nextIndex(now, needed)
	r := t.requests[first]
	q.removeAt(q.next, first)
	if q.next < len(q.tenants) && q.tenants[q.next] == t {
		q.next++
	}
	return r
}

// removeAt removes request j of tenant i.
func (q *fairQueue) removeAt(i, j int) {
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

// remove removes the request and reports whether it was in the queue.
func (q *fairQueue) remove(r *request) bool {
	for i, t := range q.tenants {
		if t.name != r.Tenant {
			continue
		}
		for j := range t.requests {
			if t.requests[j] == r {
				q.removeAt(i, j)
				return true
			}
		}
	}
	return false
}

// displace makes room for a request of the given tenant: it removes and returns the newest request of the tenant with
// the most waiting requests. It returns nil unless that tenant has more than the given one would have with one more.
// This keeps a tenant that fills the queue from shutting out the others.
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
	q.removeAt(longest, last)
	return r
}

// ahead returns how many waiting requests would be served before a new request of the tenant.
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

// filter removes the requests for which drop returns a refusal, and passes both to refuse.
func (q *fairQueue) filter(drop func(*request) *gw.Refusal, refuse func(*request, *gw.Refusal)) {
	for i := len(q.tenants) - 1; i >= 0; i-- {
		t := q.tenants[i]
		for j := len(t.requests) - 1; j >= 0; j-- {
			r := t.requests[j]
			if ref := drop(r); ref != nil {
				q.removeAt(i, j)
				refuse(r, ref)
			}
		}
	}
}

// earliestDeadline returns the earliest queueDeadline of the waiting requests, zero when there are none.
func (q *fairQueue) earliestDeadline() time.Time {
	var first time.Time
	for _, t := range q.tenants {
		for _, r := range t.requests {
			if first.IsZero() || r.queueDeadline.Before(first) {
				first = r.queueDeadline
			}
		}
	}
	return first
}
