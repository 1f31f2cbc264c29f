package geraniumworks_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// Guards against work for others that goes to a host with a slow link because it has cores, or the other way round.
func TestWeightIsThatOfTheScarcerResource(t *testing.T) {
	for _, c := range []struct{ cores, link, weight float64 }{
		{0.16, 10, 10}, {0.8, 200, 80}, {0.32, 1000, 32}, {0.5, 0, 50}, {0, 30, 30}, {0, 0, 100},
	} {
		require.InDelta(t, c.weight, gw.HostEntry{Cores: c.cores, LinkMegabits: c.link}.Weight(), 1e-9)
	}
}
