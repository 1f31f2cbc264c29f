package gwsplit_test

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwsplit"
)

// load is a case in testdata/loads.json.
type load struct {
	Name  string               `json:"name"`
	Split []gw.WeightedService `json:"split"`
	// Near is the share of requests whose key is near, by service that is divided by key.
	Near map[gw.ServiceName]float64 `json:"near"`
	// MostFar bounds the share of all requests that cross to another region, MostOff by how many requests any part may
	// be off its share at any moment.
	MostFar float64 `json:"most-far"`
	MostOff float64 `json:"most-off"`
}

// play sends requests and returns the share that crossed and the largest distance of a part from its share.
func play(l load, requests int) (far, off float64) {
	random := rand.New(rand.NewPCG(1, 2))
	route := gw.Route{Name: "uploads", Service: "archive", Split: l.Split}
	total := 0
	for _, part := range l.Split {
		total += part.Weight
	}
	s := gwsplit.New()
	sent := map[gw.ServiceName]int{}
	for n := 1; n <= requests; n++ {
		near := map[gw.ServiceName]bool{}
		for service, share := range l.Near {
			near[service] = random.Float64() < share
		}
		service := s.Choose(route, func(name gw.ServiceName) gwsplit.Preference {
			switch isNear, divided := near[name]; {
			case !divided:
				return gwsplit.Indifferent
			case isNear:
				return gwsplit.Near
			default:
				return gwsplit.Far
			}
		})
		sent[service]++
		if isNear, divided := near[service]; divided && !isNear {
			far++
		}
		for _, part := range l.Split {
			share := float64(n) * float64(part.Weight) / float64(total)
			off = max(off, math.Abs(float64(sent[part.Service])-share))
		}
	}
	return far / float64(requests), off
}

// Guards against bodies that cross to another region although another part of the split could have taken them (drawn by
// weight alone, a quarter of the first load does), and against parts that leave their weights for it.
func TestSplitKeepsWeightsAndRegions(t *testing.T) {
	data, err := os.ReadFile("testdata/loads.json")
	require.NoError(t, err)
	var loads []load
	require.NoError(t, json.Unmarshal(data, &loads))
	for _, l := range loads {
		t.Run(l.Name, func(t *testing.T) {
			far, off := play(l, 20000)
			t.Logf("far %.3f, off %.2f", far, off)
			require.LessOrEqual(t, far, l.MostFar)
			require.LessOrEqual(t, off, l.MostOff)
		})
	}
}

// Guards against a debt of earlier weights that is paid under new ones.
func TestNewWeightsStartAnew(t *testing.T) {
	s := gwsplit.New()
	indifferent := func(gw.ServiceName) gwsplit.Preference { return gwsplit.Indifferent }
	route := gw.Route{Name: "uploads", Split: []gw.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 9}}}
	for range 9 {
		s.Choose(route, indifferent)
	}
	route.Split = []gw.WeightedService{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}}
	require.Equal(t, gw.ServiceName("a"), s.Choose(route, indifferent))
}

// Guards against a route without split that gets another service.
func TestRouteWithoutSplit(t *testing.T) {
	route := gw.Route{Name: "lookups", Service: "lookups"}
	require.Equal(t, gw.ServiceName("lookups"), gwsplit.New().Choose(route, nil))
	route.Split = []gw.WeightedService{{Service: "other", Weight: 0}}
	require.Equal(t, gw.ServiceName("lookups"), gwsplit.New().Choose(route, nil))
}
