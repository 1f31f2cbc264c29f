package gwchoice

import "math/rand/v2"

// ServerStats is what this host knows of a server that may be chosen.
type ServerStats struct {
	Slots int
	// InFlight counts the requests of this host at the server.
	InFlight int
	// Slowness is the server's latency divided by the median over the servers of the service. It is 1 when that is not
	// known, and 0 when a slow server is due for a trial.
	Slowness float64
}

// Policy chooses one of at least one server and returns its index. turn is the number of earlier choices for the
// service.
type Policy func(rng *rand.Rand, turn uint64, servers []ServerStats) int

const (
	// slowThreshold is how many times the median latency counts as slow. Below it, differences are mostly noise:
	// the mean of ten exponential times is off by a factor of 2 in about 1 of 200 cases.
	slowThreshold = 2
	// latencyTieWeight is the weight with which latency decides between servers with equally many requests in flight,
	// where its noise does no harm. Latency includes the wait at the dispatcher, and so reflects the requests of other
	// hosts.
	latencyTieWeight = 0.01
)

// cost is the number of requests per slot, multiplied by the slowness of a slow server.
func cost(c ServerStats) float64 {
	perSlot := float64(c.InFlight+1) / float64(max(c.Slots, 1))
	if c.Slowness >= slowThreshold {
		perSlot *= c.Slowness
	}
	return perSlot + latencyTieWeight*c.Slowness
}

// Random takes any server with equal probability.
func Random(rng *rand.Rand, _ uint64, servers []ServerStats) int {
	return rng.IntN(len(servers))
}

// RoundRobin takes the servers in turn.
func RoundRobin(_ *rand.Rand, turn uint64, servers []ServerStats) int {
	return int(turn % uint64(len(servers)))
}

// LeastInFlight takes a server with the fewest requests of this host per slot, at random among equals.
func LeastInFlight(rng *rand.Rand, _ uint64, servers []ServerStats) int {
	return lowestBy(rng, servers, func(c ServerStats) float64 { return float64(c.InFlight) / float64(max(c.Slots, 1)) })
}

// LeastCost takes a server with the lowest cost, at random among equals.
func LeastCost(rng *rand.Rand, _ uint64, servers []ServerStats) int {
	return lowestBy(rng, servers, cost)
}

func lowestBy(rng *rand.Rand, servers []ServerStats, by func(ServerStats) float64) int {
	best, equals := 0, 0
	lowest := 0.0
	for i, c := range servers {
		v := by(c)
		switch {
		case i == 0 || v < lowest:
			best, lowest, equals = i, v, 1
		case v == lowest:
			equals++
			if rng.IntN(equals) == 0 {
				best = i
			}
		}
	}
	return best
}

// TwoChoices draws two servers and takes the one with the lower cost.
func TwoChoices(rng *rand.Rand, _ uint64, servers []ServerStats) int {
	n := len(servers)
	i := rng.IntN(n)
	if n == 1 {
		return i
	}
	j := rng.IntN(n - 1)
	if j >= i {
		j++
	}
	if cost(servers[j]) < cost(servers[i]) {
		return j
	}
	return i
}
