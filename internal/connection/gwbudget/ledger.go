// Package gwbudget decides which connections are turned away when callers hold more memory, or more connections, than
// a host can give them.
package gwbudget

import (
	"time"
)

// ConnectionBytes is what a connection costs while nothing is received on it: two buffers of net/http of 4 KiB and the
// stack of its goroutine.
const ConnectionBytes = 16 << 10

// lineBytes is the cost of a header line besides its bytes: an entry of the map, its slice of values, and the same
// again in the copy that is passed on.
const lineBytes = 250

// restBytes is what a connection may keep between requests, such as a buffer, without having held something since the
// one before.
const restBytes = 8 << 10

// HeadBytes returns the cost of the head of a request that has the given number of bytes and lines. Bytes count twice,
// as received and as strings.
func HeadBytes(n, lines int) int64 {
	return 2*int64(n) + lineBytes*int64(lines)
}

// Limits are the limits of a Ledger. Zero means that there is none.
type Limits struct {
	// Bytes bounds what all connections hold together.
	Bytes int64
	// Connections bounds the open connections.
	Connections int
}

// Account is what a Ledger knows about one connection. It belongs to one Ledger.
type Account struct {
	held int64
	// heldTime adds up held over time, in bytes times nanoseconds, since the connection last held restBytes at most.
	heldTime float64
	changed  time.Time
	// busy is set while a request of the connection is worked on, idleSince is when it was not any more.
	busy      bool
	idleSince time.Time
	open      bool
	// releasing is what the connection held when it was turned away, until it is closed.
	releasing int64
}

// Ledger keeps the accounts of all connections. It addresses callers that hold much for long: thousands of header
// lines, bodies that do not end, responses that are not read, and connections on which nothing is asked. When a limit
// is exceeded, the connection with the largest product of memory and time is turned away first, among those that hold
// more than an even share. So one that is within its share, such as an ordinary request on an old connection, stays
// however long it holds that, as long as others hold more.
//
// A Ledger has no clock and no lock. What is turned away is released a little later. Until it is closed, it counts for
// Fits, and no longer for what is turned away.
type Ledger struct {
	limits   Limits
	accounts map[*Account]struct{}
	held     int64
	// releasing is what connections held that were turned away and have not been closed yet.
	releasing int64
}

// New returns an empty ledger.
func New(limits Limits) *Ledger {
	return &Ledger{limits: limits, accounts: map[*Account]struct{}{}}
}

// Held returns what all connections hold, in bytes.
func (l *Ledger) Held() int64 { return l.held }

// Fits reports whether bytes more can be held without a connection that is turned away, and while those that were
// release what they held.
func (l *Ledger) Fits(bytes int64) bool {
	return l.limits.Bytes <= 0 || l.held+l.releasing+bytes <= l.limits.Bytes
}

// Connections returns the number of open connections.
func (l *Ledger) Connections() int { return len(l.accounts) }

// Open adds a connection. It also returns the connections that are turned away. When there are too many, that is the
// one on which nothing has been worked on for the longest time, and the new one when all are busy.
func (l *Ledger) Open(now time.Time) (opened *Account, turnedAway []*Account) {
	opened = &Account{changed: now, idleSince: now, open: true}
	l.accounts[opened] = struct{}{}
	l.held += ConnectionBytes
	if l.limits.Connections > 0 && len(l.accounts) > l.limits.Connections {
		idle := opened
		for a := range l.accounts {
			if !a.busy && a.idleSince.Before(idle.idleSince) {
				idle = a
			}
		}
		l.Close(idle)
		return opened, []*Account{idle}
	}
	return opened, l.turnAway(now)
}

// Close removes a connection. It may be called again.
func (l *Ledger) Close(a *Account) {
	if _, ok := l.accounts[a]; !ok {
		l.releasing -= a.releasing
		a.releasing = 0
		return
	}
	delete(l.accounts, a)
	l.held -= ConnectionBytes + a.held
	a.open = false
}

// SetBusy says whether a request of the connection is worked on.
func (l *Ledger) SetBusy(a *Account, busy bool, now time.Time) {
	if a.busy = busy; !busy {
		a.idleSince = now
	}
}

// Hold says what a connection holds from now on, besides ConnectionBytes. It returns the connections to be turned away.
func (l *Ledger) Hold(a *Account, bytes int64, now time.Time) []*Account {
	if !a.open || a.held == bytes {
		return nil
	}
	a.settle(now)
	l.held += bytes - a.held
	if a.held = bytes; bytes <= restBytes {
		a.heldTime = 0
	}
	return l.turnAway(now)
}

// turnAway removes connections when the limit is exceeded, until an eighth of it is free, so that the search is not
// repeated for each byte that arrives. While more than that is held, some connection holds more than an even share.
func (l *Ledger) turnAway(now time.Time) []*Account {
	if l.limits.Bytes <= 0 || l.held <= l.limits.Bytes {
		return nil
	}
	var turnedAway []*Account
	for enough := l.limits.Bytes - l.limits.Bytes/8; l.held > enough; {
		share := enough / int64(len(l.accounts))
		var worst *Account
		for a := range l.accounts {
			a.settle(now)
			if a.held > 0 && ConnectionBytes+a.held > share && (worst == nil || a.worse(worst)) {
				worst = a
			}
		}
		if worst == nil {
			break
		}
		l.Close(worst)
		worst.releasing = ConnectionBytes + worst.held
		l.releasing += worst.releasing
		turnedAway = append(turnedAway, worst)
	}
	return turnedAway
}

// settle adds what was held since the last change.
func (a *Account) settle(now time.Time) {
	if passed := now.Sub(a.changed); passed > 0 {
		a.heldTime += float64(a.held) * float64(passed)
		a.changed = now
	}
}

// worse reports whether a connection has held more than another. Those that began at the same moment differ by what
// they hold now.
func (a *Account) worse(than *Account) bool {
	if a.heldTime != than.heldTime {
		return a.heldTime > than.heldTime
	}
	return a.held > than.held
}
