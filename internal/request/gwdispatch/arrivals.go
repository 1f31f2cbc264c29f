package gwdispatch

import (
	"math/rand/v2"

	gw "github.com/geraniumworks/geraniumworks"
)

// maxPositions bounds the positions in a status. At 300 ms between statuses that is every request up to 200 a second.
const maxPositions = 64

// arrivals holds the positions of the requests since the last status, a uniform sample of them when there are many.
type arrivals struct {
	count     int64
	positions []gw.Position
}

func (a *arrivals) add(p gw.Position) {
	a.count++
	if len(a.positions) < maxPositions {
		a.positions = append(a.positions, p)
		return
	}
	// Reservoir sampling (Vitter, 1985).
	if i := rand.Int64N(a.count); i < maxPositions {
		a.positions[i] = p
	}
}

// take returns the count and the sample, and starts again.
func (a *arrivals) take() (int64, []gw.Position) {
	count, positions := a.count, a.positions
	*a = arrivals{}
	return count, positions
}
