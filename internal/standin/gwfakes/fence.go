package gwfakes

import (
	"errors"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
)

// Errors with which a Fence refuses messages and work.
var (
	// ErrMisaddressed reports a message for another server, key space or data centre.
	ErrMisaddressed = errors.New("message is for another server or cell")
	// ErrNoSession reports work without a live session, or whose session ended before its effect.
	ErrNoSession = errors.New("server has no live session")
	// ErrWrongRange reports work for a position that the server does not hold.
	ErrWrongRange = errors.New("position is outside the server's ranges")
	// ErrStaleToken reports work whose token is not that of the range.
	ErrStaleToken = errors.New("token does not match the range")
	// ErrDraining reports work at a server that was told that it gets none.
	ErrDraining = errors.New("server is draining")
)

// Fence decides which control messages and which work a server accepts, by the rules of section 4 of the
// design page. It has no clock: the server's own clock is passed in and must not decrease. It is not safe for
// concurrent use.
//
// A refused message changes nothing.
type Fence struct {
	entry       gw.ServerEntry
	incarnation gw.Incarnation

	epoch    gw.Epoch
	revision gw.Revision
	// floor is the lowest revision of a list that may still be accepted.
	floor gw.Revision
	// deadline ends the session; it was granted under deadlineEpoch.
	deadline      gw.ClockMilliseconds
	deadlineEpoch gw.Epoch
	// session counts the sessions, so that work does not outlive the one that admitted it.
	session  uint64
	ranges   []gw.GrantedRange
	draining bool

	tickets uint64
	running map[Ticket]*runningWork
}

// NewFence returns the fence of a server that has just started: without session and ranges.
func NewFence(entry gw.ServerEntry, incarnation gw.Incarnation) *Fence {
	return &Fence{entry: entry, incarnation: incarnation, running: map[Ticket]*runningWork{}}
}

// Status returns the server's answer to a control message.
func (f *Fence) Status(now gw.ClockMilliseconds) gw.ServerStatus {
	return gw.ServerStatus{
		Server:        f.entry.Name,
		Incarnation:   f.incarnation,
		Clock:         now,
		ChecksFencing: true,
		Epoch:         f.epoch,
		Revision:      f.revision,
		Draining:      f.draining,
	}
}

// Ranges returns the ranges that the server may serve while its session is live. The slice is never changed.
func (f *Fence) Ranges() []gw.GrantedRange {
	return f.ranges
}

// Live reports whether the session is live.
func (f *Fence) Live(now gw.ClockMilliseconds) bool {
	return now < f.deadline
}

// Drain makes the fence refuse all work that has not started.
func (f *Fence) Drain() {
	f.draining = true
}

// Grant extends the session and, if the grant contains ranges, replaces the list. It fails with
// ErrMisaddressed, gw.ErrBadRange, gw.ErrOtherIncarnation, gw.ErrStaleEpoch, gw.ErrStaleRevision or
// gw.ErrPastDeadline.
func (f *Fence) Grant(now gw.ClockMilliseconds, g gw.Grant) error {
	if g.DataCentre != f.entry.DataCentre {
		return eris.Wrapf(ErrMisaddressed, "grant for data centre %s", g.DataCentre)
	}
	if err := f.checkSender(g.Server, g.KeySpace, g.Incarnation, g.Epoch); err != nil {
		return err
	}
	if err := f.checkList(g); err != nil {
		return err
	}
	if g.Deadline <= now {
		return eris.Wrapf(gw.ErrPastDeadline, "deadline %d, clock %d", g.Deadline, now)
	}
	f.epoch = g.Epoch
	f.extend(now, g)
	if g.RangesIncluded {
		f.revision, f.ranges = g.Revision, g.Ranges
		f.revokeOutside()
	}
	return nil
}

// checkSender applies the rules that grants and releases share.
func (f *Fence) checkSender(
	server gw.ServerName, space gw.KeySpace, incarnation gw.Incarnation, epoch gw.Epoch,
) error {
	if server != f.entry.Name || space != (gw.KeySpace{Service: f.entry.Service, Region: f.entry.Region}) {
		return eris.Wrapf(ErrMisaddressed, "message for server %s of %s", server, space)
	}
	if incarnation != f.incarnation {
		return eris.Wrapf(gw.ErrOtherIncarnation, "message for %s", incarnation)
	}
	if epoch < f.epoch {
		return eris.Wrapf(gw.ErrStaleEpoch, "epoch %d, accepted %d", epoch, f.epoch)
	}
	return nil
}

// checkList refuses a list below the one that the server has or below the release floor. A grant without list
// must name the list that the server has: the sender is otherwise mistaken about what it has confirmed.
func (f *Fence) checkList(g gw.Grant) error {
	if !g.RangesIncluded {
		if g.Revision != f.revision {
			return eris.Wrapf(gw.ErrStaleRevision, "renewal of revision %d, list has %d", g.Revision, f.revision)
		}
		return nil
	}
	if g.Revision < f.revision || g.Revision < f.floor {
		return eris.Wrapf(gw.ErrStaleRevision, "list of revision %d, accepted %d, floor %d", g.Revision, f.revision,
			f.floor)
	}
	return checkSorted(g.Ranges)
}

// extend sets the deadline. Within an epoch the latest deadline counts, so a message that overtook another
// does no harm. A new epoch replaces it, even by an earlier one: its controller does not know what the
// former one granted, and counts the session's end from its own grants only.
func (f *Fence) extend(now gw.ClockMilliseconds, g gw.Grant) {
	if !f.Live(now) {
		f.session++
	}
	if g.Epoch == f.deadlineEpoch {
		f.deadline = max(f.deadline, g.Deadline)
		return
	}
	f.deadline, f.deadlineEpoch = g.Deadline, g.Epoch
}
