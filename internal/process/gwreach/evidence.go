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
	// keptAnswering is how many servers that have answered are remembered.
	keptAnswering = 8
)

// evidence decides from the results of attempts whether this host may be cut off from all servers. It is a
// deterministic state machine that gets the time.
type evidence struct {
	answeredAt time.Time
	// answering are the addresses that have answered last, the newest last.
	answering []string
	failures  map[gw.ServerName]failure
}

// failure is the last failure of a server.
type failure struct {
	address string
	at      time.Time
}

// answered notes that the server at an address can be reached.
func (e *evidence) answered(now time.Time, address string) {
	e.answeredAt = now
	clear(e.failures)
	if n := len(e.answering); n > 0 && e.answering[n-1] == address {
		return
	}
	e.answering = slices.DeleteFunc(e.answering, func(a string) bool { return a == address })
	e.answering = append(e.answering, address)
	e.answering = e.answering[max(len(e.answering)-keptAnswering, 0):]
}

// failed notes that a server could not be reached.
func (e *evidence) failed(now time.Time, name gw.ServerName, address string) {
	if e.failures == nil {
		e.failures = map[gw.ServerName]failure{}
	}
	maps.DeleteFunc(e.failures, func(_ gw.ServerName, f failure) bool { return now.Sub(f.at) > failureRetention })
	if _, known := e.failures[name]; known || len(e.failures) < maxFailures {
		e.failures[name] = failure{address: address, at: now}
	}
}

// suspicious reports whether several servers have failed and none has answered for a while.
func (e *evidence) suspicious(now time.Time) bool {
	return len(e.failures) >= neededServers && now.Sub(e.answeredAt) >= neededSilence
}

// addresses returns the servers whose answer would show that this host reaches servers: those that have answered last
// and those that have failed last, at most n of each.
func (e *evidence) addresses(n int) []string {
	failed := slices.SortedFunc(maps.Values(e.failures), func(x, y failure) int {
		return cmp.Or(y.at.Compare(x.at), cmp.Compare(x.address, y.address))
	})
	addresses := slices.Clone(e.answering[max(len(e.answering)-n, 0):])
	for _, f := range failed[:min(n, len(failed))] {
		if !slices.Contains(addresses, f.address) {
			addresses = append(addresses, f.address)
		}
	}
	return addresses
}
