package gwlease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// Guards against spacing commits without contention, which cost a quiet day 0.05 of its score because busy keys
// moved later at the start of the load. Also guards against spacing that does not start, or that continues after the
// conflicts have ended.
func TestCommitsAreSpacedAfterConflictsOnly(t *testing.T) {
	var p commitThrottle
	now := time.Unix(100, 0)
	next := func() { p.nextAt = now.Add(200 * time.Millisecond) }
	next()
	require.False(t, p.mustWait(now))
	p.conflicted(now)
	next()
	require.False(t, p.mustWait(now), "one conflict is usual")
	p.committed()
	p.conflicted(now)
	next()
	require.False(t, p.mustWait(now), "a commit came between")
	p.conflicted(now)
	require.False(t, p.mustWait(now), "the conflicting commit is repeated at once")
	next()
	require.True(t, p.mustWait(now))
	require.False(t, p.mustWait(now.Add(200*time.Millisecond)))
	p.nextAt = now.Add(contentionPeriod + time.Second)
	require.False(t, p.mustWait(now.Add(contentionPeriod)))
}

// Guards against a separate commit for each range that becomes ready while the record is contended. On a grown site,
// seven of ten commits conflicted with those of other cells of the same key space, and each conflict left a released
// range without an owner for longer.
func TestRangesThatBecomeReadyOneByOneShareCommits(t *testing.T) {
	m := newSim(scenario{Seed: 1, Cells: 1, Servers: 12, Steady: true})
	m.faultFree = true
	m.run(5 * time.Second)
	cell, _ := m.stored.Cell("a")
	_, p := m.host(cell.Host)
	target := m.stored.At(0).Owner
	// Each server except the target gets a range, so that the releases take different times, up to 400 ms.
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
	// Simulates two conflicts with commits of another cell.
	for range contentionConflicts {
		p.cores[0].throttle.conflicted(p.cores[0].now)
	}
	p.cores[0].throttle.contendedUntil = p.cores[0].now.Add(2 * contentionPeriod)
	m.step(p, p.cores[0], PlanProposed{Plan: gw.Plan{Moves: moves}})
	m.run(m.now + 2*time.Second)
	require.Empty(t, m.failure)
	for _, mv := range moves {
		require.Equal(t, target, m.stored.At(mv.First).Owner)
	}
	// One commit without delay, one per interval while releases end, and the last.
	require.LessOrEqual(t, int(m.version-before), 4)
}
