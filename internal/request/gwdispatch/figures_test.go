package gwdispatch_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwchoice"
)

var simPolicies = []struct {
	name   string
	policy gwchoice.Policy
}{
	{"random", gwchoice.Random},
	{"round-robin", gwchoice.RoundRobin},
	{"least-in-flight", gwchoice.LeastInFlight},
	{"two-choices", gwchoice.TwoChoices},
	{"least-cost", gwchoice.LeastCost},
}

// Prints the table of docs/DISPATCH.md. Runs only when GW_FIGURES is set, because it takes minutes.
func TestFiguresOfChoice(t *testing.T) {
	if os.Getenv("GW_FIGURES") == "" {
		t.Skip("set GW_FIGURES=1 to measure")
	}
	fmt.Println("servers slots load policy | p50 p99 p99.9 ms without | ratio p50 p99 p99.9 with 1 | with 3 straggler")
	for _, size := range []struct{ servers, slots int }{{25, 2}, {10, 4}} {
		for _, load := range []float64{0.5, 0.7, 0.85} {
			for _, p := range simPolicies {
				var res [4]simResult
				for _, n := range []int{0, 1, 3} {
					res[n] = simulation{
						servers: size.servers, slots: size.slots, load: load, stragglers: n, requests: 60000,
						policy: p.policy, deadline: 2 * time.Second, attempts: 3, seed: 1,
						limits: gw.ServiceLimits{SlotsPerServer: size.slots, QueueLength: 32},
					}.run(t)
				}
				r := func(n int) string {
					return fmt.Sprintf("%5.2f %5.2f %5.2f share %.4f refused %d",
						float64(res[n].median)/float64(res[0].median), float64(res[n].p99)/float64(res[0].p99),
						float64(res[n].p999)/float64(res[0].p999), float64(res[n].byStragglers)/float64(res[n].good), res[n].refused)
				}
				fmt.Printf("%d %d %.2f %-15s | %6.1f %6.1f %6.1f | %s | %s\n", size.servers, size.slots, load, p.name,
					float64(res[0].median)/1e6, float64(res[0].p99)/1e6, float64(res[0].p999)/1e6, r(1), r(3))
			}
		}
	}
}

// Guards against a tail latency that depends on a single slow server.
func TestOneStragglerHardlyMovesTheTail(t *testing.T) {
	p99 := func(stragglers int) time.Duration {
		return simulation{
			servers: 25, slots: 2, load: 0.7, stragglers: stragglers, requests: 12000, policy: gwchoice.LeastCost,
			deadline: 2 * time.Second, attempts: 3, seed: 1, limits: gw.ServiceLimits{SlotsPerServer: 2, QueueLength: 32},
		}.run(t).p99
	}
	without, with := p99(0), p99(1)
	require.LessOrEqual(t, float64(with), 1.2*float64(without), "p99 %v without and %v with a straggler", without, with)
}

func overload(load float64, requests int, sigma float64, deadline time.Duration) simulation {
	return simulation{
		servers: 25, slots: 2, load: load, requests: requests, policy: gwchoice.LeastCost, sigma: sigma,
		deadline: deadline, attempts: 3, seed: 1,
		limits: gw.ServiceLimits{SlotsPerServer: 2, QueueLength: 64, QueueMilliseconds: 1000},
	}
}

// Guards against requests that take a slot although they cannot be answered in time.
func TestGoodputHoldsUnderOverload(t *testing.T) {
	best := 0.0
	var goodputs []float64
	for _, load := range []float64{1, 1.5, 2, 4} {
		g := overload(load, 8000, 0.3, 50*time.Millisecond).run(t).goodput()
		best = max(best, g)
		goodputs = append(goodputs, g)
	}
	for _, g := range goodputs {
		require.GreaterOrEqual(t, g, 0.95*best, "goodput at 1, 1.5, 2 and 4 times capacity: %v", goodputs)
	}
}

// Prints goodput relative to capacity.
func TestFiguresOfGoodput(t *testing.T) {
	if os.Getenv("GW_FIGURES") == "" {
		t.Skip("set GW_FIGURES=1 to measure")
	}
	for _, sigma := range []float64{0, 0.3, 1} {
		for _, deadline := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, time.Second} {
			fmt.Printf("goodput sigma %v deadline %v:", sigma, deadline)
			for _, load := range []float64{1, 1.5, 2, 4} {
				r := overload(load, 60000, sigma, deadline).run(t)
				fmt.Printf(" %.1f: %.3f (refused %d)", load, r.goodput()*simMean.Seconds()/50, r.refused)
			}
			fmt.Println()
		}
	}
}
