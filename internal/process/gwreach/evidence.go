package gwreach

import (
	"cmp"
	"maps"
	"slices"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

const (
	// neededServers is how many servers must have failed. One or two that fail say nothing about this host.
	neededServers = 3
	// neededSilence is how long no server may have answered.
	neededSilence = 400 * time.Millisecond
	// failureRetention is how long a failure counts.
	failureRetention = 3 * time.Second
	// maxFailures bounds the servers of which failures are kept.
	maxFailures = 64
)

// evidence decides from the results of attempts whether this host is cut off from all servers. It is a deterministic
// state machine that gets the time.
type evidence struct {
	answeredAt time.Time
	failures   map[gw.ServerName]failure
	cut        bool
}

// failure is the last failure of a server.
type failure struct {
	address string
	at      time.Time
}

func (e *evidence) answered(now time.Time) {
	e.answeredAt, e.cut = now, false
	clear(e.failures)
}

func (e *evidence) failed(now time.Time, name gw.ServerName, address string) {
	if e.failures == nil {
		e.failures = map[gw.ServerName]failure{}
	}
	if !e.cut {
		// While the host is cut off, the failures name the servers to try.
		maps.DeleteFunc(e.failures, func(_ gw.ServerName, f failure) bool { return now.Sub(f.at) > failureRetention })
	}
	if _, known := e.failures[name]; known || len(e.failures) < maxFailures {
		e.failures[name] = failure{address: address, at: now}
	}
	e.cut = e.cut || len(e.failures) >= neededServers && now.Sub(e.answeredAt) >= neededSilence
}

// cutOff reports whether all servers have been silent or out of reach.
func (e *evidence) cutOff() bool {
	return e.cut
}

// lastFailed returns the addresses of the servers that failed last, at most n.
func (e *evidence) lastFailed(n int) []string {
	failed := slices.SortedFunc(maps.Values(e.failures), func(x, y failure) int {
		return cmp.Or(y.at.Compare(x.at), cmp.Compare(x.address, y.address))
	})
	var addresses []string
	for _, f := range failed[:min(n, len(failed))] {
		addresses = append(addresses, f.address)
	}
	return addresses
}
