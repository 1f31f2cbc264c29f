package gwplace_test

import (
	"flag"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/version/gwplace"
)

var (
	replaySeeds     = flag.Int("replay-seeds", 1, "seeds per scenario of TestReplay")
	replayKeys      = flag.Int("replay-keys", 10_000, "keys of TestReplay")
	replayScenarios = flag.String("replay-scenarios", "data centre out", "scenarios, comma-separated; empty: all")
	replaySizes     = flag.String("replay-sizes", "20", "numbers of servers, comma-separated; empty: all")
	replayOnly      = flag.String("replay-strategies", "policy,consistent", "strategies, comma-separated; empty: all")
)

// replayParallel bounds the processor cores in use.
const replayParallel = 4

type strategy struct {
	name  string
	start func(*region) strategyRun
}

func strategies() []strategy {
	all := []strategy{
		{"policy", newPlacerRun(false, func() gw.Placer { return gwplace.New() })},
		{"policy-blind", newPlacerRun(true, func() gw.Placer { return gwplace.New() })},
		{"naive", newPlacerRun(false, func() gw.Placer { return gwplace.Reference{} })},
	}
	for _, b := range baselines {
		all = append(all, strategy{b.name, func(*region) strategyRun { return &hashingRun{assign: b.rule} }})
	}
	return slices.DeleteFunc(all, func(s strategy) bool { return !listed(*replayOnly, s.name) })
}

func listed(list, name string) bool {
	return list == "" || slices.Contains(strings.Split(list, ","), name)
}

// TestReplay measures the policy against the reference and the baselines and prints the tables of
// docs/PLACEMENT.md. It guards against a policy that is less even than one of them, or that moves more keys while a
// data centre leaves and returns. By default it runs a small part; empty lists select all.
func TestReplay(t *testing.T) {
	t.Parallel()
	t.Logf("%d keys, %d seeds", *replayKeys, *replaySeeds)
	for _, sc := range scenarios {
		for _, servers := range []int{20, 25} {
			if listed(*replayScenarios, sc.name) && listed(*replaySizes, strconv.Itoa(servers)) {
				replayTable(t, sc, servers)
			}
		}
	}
}

func replayTable(t *testing.T, sc scenario, servers int) {
	seeds, list := *replaySeeds, strategies()
	results := make([]figures, len(list)*seeds*2)
	var group errgroup.Group
	group.SetLimit(replayParallel)
	for i := range results {
		group.Go(func() error {
			r := newRegions(servers, *replayKeys, uint64(i/2%seeds+1))[i%2]
			results[i] = replay(sc, r, list[i/2/seeds].start)
			return nil
		})
	}
	require.NoError(t, group.Wait())
	t.Logf("%s, %d servers", sc.name, servers)
	t.Logf("%-14s max/mean bound worst   dev   keys%%   load%% peak%%/min unavailable overload%% failed splits", "")
	var policy figures
	for i, s := range list {
		var f figures
		for _, g := range results[2*i*seeds:][:2*seeds] {
			f.merge(g)
		}
		n := float64(seeds)
		t.Logf("%-14s %8.3f %5.3f %5.2f %5.3f %7.2f %7.2f %9.2f %11.0f %9.3f %6.0f %6.0f", s.name,
			f.maxToMean/f.seconds, f.maxToMeanBound/f.seconds, f.worstMaxToMean, f.deviation/f.seconds,
			50*f.keysMoved/n, 50*f.loadMoved/n,
			100*f.peakMinute, f.unavailable/n, 100*f.overload/f.load, f.failedMoves/n, f.splits/n)
		if s.name == "policy" {
			policy = f
		} else if s.name != "policy-blind" {
			require.Less(t, policy.maxToMean, f.maxToMean, "less even than %s", s.name)
			require.True(t, sc.name != "data centre out" || policy.keysMoved < f.keysMoved, "more churn than %s", s.name)
		}
	}
}

func (f *figures) merge(g figures) {
	f.seconds, f.maxToMean, f.deviation = f.seconds+g.seconds, f.maxToMean+g.maxToMean, f.deviation+g.deviation
	f.keysMoved, f.loadMoved = f.keysMoved+g.keysMoved, f.loadMoved+g.loadMoved
	f.unavailable, f.overload, f.load = f.unavailable+g.unavailable, f.overload+g.overload, f.load+g.load
	f.failedMoves, f.splits, f.maxToMeanBound = f.failedMoves+g.failedMoves, f.splits+g.splits,
		f.maxToMeanBound+g.maxToMeanBound
	f.worstMaxToMean, f.peakMinute = max(f.worstMaxToMean, g.worstMaxToMean), max(f.peakMinute, g.peakMinute)
}
