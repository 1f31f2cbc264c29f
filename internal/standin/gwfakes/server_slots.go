package gwfakes

import "time"

// slotMeter limits the requests that run at once and records how far the limit was exceeded.
type slotMeter struct {
	slots       int
	coldPercent int
	coldUntil   time.Time

	running       int
	highestExcess int
	excesses      int64
}

// limit returns the number of requests that may run at once: all slots when warm, at least one when cold.
func (m *slotMeter) limit(now time.Time) int {
	if !now.Before(m.coldUntil) {
		return m.slots
	}
	return max(m.slots*m.coldPercent/100, 1)
}

// take occupies a slot, or records the excess and returns false.
func (m *slotMeter) take(now time.Time) bool {
	limit := m.limit(now)
	if m.running >= limit {
		m.highestExcess = max(m.highestExcess, m.running+1-limit)
		m.excesses++
		return false
	}
	m.running++
	return true
}

func (m *slotMeter) release() {
	m.running--
}
