package gwdispatch

import (
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

const (
	// rejectionMemory is the time constant with which rejections and answers lose their weight. A server that no probe
	// uses because of its rejections is therefore tried again within a few seconds.
	rejectionMemory = time.Second
	// minRejectionSamples is how many recent results are needed for an estimate.
	minRejectionSamples = 3
	// leastRejections is the share of rejections below which a server counts as sound: another server that is
	// asked in its place costs a message.
	leastRejections = 0.2
)

// rejections estimates the share of requests that a server rejects although it has free slots.
//
// Load pattern: a part of the servers of a service rejects half of the requests for several seconds, while the others
// could serve all. A request may be sent to few servers, so that many are refused that another server had a slot for.
// The dispatcher sees all results of a server; one of 60 entry hosts sees one in some seconds.
type rejections struct {
	recentResults
}

// share returns the share of requests that are likely to be rejected, zero when that is little or not known.
func (r *rejections) share(now time.Time) float64 {
	total := r.good + r.bad
	if total*r.remaining(now, rejectionMemory) < minRejectionSamples || r.bad < leastRejections*total {
		return 0
	}
	return r.bad / total
}

// rejectedWithFreeSlots reports whether a server of a cost-aware service has rejected a request and says at the same
// time that it has free slots.
//
// Load pattern: all servers of a service reject half of the requests for several seconds, whatever they have to do,
// while there is a burst. When the slots in use are lowered for each of these answers, the rate of starts falls to a
// share of the capacity that is then rejected by half again.
func (s *serverState) rejectedWithFreeSlots(result gw.AttemptResult) bool {
	load := result.Load
	return s.cost != nil && result.Overloaded && load != nil && load.Waiting == 0 && load.Running < load.Slots
}

// rejectionDelay returns the time that a request of the given cost is expected to lose by rejections at the server. A
// rejected request is sent to another server at once, so that it waits for about half of a request there. A server with
// free slots that rejects half of its requests is still worth more than a queue.
func (s *serverState) rejectionDelay(now time.Time, cost time.Duration) time.Duration {
	if s.cost == nil {
		return 0
	}
	return time.Duration(s.rejections.share(now) * float64(cost) / 2)
}

// rejectingRefusal refuses a request that only asks for a free slot, so that it goes to another server if one has a
// slot and does not reject requests. The wait that it states includes the delay by rejections.
func (s *serverState) rejectingRefusal(now time.Time, r *request) *gw.Refusal {
	s.project(now, r)
	wait := r.expectedStart.Sub(now) + s.rejectionDelay(now, r.cost.Mean)
	return gw.Refuse(gw.ReasonOverloaded, "the server rejects a part of its requests").
		WithRetryAfter(max(wait, minRetryAfter).Milliseconds())
}
