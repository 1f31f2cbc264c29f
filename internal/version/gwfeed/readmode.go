package gwfeed

import (
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

const (
	// relyAbove is the number of hosts of a data centre above which those that are no relays do not read the store. In
	// smaller ones most hosts are relays, and the others read too, since that costs few calls.
	relyAbove = 4
	// startWait is how long a new process looks for relays before it reads the store itself.
	startWait = 1500 * time.Millisecond
)

// relies reports whether the hosts of this data centre rely on its relays.
func (f *Feed) relies() bool {
	return f.topologyOf().live > relyAbove
}

// ReadMode returns what this host reads of the store at the moment. The number of readers grows with the data centres
// and not with the hosts, so that neither do their calls.
func (f *Feed) ReadMode() gw.ReadMode {
	relays, relies := f.topologyOf().own, f.relies()
	switch {
	case relies && f.isRelay() || len(relays) > 0 && relays[0].Name == f.self.Name:
		return gw.ReadForOthers
	case len(relays) > 0 && !relies:
		return gw.ReadForSelf
	case f.current():
		return gw.ReadNothing
	case time.Since(f.createdAt) < startWait:
		return gw.ReadHosts
	default:
		return gw.ReadForOthers
	}
}

// current reports whether the store has lately answered a relay that has answered this host.
func (f *Feed) current() bool {
	at := f.sourceAnsweredAt.Load()
	return at != nil && time.Since(*at) < currentFor
}

// CurrentAt returns the last time at which what this host received was known to be up to date, zero before the first
// time.
func (f *Feed) CurrentAt() time.Time {
	at := f.currentAt.Load()
	if at == nil {
		return time.Time{}
	}
	return at.Add(-sourceCycle)
}
