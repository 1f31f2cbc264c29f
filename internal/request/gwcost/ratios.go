package gwcost

import (
	"math"
	"time"
)

const (
	// ratioBuckets cover ratios from 1/16 to 16, with ratioSteps for each doubling: a resolution of 9%.
	ratioSteps   = 8
	ratioBuckets = 8*ratioSteps + 1
	ratioOffset  = 4 * ratioSteps
	// ratioDecay is the time constant with which ratios lose their weight.
	ratioDecay = 5 * time.Second
	// highQuantile is the share of requests that take no longer than Estimate.High. With the median, the queue under
	// overload grows until about half of the answers are late.
	highQuantile = 0.85
	// refreshAfter bounds how often quantiles are computed.
	refreshAfter = 50 * time.Millisecond
)

// priorRatios are counted in addition to the observations. They stand for log-normal costs with a sigma of 0.5.
var priorRatios = [...]float64{0.5, 0.65, 0.75, 0.85, 0.95, 1.1, 1.3, 1.7}

// ratios is the distribution of observed / expected cost, with logarithmic buckets that decay.
type ratios struct {
	counts     [ratioBuckets]float64
	decayedAt  time.Time
	cached     ratioSummary
	computedAt time.Time
}

type ratioSummary struct {
	mean, median, high float64
}

func bucketOf(ratio float64) int {
	return min(max(int(math.Round(math.Log2(ratio)*ratioSteps))+ratioOffset, 0), ratioBuckets-1)
}

func (r *ratios) add(now time.Time, ratio float64) {
	if age := now.Sub(r.decayedAt); age >= refreshAfter {
		factor := math.Exp(-age.Seconds() / ratioDecay.Seconds())
		for i := range r.counts {
			r.counts[i] *= factor
		}
		r.decayedAt = now
	}
	r.counts[bucketOf(ratio)]++
}

func valueOf(bucket int) float64 {
	return math.Exp2(float64(bucket-ratioOffset) / ratioSteps)
}

// summary returns the mean, the median and the high quantile.
func (r *ratios) summary(now time.Time) ratioSummary {
	if r.cached.high > 0 && now.Sub(r.computedAt) < refreshAfter {
		return r.cached
	}
	counts := r.counts
	for _, ratio := range priorRatios {
		counts[bucketOf(ratio)]++
	}
	total, sum := 0.0, 0.0
	for i, n := range counts {
		total += n
		sum += n * valueOf(i)
	}
	out := ratioSummary{mean: sum / total}
	below := 0.0
	for i, n := range counts {
		below += n
		if out.median == 0 && below >= 0.5*total {
			out.median = valueOf(i)
		}
		if out.high == 0 && below >= highQuantile*total {
			out.high = valueOf(i)
		}
	}
	r.cached, r.computedAt = out, now
	return out
}

// residual returns the mean of what is left of a request that has taken elapsed times its expected cost.
func (r *ratios) residual(elapsed float64) float64 {
	sum, total := 0.0, 0.0
	for i, n := range r.counts {
		if value := valueOf(i); value > elapsed {
			sum += n * (value - elapsed)
			total += n
		}
	}
	if total < 1 {
		// Too few requests took longer for an estimate.
		if elapsed > hangRatio {
			return elapsed
		}
		return minResidual
	}
	return sum / total
}

const (
	// minResidual is the residual of a request that takes longer than recent ones, as a share of its typical cost.
	minResidual = 1.0
	// hangRatio is the multiple of the typical cost from which on such a request seems to hang, and is expected to take as
	// long again. Single requests have 5 to 7 times the usual work.
	hangRatio = 8
)
