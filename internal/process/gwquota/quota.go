// Package gwquota limits the requests of a tenant over all hosts together. One host at a time coordinates a tenant: it
// keeps the tenant's token bucket and lends tokens to the hosts that its requests arrive at.
package gwquota

import (
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// What is run in any 5 s is at most the tokens in the bucket, those on loan, and what accrues. With q the rate and b
// the burst that is (b + 0.05 q + 10) + loanLife * q + 5 q = 5.3 q + b + 10. The rule permits 5.5 q + 1.1 b + 20. The
// difference covers requests that wait for a server after admission.
const (
	// loanLife is how long a host may use tokens, counted from when it asked for them.
	loanLife = 250 * time.Millisecond
	// extraDepth and extraDepthSeconds deepen the bucket beyond the burst, so that delayed messages cost a tenant at its
	// quota nothing.
	extraDepth        = 10
	extraDepthSeconds = 0.05
	// grace is how long a new coordinator lends nothing when the one before has not handed over. It is longer than the
	// time in which that one notices a cut (silence, plus one tick) and its last loans end.
	grace = 1500 * time.Millisecond
	// tickInterval is the time between checks of contact with other data centres.
	tickInterval = 250 * time.Millisecond
	// frozenAfter is a gap between two ticks after which other hosts may have replaced this one as coordinator.
	frozenAfter = 900 * time.Millisecond
	// checkAfter is how long a data centre may be silent before a coordinator checks that it can be reached.
	checkAfter = 400 * time.Millisecond
	// checkTimeout and silence together establish that a data centre cannot be reached.
	checkTimeout = 400 * time.Millisecond
	silence      = 800 * time.Millisecond
	// returnAfter is how long a data centre must be in contact again before its share is lent, so that a coordinator that
	// has stood in there has noticed too.
	returnAfter = time.Second
	// standInMemory is how long a request for tokens proves that its data centre cannot reach an earlier coordinator.
	standInMemory = 3 * time.Second
	// aloneShare is what a host counts that has lost contact with the others of its data centre, which count it too.
	aloneShare = 0.2
	// activeFor is how long after its last request for tokens a tenant counts as active.
	activeFor = 5 * time.Second
	// lostRetention is how long a host counts that has vanished from the host list without leaving. It may be cut off and
	// run on; regions lose contact for up to an hour.
	lostRetention = time.Hour
	// matureAfter is how long a host is listed before it coordinates, so that all hosts know it by then.
	matureAfter = 2 * time.Second
	// maxRank limits how far down its order a tenant's coordinator is looked for.
	maxRank = 8
	// maxAsks limits the entries of a message that are answered, maxTokens the tokens that one entry may ask for.
	maxAsks   = 1024
	maxTokens = 1 << 16
	// maxIdle limits the milliseconds for which a host says that it has lent nothing.
	maxIdle = 1 << 30
	// minWait and maxWait limit what a host is told to wait before it asks again, during which it refuses requests.
	minWait = 20 * time.Millisecond
	maxWait = 250 * time.Millisecond
	// startWait is what hosts are told to wait while this one has just started and lends nothing yet. All hosts ask at the
	// same time then, and each has little processor time beside its callers.
	startWait = 200 * time.Millisecond
	// startPeriod is how long after its start a host counts as just started.
	startPeriod = matureAfter + grace
	// claimTimeout limits the wait for the answer to a claim, which is as good when it is late.
	claimTimeout = time.Second
	// claimInterval is the time after which a claim that was not answered is sent again: the host may have been down.
	claimInterval = 2 * tickInterval
	// creditTime limits for how much of the time in which no host has lent a new coordinator begins with tokens.
	creditTime = time.Second
	// missingTime is the time constant of the demand that was not met, from which the wait follows.
	missingTime = 500 * time.Millisecond
)

// depth returns how many tokens the bucket of a tenant holds.
func depth(t gw.Tenant) float64 {
	return max(t.QuotaBurst, 0) + extraDepthSeconds*t.QuotaPerSecond + extraDepth
}

// clamp returns n, or the nearest number from 0 to high.
func clamp(n, high int) int {
	return min(max(n, 0), high)
}
