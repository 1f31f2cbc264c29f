package gwdispatch

import (
	"math/rand/v2"

	gw "github.com/geraniumworks/geraniumworks"
)

// maxPositions bounds the positions in a status. With a status every 300 ms it covers every request up to about 200
// requests per second.
const maxPositions = 64

// arrivals counts the requests since the last status and keeps their positions, or a uniform sample of maxPositions.
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

// take returns the count and the sample, and resets both.
func (a *arrivals) take() (int64, []gw.Position) {
	count, positions := a.count, a.positions
	*a = arrivals{}
	return count, positions
}
