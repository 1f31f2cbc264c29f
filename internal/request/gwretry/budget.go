package gwretry

// budget is a token bucket that is filled by requests instead of time, so that extra attempts stay a share of the
// requests at any rate: for n requests there are at most percent of n plus burst extra attempts.
type budget struct {
	// hundredths is the balance in hundredths of an extra attempt. It is an integer, so that rounding loses nothing.
	hundredths int
	burst      int
}

// attemptCost is the cost of one extra attempt in hundredths.
const attemptCost = 100

func newBudget(burst int) budget {
	return budget{hundredths: burst * attemptCost, burst: burst * attemptCost}
}

// deposit adds the share of one request.
func (b *budget) deposit(percent int) {
	b.hundredths = min(b.burst, b.hundredths+percent)
}

// take removes the cost of one extra attempt. It reports false when the balance is too low or percent permits none.
func (b *budget) take(percent int) bool {
	if percent <= 0 || b.hundredths < attemptCost {
		return false
	}
	b.hundredths -= attemptCost
	return true
}
