package gwdispatch

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// timeUnit is the resolution of the histograms, timeUnits the longest time they hold (60 s).
	timeUnit  = 10 * time.Microsecond
	timeUnits = 6_000_000
	// rotateAfter is the length of a histogram's time; samples are dropped after one to two of them. With 5 s, a server
	// that was slow is judged by new samples after 10 s at most.
	rotateAfter = 5 * time.Second
	// refreshAfter bounds how often quantiles are computed, which takes about 10 µs.
	refreshAfter = 100 * time.Millisecond
	// minSamples is how many answers are needed for an estimate.
	minSamples = 8
)

// timeSummary summarises recent service times. It is zero when there are fewer than minSamples.
type timeSummary struct {
	Samples        int64
	Mean, P50, P90 time.Duration
	// MinRemaining is the least time that a request must have left to be worth a slot for which others wait.
	MinRemaining     time.Duration
	computedAt       time.Time
	samplesAtCompute int64
}

// serviceTimes holds the service times of the last 5 to 10 seconds.
type serviceTimes struct {
	current, previous, merged *hdrhistogram.Histogram
	rotatedAt                 time.Time
	cached                    timeSummary
}

func newServiceTimes() *serviceTimes {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, timeUnits, 1) }
	return &serviceTimes{current: h(), previous: h(), merged: h()}
}

func (t *serviceTimes) record(now time.Time, d time.Duration) {
	t.rotate(now)
	// RecordValue fails only for values out of range, which the bounds here rule out.
	_ = t.current.RecordValue(min(max(int64(d/timeUnit), 1), timeUnits))
}

func (t *serviceTimes) rotate(now time.Time) {
	age := now.Sub(t.rotatedAt)
	if age < rotateAfter {
		return
	}
	t.current, t.previous = t.previous, t.current
	t.current.Reset()
	if age >= 2*rotateAfter {
		t.previous.Reset()
	}
	t.rotatedAt = now
}

func (t *serviceTimes) estimate(now time.Time) timeSummary {
	t.rotate(now)
	samples := t.current.TotalCount() + t.previous.TotalCount()
	if samples < minSamples {
		return timeSummary{}
	}
	if age := now.Sub(t.cached.computedAt); t.cached.Samples > 0 &&
		(age < refreshAfter || samples == t.cached.samplesAtCompute && age < rotateAfter) {
		return t.cached
	}
	t.merged.Reset()
	t.merged.Merge(t.current)
	t.merged.Merge(t.previous)
	at := t.merged.ValueAtPercentilesSlice([]float64{50, 90})
	t.cached = timeSummary{
		Samples:      samples,
		Mean:         time.Duration(t.merged.Mean() * float64(timeUnit)),
		P50:          time.Duration(at[0]) * timeUnit,
		P90:          time.Duration(at[1]) * timeUnit,
		MinRemaining: time.Duration(minRemaining(t.merged, at[0])) * timeUnit,
		computedAt:   now, samplesAtCompute: samples,
	}
	return t.cached
}

// minYield is the least number of answers per time in a slot that a request must be expected to yield, as a share of
// the number without deadlines. At 0.95 a slot loses at most 5% of its answers to requests that run out of time.
const minYield = 0.95

// minRemaining returns the least remaining time r, from the median up, with which a request yields about as many
// answers per time in a slot as one without a deadline: P(S <= r) / E[min(S, r)] against 1 / E[S], with S the service
// time. For exponential times that is the median, since cutting off a request wastes nothing there. The more regular
// the times are, the closer the result is to their maximum.
func minRemaining(h *hdrhistogram.Histogram, median int64) int64 {
	total, mean := float64(h.TotalCount()), h.Mean()
	answered, spent := 0.0, 0.0
	for _, bar := range h.Distribution() {
		answered += float64(bar.Count)
		spent += float64(bar.Count) * float64(bar.From+bar.To) / 2
		left := float64(bar.To)
		if bar.To >= median && answered/(spent+left*(total-answered)) >= minYield/mean {
			return bar.To
		}
	}
	return h.Max()
}
