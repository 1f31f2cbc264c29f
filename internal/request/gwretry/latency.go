package gwretry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// The quantile covers the last latencyWindows windows of length latencyWindow.
	latencyWindows = 3
	latencyWindow  = 10 * time.Second
	// maxLatency is the upper bound of the histogram. Longer latencies are recorded with this value.
	maxLatency = time.Minute
	// minSamples is the number of answers from which on a quantile is reliable enough for hedges.
	minSamples = 100
	// quantileTTL is how long a calculated quantile is cached.
	quantileTTL = 250 * time.Millisecond
)

// latencyTracker records the recent latencies of one service in microseconds.
type latencyTracker struct {
	histogram    *hdrhistogram.WindowedHistogram
	nextRotation time.Time
	// cached is the last calculated quantile, valid until cachedUntil. It is zero when there are too few samples.
	cached      time.Duration
	cachedUntil time.Time
}

func newLatencyTracker(now time.Time) *latencyTracker {
	return &latencyTracker{
		histogram:    hdrhistogram.NewWindowed(latencyWindows, 1, maxLatency.Microseconds(), 2),
		nextRotation: now.Add(latencyWindow),
	}
}

func (l *latencyTracker) observe(now time.Time, d time.Duration) {
	for range latencyWindows {
		if now.Before(l.nextRotation) {
			break
		}
		l.histogram.Rotate()
		l.nextRotation = l.nextRotation.Add(latencyWindow)
	}
	if !now.Before(l.nextRotation) {
		l.nextRotation = now.Add(latencyWindow)
	}
	// The value is within the bounds of the histogram, so RecordValue cannot fail.
	_ = l.histogram.Current.RecordValue(min(max(d.Microseconds(), 1), maxLatency.Microseconds()))
}

// quantile returns the latency at the quantile given in percent, zero while there are too few samples.
func (l *latencyTracker) quantile(now time.Time, percent float64) time.Duration {
	if now.Before(l.cachedUntil) {
		return l.cached
	}
	l.cachedUntil, l.cached = now.Add(quantileTTL), 0
	if merged := l.histogram.Merge(); merged.TotalCount() >= minSamples {
		l.cached = time.Duration(merged.ValueAtQuantile(percent)) * time.Microsecond
	}
	return l.cached
}
