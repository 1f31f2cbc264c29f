package gwdispatch

import (
	"math"
	"slices"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

const (
	// rateWindow is the time constant of all rates, the "about ten seconds" of gw.DispatchedServer.
	rateWindow = 10 * time.Second
	// maxHot bounds the hot positions per server; 73 is the number of hot keys in the requirements.
	maxHot = 73
	// rescaleAfter keeps the weight of a new request below e^40, so that float64 sums keep their precision.
	rescaleAfter = 40 * rateWindow
)

// rates smooths the rates of a server, of its ranges and of its hottest positions exponentially.
//
// Instead of decaying every counter, the weight of a new request grows: exp(t/window). A rate is a counter
// divided by the current weight. Hot positions are kept by the space-saving algorithm (Metwally, Agrawal and
// El Abbadi, 2005) on the same weights: every position with more than 1/73 of the recent load is in the table.
type rates struct {
	origin      time.Time
	total       float64
	rangeStarts []gw.Position
	rangeTotals []float64
	// cachedWeight is the weight of a request at cachedAt.
	cachedWeight float64
	cachedAt     time.Time
	hot          []hotCounter
	hotIndex     map[gw.Position]int
}

type hotCounter struct {
	position gw.Position
	count    float64
	// maxError is how much count may be too high: the count of the position that this one replaced.
	maxError float64
}

// weight returns the weight of a request now. It is computed at most every 10 ms, in which it grows by 0.1%.
func (s *rates) weight(now time.Time) float64 {
	if s.cachedWeight > 0 && now.Sub(s.cachedAt) < rateWindow/1000 {
		return s.cachedWeight
	}
	age := now.Sub(s.origin)
	if age > rescaleAfter {
		s.rescale(math.Exp(-age.Seconds() / rateWindow.Seconds()))
		s.origin, age = now, 0
	}
	s.cachedWeight, s.cachedAt = math.Exp(age.Seconds()/rateWindow.Seconds()), now
	return s.cachedWeight
}

func (s *rates) rescale(factor float64) {
	s.total *= factor
	for i := range s.rangeTotals {
		s.rangeTotals[i] *= factor
	}
	for i := range s.hot {
		s.hot[i].count *= factor
		s.hot[i].maxError *= factor
	}
}

// setRanges replaces the ranges that are counted. A range with the same first position keeps its rate.
func (s *rates) setRanges(granted []gw.GrantedRange) {
	old := make(map[gw.Position]float64, len(s.rangeStarts))
	for i, first := range s.rangeStarts {
		old[first] = s.rangeTotals[i]
	}
	s.rangeStarts = make([]gw.Position, len(granted))
	s.rangeTotals = make([]float64, len(granted))
	for i, g := range granted {
		s.rangeStarts[i] = g.First
		s.rangeTotals[i] = old[g.First]
	}
}

// add counts a request; rangeIndex is negative for one without a key.
func (s *rates) add(now time.Time, rangeIndex int, p gw.Position) {
	w := s.weight(now)
	s.total += w
	if rangeIndex < 0 {
		return
	}
	s.rangeTotals[rangeIndex] += w
	if i, ok := s.hotIndex[p]; ok {
		s.hot[i].count += w
		return
	}
	if s.hotIndex == nil {
		s.hotIndex = make(map[gw.Position]int, maxHot)
	}
	if len(s.hot) < maxHot {
		s.hotIndex[p] = len(s.hot)
		s.hot = append(s.hot, hotCounter{position: p, count: w})
		return
	}
	least := 0
	for i := range s.hot {
		if s.hot[i].count < s.hot[least].count {
			least = i
		}
	}
	delete(s.hotIndex, s.hot[least].position)
	s.hotIndex[p] = least
	s.hot[least] = hotCounter{position: p, count: s.hot[least].count + w, maxError: s.hot[least].count}
}

// perSecond converts a counter to a rate, rounded to two decimals to keep the status small.
func perSecond(counter, weight float64) float64 {
	return math.Round(100*counter/weight/rateWindow.Seconds()) / 100
}

func (s *rates) report(now time.Time, out *gw.DispatchedServer) {
	w := s.weight(now)
	out.RequestsPerSecond = perSecond(s.total, w)
	for i, first := range s.rangeStarts {
		if rate := perSecond(s.rangeTotals[i], w); rate > 0 {
			if out.RangeLoads == nil {
				out.RangeLoads = make(map[gw.Position]float64, len(s.rangeStarts))
			}
			out.RangeLoads[first] = rate
		}
	}
	for _, h := range s.hot {
		// Only positions that certainly exceed the smallest share that the table can resolve are worth their bytes.
		if sure := h.count - h.maxError; sure > s.total/maxHot && perSecond(sure, w) > 0 {
			out.Hot = append(out.Hot, gw.HotPosition{Position: h.position, RequestsPerSecond: perSecond(sure, w)})
		}
	}
	slices.SortFunc(out.Hot, func(a, b gw.HotPosition) int {
		if a.RequestsPerSecond != b.RequestsPerSecond {
			if a.RequestsPerSecond > b.RequestsPerSecond {
				return -1
			}
			return 1
		}
		if a.Position < b.Position {
			return -1
		}
		return 1
	})
}
