package gwspread

import "time"

type settings struct {
	initialRangesPerServer int
	maxMeanRanges          int
	startWait              time.Duration
	startQuiet             time.Duration
	settlingTime           time.Duration
	moveTimeout            time.Duration
	overloadFactor         float64
	minOverloadUtilisation float64
	idleFactor             float64
	moveFraction           float64
	maxMovesPerView        int
}

func defaults() settings {
	return settings{
		// Each range costs a call at each renewal; four a server spread neighbours over the servers.
		initialRangesPerServer: 4,
		maxMeanRanges:          8,
		// Traffic comes 8 s after the hosts have started, and controllers need 3 s to find all servers.
		startWait:  4 * time.Second,
		startQuiet: 900 * time.Millisecond,
		// Loads are counted over the last 2 s, so that a move shows in full after that.
		settlingTime: 2000 * time.Millisecond,
		moveTimeout:  4 * time.Second,
		// At 25% above the mean utilisation a server with two slots waits twice as long as its peers.
		overloadFactor: 1.25,
		// Below half of its capacity a server has no queue worth moving keys for.
		minOverloadUtilisation: 0.5,
		idleFactor:             0.3,
		// Controllers of other cells see the same idle servers, so that each gives a part at a time.
		moveFraction:    0.7,
		maxMovesPerView: 24,
	}
}

// Option changes a setting of a Policy.
type Option func(*settings)

// WithStartWait sets how long the first assignment waits at most for servers that are not up yet, and how long none may
// have come up before it is made.
func WithStartWait(most, quiet time.Duration) Option {
	return func(s *settings) { s.startWait, s.startQuiet = most, quiet }
}

// WithRanges sets how many ranges each server gets at the start, and the mean number above which neighbours are merged.
func WithRanges(perServer, most int) Option {
	return func(s *settings) { s.initialRangesPerServer, s.maxMeanRanges = perServer, most }
}
