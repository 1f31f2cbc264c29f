package gwfakes

import (
	"maps"
	"time"
)

// callWindow is the length of the windows that CallReport.HighestInWindow refers to.
const callWindow = 100 * time.Millisecond

// CallReport counts the calls to a store since its start or last reset.
type CallReport struct {
	Total   int64            `json:"total"`
	ByKind  map[string]int64 `json:"by-kind"`
	Refused int64            `json:"refused"`
	// HighestInWindow is the largest number of calls in one window of 100 ms.
	HighestInWindow int64 `json:"highest-in-100-milliseconds"`
}

type callCount struct {
	report CallReport
	window time.Time
	calls  int64
}

func newCallCount() callCount {
	return callCount{report: CallReport{ByKind: map[string]int64{}}}
}

func (c *callCount) add(now time.Time, kind string, allowed bool) {
	c.report.Total++
	c.report.ByKind[kind]++
	if !allowed {
		c.report.Refused++
	}
	if now.Sub(c.window) >= callWindow {
		c.window, c.calls = now, 0
	}
	c.calls++
	c.report.HighestInWindow = max(c.report.HighestInWindow, c.calls)
}

// Calls returns the counts of calls since the start or the last Reset.
func (s *Store) Calls() CallReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := s.calls.report
	report.ByKind = maps.Clone(report.ByKind)
	return report
}
