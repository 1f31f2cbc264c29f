package gwlease

import "time"

const (
	// contendedConflicts is the number of conflicts in a row that show that many cells change the record at once. One is
	// usual where two cells answer the same change of load.
	contendedConflicts = 2
	// contendedFor is how long commits are spaced after such conflicts: as long as the changes of one view take.
	contendedFor = time.Second
)

// commitPace spaces the commits of a controller while those of other cells to the same record conflict with them. Moves
// become ready one by one, as the last request of each range ends, and each conflict leaves a range without owner for a
// round trip more. Without conflicts a change of owner is committed as soon as it is ready.
type commitPace struct {
	conflicts      int
	contendedUntil time.Time
	// at is when the next changes may be committed while the record is contended.
	at time.Time
}

// conflicted notes a conflict. The commit is repeated at once on the record that is known by then.
func (p *commitPace) conflicted(now time.Time) {
	p.conflicts++
	if p.conflicts >= contendedConflicts {
		p.contendedUntil = now.Add(contendedFor)
	}
	p.at = time.Time{}
}

// committed notes that the record shows a commit of this controller.
func (p *commitPace) committed() {
	p.conflicts = 0
}

// waits reports whether changes that are ready wait for the next commit.
func (p *commitPace) waits(now time.Time) bool {
	return now.Before(p.contendedUntil) && now.Before(p.at.Add(-tickSlack))
}
