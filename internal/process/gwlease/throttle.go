package gwlease

import "time"

const (
	// contentionConflicts is the number of consecutive conflicts that counts as contention between many cells. A
	// single conflict is normal when two cells respond to the same change of load.
	contentionConflicts = 2
	// contentionPeriod is how long commits are spaced after contention was detected. It is as long as the changes
	// that follow from one placement view take.
	contentionPeriod = time.Second
)

// commitThrottle spaces the commits of a controller while commits of other cells to the same record conflict with
// them. Moves become ready one by one, as the last request of each range ends, and each conflict leaves a range
// without an owner for another round trip. Without conflicts, a change of owner is committed as soon as it is ready.
type commitThrottle struct {
	conflicts      int
	contendedUntil time.Time
	// nextAt is the earliest time of the next commit while the record is contended.
	nextAt time.Time
}

// conflicted records a conflict. The refused commit is repeated without delay on the newest known record.
func (p *commitThrottle) conflicted(now time.Time) {
	p.conflicts++
	if p.conflicts >= contentionConflicts {
		p.contendedUntil = now.Add(contentionPeriod)
	}
	p.nextAt = time.Time{}
}

// committed records that the record shows a commit of this controller.
func (p *commitThrottle) committed() {
	p.conflicts = 0
}

// mustWait reports whether changes that are ready have to wait.
func (p *commitThrottle) mustWait(now time.Time) bool {
	return now.Before(p.contendedUntil) && now.Before(p.nextAt.Add(-tickSlack))
}
