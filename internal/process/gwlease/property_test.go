package gwlease

import (
	"errors"
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// init fixes the seed and the number of schedules, 800 for each number of unchecked servers, so that CI is
// deterministic. The flags -rapid.seed and -rapid.checks override them.
func init() {
	if err := errors.Join(flag.Set("rapid.seed", "20261204"), flag.Set("rapid.checks", "800")); err != nil {
		panic(err)
	}
}

// scenarios draws schedules with faults of the kinds.
func scenarios(kinds ...string) *rapid.Generator[scenario] {
	return rapid.Custom(func(t *rapid.T) scenario { return drawScenario(t, kinds) })
}

func drawScenario(t *rapid.T, kinds []string) scenario {
	sc := scenario{
		Seed:    rapid.Uint64().Draw(t, "seed"),
		Cells:   rapid.IntRange(1, 2).Draw(t, "cells"),
		Servers: rapid.IntRange(2, 3).Draw(t, "servers"),
		Loss:    rapid.IntRange(0, 8).Draw(t, "loss"),
	}
	sc.Slow = rapid.IntRange(0, 25).Draw(t, "slow")
	sc.ShortAuthority = rapid.Bool().Draw(t, "short authority")
	sc.Unchecked = rapid.IntRange(0, 2).Draw(t, "unchecked")
	for range rapid.IntRange(0, 12).Draw(t, "actions") {
		sc.Actions = append(sc.Actions, action{
			At:     time.Duration(rapid.IntRange(500, 12000).Draw(t, "at")) * time.Millisecond,
			Kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
			Target: rapid.IntRange(0, 11).Draw(t, "target"),
			For:    time.Duration(rapid.IntRange(50, 6000).Draw(t, "for")) * time.Millisecond,
		})
	}
	return sc
}

// traceOf repeats a schedule with tracing and returns its last steps.
func traceOf(sc scenario, steps int) string {
	m := newSim(sc)
	m.tracing = true
	_ = m.runScenario()
	return strings.Join(m.trace[max(0, len(m.trace)-steps):], "\n")
}

// Guards against any interleaving in which a position is served by two servers, a committed owner disappears,
// or a range stays without service after the faults have ended.
func TestNoPositionIsServedTwice(t *testing.T) {
	for unchecked := range 3 {
		t.Run(fmt.Sprintf("unchecked=%d", unchecked), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				sc := drawScenario(t, simActionKinds)
				sc.ShortAuthority = rapid.Bool().Draw(t, "short authority")
				sc.Unchecked = unchecked
				if err := newSim(sc).runScenario(); err != nil {
					t.Fatalf("%v\n%s", err, traceOf(sc, 80))
				}
			})
		})
	}
}

// Guards against schedules that no longer produce some kind of event, so that the property tests would not cover it.
func TestSchedulesReachEveryEvent(t *testing.T) {
	seen := map[EventKind]int{}
	for i := range 400 {
		m := newSim(scenarios(simActionKinds...).Example(i))
		require.NoError(t, m.runScenario())
		for _, e := range m.events {
			seen[e.Kind]++
		}
	}
	t.Log(seen)
	for _, kind := range []EventKind{
		EventControlTaken, EventControlLost, EventControlHandedOver, EventSessionStarted, EventSessionExpired,
		EventServerRestarted, EventRangeMoved, EventRangeSplit, EventRangeMerged, EventMoveRefused,
		EventCommitConflict, EventDispatcherChanged, EventAuthorityEnded, EventReliefAsked,
	} {
		require.NotZero(t, seen[kind], kind)
	}
}
