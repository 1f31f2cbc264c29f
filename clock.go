package geraniumworks

import "time"

// Clock tells the time. The result of Now carries a monotonic reading.
type Clock interface {
	Now() time.Time
}

// SystemClock is the clock of the operating system.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time {
	return time.Now()
}

// ClockMilliseconds is a reading of one process's own monotonic clock, in milliseconds from an arbitrary
// origin. Readings of different processes cannot be compared.
type ClockMilliseconds int64
