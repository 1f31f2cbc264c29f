package gwplace

import "time"

const (
	// initialRangesPerServer is the number of ranges per server in the first assignment.
	initialRangesPerServer = 16
	// maxMeanRanges is the mean number of ranges above which neighbours are merged: at 60 bytes a range,
	// 15,000 ranges fill a store value.
	maxMeanRanges = 64
	// churnWindow is the period over which moves count against the churn budget.
	churnWindow = time.Minute
)

type settings struct {
	seed              uint64
	churnPerMin       float64
	startAbove        float64
	stopBelow         float64
	fillBelow         float64
	fillTarget        float64
	imbalanceDuration time.Duration
	consecutiveViews  int
	moveCooldown      time.Duration
	settlingTime      time.Duration
	isolateShare      float64
	mergeAfter        time.Duration
	suspectAfter      time.Duration
	startWait         time.Duration
	moveTimeout       time.Duration
	maxBackoff        time.Duration
}

func defaults() settings {
	return settings{
		seed:              1,
		churnPerMin:       0.01,
		startAbove:        1.40,
		stopBelow:         1.20,
		fillBelow:         0.50,
		fillTarget:        0.60,
		imbalanceDuration: 30 * time.Second,
		consecutiveViews:  5,
		moveCooldown:      2 * time.Minute,
		settlingTime:      15 * time.Second,
		isolateShare:      0.02,
		mergeAfter:        time.Minute,
		suspectAfter:      10 * time.Second,
		startWait:         5 * time.Second,
		moveTimeout:       10 * time.Second,
		maxBackoff:        5 * time.Minute,
	}
}

// Option changes a setting of a Policy.
type Option func(*settings)

// WithSeed sets the seed for the order in which the first assignment gives ranges to servers. Controllers of all cells
// may use the same seed.
func WithSeed(seed uint64) Option {
	return func(s *settings) { s.seed = seed }
}

// WithChurnBudget sets the share of all keys, 0 to 1, that rebalancing may move in any minute. Moves off servers that
// are lost or leaving do not count.
func WithChurnBudget(share float64) Option {
	return func(s *settings) { s.churnPerMin = share }
}

// WithThresholds sets the load, as a multiple of a server's fair load, above which rebalancing starts and below
// which it stops. Rebalancing also starts when a server above stop has more than 90 % of its load limit.
func WithThresholds(start, stop float64) Option {
	return func(s *settings) { s.startAbove, s.stopBelow = start, stop }
}

// WithFill sets the load, as a share of a server's fair load, below which rebalancing moves load to a server, and the
// share at which it stops.
func WithFill(start, stop float64) Option {
	return func(s *settings) { s.fillBelow, s.fillTarget = start, stop }
}

// WithImbalanceDuration sets how long an imbalance must last, and in how many consecutive views, before rebalancing
// starts.
func WithImbalanceDuration(hold time.Duration, views int) Option {
	return func(s *settings) { s.imbalanceDuration, s.consecutiveViews = hold, views }
}

// WithMoveCooldown sets how long a range stays with its owner after a move before rebalancing may move it again.
func WithMoveCooldown(d time.Duration) Option {
	return func(s *settings) { s.moveCooldown = d }
}

// WithSettlingTime sets how long loads reported for a range are ignored after a move, split or merge. It should exceed
// the time over which dispatchers average.
func WithSettlingTime(d time.Duration) Option {
	return func(s *settings) { s.settlingTime = d }
}

// WithHotPositions sets the share of a server's capacity above which a position becomes a range of its own, and how
// long it must stay below an eighth of that share before it is merged back.
func WithHotPositions(share float64, coolAfter time.Duration) Option {
	return func(s *settings) { s.isolateShare, s.mergeAfter = share, coolAfter }
}

// WithSuspectAfter sets how long a server must be suspect before its ranges are moved off it.
func WithSuspectAfter(d time.Duration) Option {
	return func(s *settings) { s.suspectAfter = d }
}

// WithStartWait sets how long the first assignment of a key space waits for servers that are not up yet.
func WithStartWait(d time.Duration) Option {
	return func(s *settings) { s.startWait = d }
}

// WithMoveTimeout sets the time after which a proposed rebalancing move that did not happen counts as failed, and the
// longest pause of rebalancing after repeated failures.
func WithMoveTimeout(timeout, backoffMax time.Duration) Option {
	return func(s *settings) { s.moveTimeout, s.maxBackoff = timeout, backoffMax }
}
