package geraniumworks_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// Guards against work for others that goes to a host with a slow link because it has cores, or the other way round.
func TestWeightIsThatOfTheScarcerResource(t *testing.T) {
	for _, c := range []struct{ cores, link, weight float64 }{
		{0.16, 10, 2}, {0.8, 200, 72}, {0.32, 1000, 24}, {0.5, 0, 42}, {0, 30, 22}, {0, 0, 100}, {0.05, 5, 1},
	} {
		require.InDelta(t, c.weight, gw.HostEntry{Cores: c.cores, LinkMegabits: c.link}.Weight(), 1e-9)
	}
}
