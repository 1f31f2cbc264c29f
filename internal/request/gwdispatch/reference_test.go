package gwdispatch

import (
	"slices"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// reference is a simple implementation of a dispatcher for one server, with one counter and one queue. It has no
// tenants, ranges or cold servers. It uses the estimate of service times of the dispatcher it is compared with.
type reference struct {
	limits   gw.ServiceLimits
	estimate func(time.Time) timeSummary
	slots    int
	leaseEnd time.Time
	inUse    int
	waiting  []*referenceRequest
	held     []*referenceRequest
}

type referenceRequest struct {
	state                      requestState
	arrived, deadline, started time.Time
}

func (n *reference) submit(now, deadline time.Time) *referenceRequest {
	n.advance(now)
	r := &referenceRequest{state: stateWaiting, arrived: now, deadline: deadline}
	est := n.estimate(now)
	wait := time.Duration(0)
	if n.slots > 0 {
		wait = time.Duration(float64(est.Mean) * float64(len(n.waiting)+1) / float64(n.slots))
	}
	switch {
	case !now.Before(n.leaseEnd), n.tooShort(now, r, est.P50):
		r.state = stateRefused
	case len(n.waiting) == 0 && n.inUse < n.slots:
		n.start(now, r)
	case now.Add(wait).After(n.queueDeadline(r, est)), now.Add(wait + est.MinRemaining).After(deadline),
		len(n.waiting) >= n.limits.QueueLength:
		r.state = stateRefused
	default:
		r.started = n.queueDeadline(r, est)
		n.waiting = append(n.waiting, r)
	}
	return r
}

// queueDeadline returns when a waiting request is refused. It is kept in started while the request waits.
func (n *reference) queueDeadline(r *referenceRequest, est timeSummary) time.Time {
	byQueue := r.arrived.Add(time.Duration(n.limits.QueueMilliseconds) * time.Millisecond)
	if byDeadline := r.deadline.Add(-est.P50); byDeadline.Before(byQueue) {
		return byDeadline
	}
	return byQueue
}

func (n *reference) tooShort(now time.Time, r *referenceRequest, needed time.Duration) bool {
	if n.inUse == 0 {
		return !now.Before(r.deadline)
	}
	return !now.Add(needed).Before(r.deadline)
}

func (n *reference) start(now time.Time, r *referenceRequest) {
	r.state, r.started = stateRunning, now
	n.inUse++
}

func (n *reference) advance(now time.Time) {
	for _, r := range slices.Clone(n.held) {
		if !now.Before(r.deadline) {
			n.held = slices.DeleteFunc(n.held, func(h *referenceRequest) bool { return h == r })
			r.state = stateEnded
			n.inUse--
		}
	}
	for _, r := range slices.Clone(n.waiting) {
		if !now.Before(n.leaseEnd) || !now.Before(r.started) {
			n.cancel(r)
		}
	}
	for len(n.waiting) > 0 && n.inUse < n.slots {
		r := n.waiting[0]
		n.waiting = n.waiting[1:]
		needed := n.estimate(now).P50
		if len(n.waiting) > 0 {
			needed = n.estimate(now).MinRemaining
		}
		if n.tooShort(now, r, needed) {
			r.state = stateRefused
		} else {
			n.start(now, r)
		}
	}
}

func (n *reference) finish(now time.Time, r *referenceRequest, unknown bool) {
	if r.state != stateRunning {
		return
	}
	if unknown && now.Before(r.deadline) {
		r.state = stateHeld
		n.held = append(n.held, r)
	} else {
		r.state = stateEnded
		n.inUse--
	}
	n.advance(now)
}

func (n *reference) cancel(r *referenceRequest) {
	if r.state == stateWaiting {
		r.state = stateRefused
		n.waiting = slices.DeleteFunc(n.waiting, func(w *referenceRequest) bool { return w == r })
	}
}

func (n *reference) lease(now time.Time, slots int, end time.Time) {
	n.slots, n.leaseEnd = slots, end
	n.advance(now)
}
