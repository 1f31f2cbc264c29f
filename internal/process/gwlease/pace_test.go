package gwlease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// Guards against a commit for each range that becomes ready. On a grown site, seven of ten commits conflicted with
// those of other cells of the same key space, and each conflict leaves a released range without owner for longer.
func TestRangesThatBecomeReadyOneByOneShareCommits(t *testing.T) {
	m := newSim(scenario{Seed: 1, Cells: 1, Servers: 12, Steady: true})
	m.calm = true
	m.run(5 * time.Second)
	cell, _ := m.stored.Cell("a")
	_, p := m.host(cell.Host)
	target := m.stored.At(0).Owner
	// Each server but the target gets a range, so that the releases take different times, up to 400 ms.
	var out gw.Plan
	var moves []gw.Move
	for i, s := range m.servers {
		if s.entry.Name == target {
			continue
		}
		first := gw.Position(uint64(i+1) << 59)
		out.Splits = append(out.Splits, first)
		out.Moves = append(out.Moves, gw.Move{First: first, From: target, To: s.entry.Name})
		moves = append(moves, gw.Move{First: first, From: s.entry.Name, To: target})
	}
	m.step(p, p.cores[0], PlanProposed{Plan: out})
	m.run(m.now + 3*time.Second)
	before := m.version
	m.step(p, p.cores[0], PlanProposed{Plan: gw.Plan{Moves: moves}})
	m.run(m.now + 2*time.Second)
	require.Empty(t, m.failure)
	for _, mv := range moves {
		require.Equal(t, target, m.stored.At(mv.First).Owner)
	}
	// One at once, one for each pause while releases end, and the last.
	require.LessOrEqual(t, int(m.version-before), 4)
}
