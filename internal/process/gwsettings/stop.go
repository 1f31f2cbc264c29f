package gwsettings

import (
	"time"
)

// killMargin is the time between the end of a planned stop and the kill, in which the process closes connections.
const killMargin = 500 * time.Millisecond

// StopDeadline returns when a planned stop that begins at a time must have ended. The settings must be valid.
func (s Settings) StopDeadline(begin time.Time) time.Time {
	if left, err := time.ParseDuration(s.KillAfter); err == nil {
		return begin.Add(left - killMargin)
	}
	return begin.Add(time.Duration(s.StopMilliseconds) * time.Millisecond)
}

// checkStop checks the times of a planned stop.
func (s Settings) checkStop(fail func(field, problem, allowed string)) {
	if s.DrainMilliseconds < 0 {
		fail("drain-milliseconds", "is negative", "0 or more")
	}
	drain := time.Duration(s.DrainMilliseconds) * time.Millisecond
	if s.KillAfter == "" {
		if time.Duration(s.StopMilliseconds)*time.Millisecond <= drain {
			fail("stop-milliseconds", "is not above drain-milliseconds", "more than drain-milliseconds")
		}
		return
	}
	if left, err := time.ParseDuration(s.KillAfter); err != nil {
		fail("kill-after", "is no duration", "a number and a unit, as in 6s or 6500ms")
	} else if left-killMargin <= drain {
		fail("kill-after", "leaves no time after drain-milliseconds", "over 500 ms more than drain-milliseconds")
	}
}
