package gwdispatch

import (
	"math"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// raisePerAnswer is the share of a cold server's slots that each successful answer adds to the limit. With 2 slots, a
// cold share of 10% and 10 ms per request, the limit is back at full after 36 answers, in about a second.
const raisePerAnswer = 0.25

// estimatedRateShare is the share of an estimated rate that is used. It covers the error of the smoothed service time:
// with 1, a server got 1.1 times its capacity during one half second. A configured rate is used in full.
const estimatedRateShare = 0.8

// maxPause bounds how long a cold server gets no request at all. Without it, a request that times out would cause a
// pause of nine times its length.
const maxPause = 2 * time.Second

// slotLimiter limits how many slots of a cold or overloaded server are used. The limit has a fraction, since 10% of 2
// slots is less than one: the fractional slot pauses between requests so that it is in use for that share of the time.
type slotLimiter struct {
	cold  bool
	slots float64
	// warmRate is the capacity of the warm server in requests per second, zero when it is not known.
	warmRate float64
	// loweredAt is when the limit was last set to the cold share. coldSince is when the server was found to have
	// started, zero when the limit was lowered for overload only.
	loweredAt, coldSince time.Time
	// pausedUntil is when the fractional slot may be used again, nextStart when a request may start in any slot.
	pausedUntil time.Time
	nextStart   time.Time
}

// fullSlots is the number of slots of the server when it is warm.
func fullSlots(limits gw.ServiceLimits, leased int) int {
	return max(limits.SlotsPerServer, leased)
}

// coldSlots is the number of slots of the server when it has just started.
func coldSlots(limits gw.ServiceLimits, leased int) float64 {
	return float64(fullSlots(limits, leased)) * float64(limits.ColdPercent) / 100
}

// lower sets the limit to the cold share. The busy requests count against what may start afterwards. The rate of the
// warm server is the configured one or, without one, an estimate from its slots and the service time.
func (l *slotLimiter) lower(
	now time.Time, limits gw.ServiceLimits, leased int, busy []*request, typical time.Duration,
) {
	l.cold = true
	l.loweredAt = now
	if limits.RequestsPerSecondPerServer > 0 {
		l.warmRate = limits.RequestsPerSecondPerServer
	} else if typical > 0 {
		l.warmRate = estimatedRateShare * float64(fullSlots(limits, leased)) / typical.Seconds()
	}
	l.slots = coldSlots(limits, leased)
	for i := int(l.slots); i < len(busy); i++ {
		busy[i].fractional = true
	}
	for range busy {
		l.started(now, limits, leased)
	}
}

// raise adds a fixed amount to the limit for a successful answer.
func (l *slotLimiter) raise(now time.Time, limits gw.ServiceLimits, leased int) {
	if !l.cold {
		return
	}
	full := float64(fullSlots(limits, leased))
	l.slots = min(full, l.slots+raisePerAnswer*coldSlots(limits, leased))
	if l.allowed(now, limits, leased) >= full {
		*l = slotLimiter{}
	}
}

// allowed returns the number of slots that may be in use on average, with its fraction.
func (l *slotLimiter) allowed(now time.Time, limits gw.ServiceLimits, leased int) float64 {
	if !l.cold {
		return float64(leased)
	}
	allowed := min(l.slots, float64(leased))
	if step := limits.ColdStepMilliseconds; step > 0 && !l.coldSince.IsZero() {
		// The limit at most doubles per configured step since the start, however many answers there are. The exponent is
		// bounded at 10.
		steps := math.Floor(now.Sub(l.coldSince).Seconds() * 1000 / float64(step))
		allowed = min(allowed, coldSlots(limits, leased)*math.Exp2(min(steps, 10)))
	}
	return allowed
}

// admits reports whether one more request may start while busy slots are occupied, and whether it would occupy the
// fractional slot.
func (l *slotLimiter) admits(now time.Time, limits gw.ServiceLimits, leased, busy int) (ok, fractional bool) {
	if !l.cold {
		return busy < leased, false
	}
	if now.Before(l.nextStart) {
		return false, false
	}
	allowed := l.allowed(now, limits, leased)
	whole := int(allowed)
	if busy < whole {
		return true, false
	}
	return busy == whole && allowed > float64(whole) && !now.Before(l.pausedUntil), true
}

// started spaces the starts at a cold server when the rate of the warm server is known. The pauses of the fractional
// slot do not suffice for that, because how long a request takes is known only when it has ended.
func (l *slotLimiter) started(now time.Time, limits gw.ServiceLimits, leased int) {
	allowed := l.allowed(now, limits, leased)
	if !l.cold || l.warmRate <= 0 || allowed <= 0 {
		return
	}
	rate := l.warmRate * allowed / float64(fullSlots(limits, leased))
	spacing := time.Duration(float64(time.Second) / rate)
	l.nextStart = earliest(latest(l.nextStart, now).Add(spacing), now.Add(maxPause))
}

// ended pauses the fractional slot after a request, so that it is in use for its fraction of the time.
func (l *slotLimiter) ended(now, started time.Time, limits gw.ServiceLimits, leased int) {
	if !l.cold {
		return
	}
	allowed := l.allowed(now, limits, leased)
	fraction := allowed - math.Floor(allowed)
	if fraction > 0 {
		pause := time.Duration(float64(now.Sub(started)) * (1/fraction - 1))
		l.pausedUntil = earliest(latest(l.pausedUntil, now).Add(pause), now.Add(maxPause))
	}
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// wakeAt returns when the passage of time may change the result of admits, zero when it will not.
func (l *slotLimiter) wakeAt(now time.Time) time.Time {
	if !l.cold {
		return time.Time{}
	}
	at := latest(l.pausedUntil, l.nextStart)
	if !at.After(now) {
		return time.Time{}
	}
	return at
}
