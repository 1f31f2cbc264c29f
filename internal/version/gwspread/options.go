package gwspread

import "time"

type settings struct {
	rangesPerServer int
	mostRanges      int
	startWait       time.Duration
	startQuiet      time.Duration
	settle          time.Duration
	moveTimeout     time.Duration
	overload        float64
	idleBelow       float64
	fillBelow       float64
	giveShare       float64
	movesPerView    int
}

func defaults() settings {
	return settings{
		// Each range costs a call at each renewal; four a server spread neighbours over the servers.
		rangesPerServer: 4,
		mostRanges:      8,
		// Traffic comes 8 s after the hosts have started, and controllers need 3 s to find all servers.
		startWait:  4 * time.Second,
		startQuiet: 900 * time.Millisecond,
		// Loads are counted over the last 2 s, so that a move shows in full after that.
		settle:      2000 * time.Millisecond,
		moveTimeout: 4 * time.Second,
		// At 25% above the mean utilisation a server with two slots waits twice as long as its peers.
		overload: 1.25,
		// Below half of its capacity a server has no queue worth moving keys for.
		idleBelow: 0.5,
		fillBelow: 0.3,
		// Controllers of other cells see the same idle servers, so that each gives a part at a time.
		giveShare:    0.7,
		movesPerView: 24,
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
	return func(s *settings) { s.rangesPerServer, s.mostRanges = perServer, most }
}
