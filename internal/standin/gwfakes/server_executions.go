package gwfakes

import (
	"maps"

	gw "github.com/geraniumworks/geraniumworks"
)

// maxExecutionIDs bounds the memory of a server under a long load: about 100 MB for both kinds of ids.
const maxExecutionIDs = 500_000

// ExecutionReport counts what a server has executed and refused since its start.
type ExecutionReport struct {
	Total int64 `json:"total"`
	// ByOperation and ByRequest count executions per Gw-Operation-Id and Gw-Request-Id.
	ByOperation map[string]int `json:"by-operation"`
	ByRequest   map[string]int `json:"by-request"`
	// NotCounted is the number of executions whose ids were not kept, because there were too many.
	NotCounted int64 `json:"not-counted"`
	// Refused counts refusals by Gw-Reason.
	Refused map[gw.Reason]int64 `json:"refused"`
	// Excesses counts requests above the limit of slots, HighestExcess says how far above it was.
	Excesses           int64 `json:"excesses"`
	HighestExcess      int   `json:"highest-excess"`
	RefusedConnections int64 `json:"refused-connections"`
}

type executions struct {
	total       int64
	byOperation map[string]int
	byRequest   map[string]int
	notCounted  int64
	refused     map[gw.Reason]int64
}

func newExecutions() *executions {
	return &executions{byOperation: map[string]int{}, byRequest: map[string]int{}, refused: map[gw.Reason]int64{}}
}

func (e *executions) add(operation, request string) {
	e.total++
	counted := e.count(e.byOperation, operation)
	if !e.count(e.byRequest, request) || !counted {
		e.notCounted++
	}
}

func (e *executions) count(counts map[string]int, id string) bool {
	if id == "" {
		return true
	}
	if _, ok := counts[id]; !ok && len(counts) >= maxExecutionIDs {
		return false
	}
	counts[id]++
	return true
}

// Executions returns the counts. With onlyRepeated, ids that ran once are left out.
func (s *Server) Executions(onlyRepeated bool) ExecutionReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := ExecutionReport{
		Total:              s.executions.total,
		ByOperation:        maps.Clone(s.executions.byOperation),
		ByRequest:          maps.Clone(s.executions.byRequest),
		NotCounted:         s.executions.notCounted,
		Refused:            maps.Clone(s.executions.refused),
		Excesses:           s.slots.excesses,
		HighestExcess:      s.slots.highestExcess,
		RefusedConnections: s.conns.refused.Load(),
	}
	if onlyRepeated {
		once := func(_ string, n int) bool { return n == 1 }
		maps.DeleteFunc(report.ByOperation, once)
		maps.DeleteFunc(report.ByRequest, once)
	}
	return report
}
