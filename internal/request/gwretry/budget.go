package gwretry

// budget is a token bucket that is filled by requests instead of time, so that extra attempts stay a share of the
// requests at any rate: for n requests there are at most percent of n plus the burst extra attempts.
type budget struct {
	// hundredths is the balance in hundredths of an extra attempt. It is an integer, so that rounding loses nothing.
	hundredths int
}

// attemptCost is the cost of one extra attempt in hundredths.
const attemptCost = 100

// newBudget returns a budget that holds a whole burst of extra attempts.
func newBudget(burst int) budget {
	return budget{hundredths: burst * attemptCost}
}

// deposit adds the share of one request, up to a burst of extra attempts.
func (b *budget) deposit(percent, burst int) {
	b.hundredths = min(burst*attemptCost, b.hundredths+percent)
}

// take removes the cost of one extra attempt. It reports false when the balance is too low or percent permits none. A
// balance above the burst was saved when fewer hosts shared it, and is lost.
func (b *budget) take(percent, burst int) bool {
	b.hundredths = min(burst*attemptCost, b.hundredths)
	if percent <= 0 || b.hundredths < attemptCost {
		return false
	}
	b.hundredths -= attemptCost
	return true
}
