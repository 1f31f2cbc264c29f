package gwcost

import (
	"math"
	"time"
)

const (
	// returnSlot is the length of a time slot of the plan, returnSlots their number: a horizon of 4 s.
	returnSlot  = 100 * time.Millisecond
	returnSlots = 40
	// minReturn is the shortest delay asked of a refused caller. After a shorter one the slot that it was refused is not
	// free yet.
	minReturn = 50 * time.Millisecond
	// arrivalMemory is the time constant of the rate of arrivals.
	arrivalMemory = time.Second
	// honouredShare is the longest Retry-After that callers honour, as a share of the time that they have left.
	honouredShare = 1.0 / 3
	// goldenRatio spaces successive returns evenly within their time slots.
	goldenRatio = 0.6180339887498949
)

// Returns plans when refused callers return to one server. All amounts are times in a slot of the server.
//
// The load that it addresses: many callers refused at the same moment. When each is told the time at which the present
// queue ends, all return at that time, on top of the normal load, and most are refused for good.
type Returns struct {
	// first is the start of the first time slot, and promised has what is promised for each from there on.
	first    time.Time
	promised [returnSlots]float64
	// arrived is the decayed sum of the costs that arrived, of which arrivalMemory is the time constant.
	arrived   float64
	arrivedAt time.Time
	spread    float64
}

// Capacity is what a server will be able to do once the requests that wait now have been served.
type Capacity struct {
	// Free has for each slot when it becomes free.
	Free []time.Time
	// Share is the share of the time in which slots may be used, less than 1 for cold and rate-limited servers.
	Share float64
}

// advance drops the time slots that have passed. Returns that were due in them have arrived, and are not part of the
// rate of new arrivals.
func (r *Returns) advance(now time.Time) {
	passed := int(min(max(now.Sub(r.first)/returnSlot, 0), returnSlots))
	if r.first.IsZero() {
		passed = returnSlots
	}
	r.decay(now)
	for _, due := range r.promised[:passed] {
		r.arrived = max(r.arrived-due, 0)
	}
	copy(r.promised[:], r.promised[passed:])
	clear(r.promised[returnSlots-passed:])
	if passed == returnSlots {
		r.first = now
		return
	}
	r.first = r.first.Add(time.Duration(passed) * returnSlot)
}

func (r *Returns) decay(now time.Time) {
	r.arrived *= math.Exp(-max(now.Sub(r.arrivedAt), 0).Seconds() / arrivalMemory.Seconds())
	r.arrivedAt = now
}

// Arrive counts a request that has arrived, with its expected cost.
func (r *Returns) Arrive(now time.Time, cost time.Duration) {
	r.decay(now)
	r.arrived += cost.Seconds()
}

// Offered returns the work that arrives, as a number of slots that it would occupy.
func (r *Returns) Offered(now time.Time) float64 {
	r.advance(now)
	return r.arrived / arrivalMemory.Seconds()
}

// Refuse returns the delay asked of a refused caller, and whether the caller is expected to return after it: it gets
// the first time slot with capacity that is neither needed for new arrivals nor promised to others, or else the end of
// the horizon. left is the time that the caller has.
func (r *Returns) Refuse(now time.Time, c Capacity, cost, left time.Duration) (delay time.Duration, returns bool) {
	arriving := r.Offered(now) * returnSlot.Seconds()
	// owed is the promised work that did not fit into its time slot. New arrivals beyond the capacity are not carried
	// over, since those that cannot be served are refused and do not wait.
	owed := 0.0
	for i := range r.promised {
		start := r.first.Add(time.Duration(i) * returnSlot)
		owed += r.promised[i] - max(c.in(start, start.Add(returnSlot))-arriving, 0)
		if owed >= 0 {
			continue
		}
		r.spread = math.Mod(r.spread+goldenRatio, 1)
		delay = start.Add(time.Duration(r.spread * float64(returnSlot))).Sub(now)
		if delay < minReturn {
			// The rest of the first time slot is too short.
			delay = minReturn + time.Duration(r.spread*float64(returnSlot-minReturn))
		}
		if returns = float64(delay) <= honouredShare*float64(left); returns {
			r.promised[i] += cost.Seconds()
		}
		return delay, returns
	}
	return r.first.Add(returnSlots * returnSlot).Sub(now), false
}

// in returns the capacity between two times.
func (c Capacity) in(from, to time.Time) float64 {
	sum := 0.0
	for _, free := range c.Free {
		if free.Before(to) {
			sum += min(to.Sub(free), to.Sub(from)).Seconds()
		}
	}
	return sum * c.Share
}

// Promised returns the work of the callers that are expected to return.
func (r *Returns) Promised(now time.Time) time.Duration {
	r.advance(now)
	sum := 0.0
	for _, p := range r.promised {
		sum += p
	}
	return seconds(sum)
}
