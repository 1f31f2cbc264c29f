package gwdispatch

import (
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// fairQueue holds waiting requests: tenants of the most urgent priority first, round robin between tenants of the same
// priority, and within a tenant in the order of request.precedes. One slot in turnInterval goes to the tenant that has
// waited longest for one, whatever its priority. The load that it addresses is one in which urgent tenants alone would
// fill the server, so that the others would get nothing.
type fairQueue struct {
	// tenants are the tenants with waiting requests; the search for the one that is served next starts at index next.
	tenants []*tenantQueue
	next    int
	length  int
	// byPriority counts the slots given by priority since the last one in turn. served counts all slots.
	byPriority int
	served     uint64
}

// turnInterval is how many slots there are for each one that is given regardless of priority.
const turnInterval = 8

type tenantQueue struct {
	name     gw.TenantName
	requests []*request
	// priority is that of the tenant, from its newest request.
	priority int
	// servedAt is the number of slots given when the tenant last got one, or began to wait.
	servedAt uint64
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
		t = &tenantQueue{name: r.Tenant, servedAt: q.served}
		q.tenants = append(q.tenants, nil)
		copy(q.tenants[q.next+1:], q.tenants[q.next:])
		q.tenants[q.next] = t
		if len(q.tenants) > 1 {
			q.next++
		}
	}
	t.priority = gw.TenantPriority(r.Priority)
	t.requests = append(t.requests, r)
	q.length++
}

// pop removes and returns the request that is served next; needed is how long a request is expected to take. The
// queue must not be empty.
func (q *fairQueue) pop(now time.Time, needed time.Duration) *request {
	i, inTurn := q.nextTenant()
	t := q.tenants[i]
	q.served++
	t.servedAt = q.served
	first := t.nextIndex(now, needed)
	r := t.requests[first]
	if !inTurn {
		// A slot in turn does not move the round of the urgent tenants.
		q.next = i
	}
	q.removeAt(i, first)
	if !inTurn && q.next < len(q.tenants) && q.tenants[q.next] == t {
		q.next++
	}
	return r
}

// nextTenant returns the index of the tenant that is served next, and whether it is served in turn and not by priority.
func (q *fairQueue) nextTenant() (index int, inTurn bool) {
	if q.next >= len(q.tenants) {
		q.next = 0
	}
	best, longest, mixed := q.next, q.next, false
	for n := 1; n < len(q.tenants); n++ {
		i := (q.next + n) % len(q.tenants)
		t := q.tenants[i]
		mixed = mixed || t.priority != q.tenants[best].priority
		if t.priority < q.tenants[best].priority {
			best = i
		}
		if t.servedAt < q.tenants[longest].servedAt {
			longest = i
		}
	}
	if !mixed {
		return best, false
	}
	q.byPriority++
	if q.byPriority < turnInterval {
		return best, false
	}
	q.byPriority = 0
	return longest, true
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

// displace makes room for a request of the given tenant: it removes and returns the newest request of the least urgent
// tenant that has to give way, among those of one priority the one with the most waiting requests. It returns nil when
// none has to. This keeps a tenant that fills the queue from shutting out the others.
func (q *fairQueue) displace(tenant gw.TenantName, priority int) *request {
	own := 1
	if t := q.find(tenant); t != nil {
		own += len(t.requests)
	}
	last := -1
	for i, t := range q.tenants {
		if t.givesWay(gw.TenantPriority(priority), own) && (last < 0 || t.before(q.tenants[last])) {
			last = i
		}
	}
	if last < 0 {
		return nil
	}
	t := q.tenants[last]
	newest := len(t.requests) - 1
	r := t.requests[newest]
	q.removeAt(last, newest)
	return r
}

// givesWay reports whether the tenant may lose a request to one of a tenant of the given priority, which would then
// have own requests. Tenants of the same priority share the queue evenly. Less urgent tenants keep one place, and may
// take one from others, so that they have a request for their turn.
func (t *tenantQueue) givesWay(priority, own int) bool {
	switch {
	case t.priority > priority:
		return len(t.requests) > 1
	case t.priority < priority:
		return own == 1 && len(t.requests) > 1
	default:
		return len(t.requests) > own
	}
}

// before reports whether the tenant gives way before the other one.
func (t *tenantQueue) before(other *tenantQueue) bool {
	if t.priority != other.priority {
		return t.priority > other.priority
	}
	return len(t.requests) > len(other.requests)
}

// ahead returns how many waiting requests would be served before a new request of the tenant with the priority.
func (q *fairQueue) ahead(tenant gw.TenantName, priority int) int {
	own := 0
	if t := q.find(tenant); t != nil {
		own = len(t.requests)
	}
	priority = gw.TenantPriority(priority)
	n, urgent, later, others := own, 0, 0, 0
	for _, t := range q.tenants {
		switch {
		case t.name == tenant:
		case t.priority < priority:
			urgent += len(t.requests)
		case t.priority > priority:
			later += len(t.requests)
		default:
			n += min(len(t.requests), own+1)
		}
		if t.name != tenant && t.priority >= priority {
			others++
		}
	}
	// Tenants that are not the most urgent get at least their share of the slots in turn.
	n += min(urgent, turnInterval*(own+1)*(others+1))
	return n + min(later, n/(turnInterval-1))
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
