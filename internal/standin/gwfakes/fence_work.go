package gwfakes

import (
	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
)

// Work is what a request states about its right to run.
type Work struct {
	// HasKey is false for a request of a service that is not divided by key. It needs a session only.
	HasKey   bool
	Position gw.Position
	Token    gw.Revision
}

// Ticket identifies work that was admitted.
type Ticket uint64

type runningWork struct {
	work    Work
	session uint64
	revoked bool
}

// Start admits work, or fails with ErrDraining, ErrNoSession, ErrWrongRange or ErrStaleToken. Finish must be
// called for the ticket.
func (f *Fence) Start(now gw.ClockMilliseconds, w Work) (Ticket, error) {
	if f.draining {
		return 0, ErrDraining
	}
	if !f.Live(now) {
		return 0, ErrNoSession
	}
	if w.HasKey {
		token, ok := tokenAt(f.ranges, w.Position)
		if !ok {
			return 0, ErrWrongRange
		}
		if token != w.Token {
			return 0, eris.Wrapf(ErrStaleToken, "token %d, range has %d", w.Token, token)
		}
	}
	f.tickets++
	t := Ticket(f.tickets)
	f.running[t] = &runningWork{work: w, session: f.session}
	return t, nil
}

// Confirm reports whether admitted work may still have its effect, or fails with ErrNoSession. It must be
// called in the same critical section as the effect: a server that was frozen between Start and the effect
// could otherwise act after its ranges were given to another server.
func (f *Fence) Confirm(now gw.ClockMilliseconds, t Ticket) error {
	w, ok := f.running[t]
	if !ok || w.revoked || w.session != f.session || !f.Live(now) {
		return ErrNoSession
	}
	return nil
}

// Finish ends admitted work, whether or not it had its effect.
func (f *Fence) Finish(t Ticket) {
	delete(f.running, t)
}

// Running returns the number of tickets that are not finished.
func (f *Fence) Running() int {
	return len(f.running)
}

// revokeOutside revokes running work that the new list does not cover. A controller drops a range without
// release only after the session has expired, so the effect would come too late.
func (f *Fence) revokeOutside() {
	for _, w := range f.running {
		if !w.work.HasKey {
			continue
		}
		if _, ok := tokenAt(f.ranges, w.work.Position); !ok {
			w.revoked = true
		}
	}
}
