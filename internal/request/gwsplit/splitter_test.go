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

// splitCase is a case in testdata/loads.json.
type splitCase struct {
	Name  string               `json:"name"`
	Split []gw.WeightedService `json:"split"`
	// Near is the share of requests whose owner is in this host's region, by service that is divided by key.
	Near map[gw.ServiceName]float64 `json:"near"`
	// MaxRemote is the largest permitted share of requests that go to another region, MaxDeviation the largest permitted
	// difference in requests between a service and its share at any time.
	MaxRemote    float64 `json:"most-far"`
	MaxDeviation float64 `json:"most-off"`
}

// simulate sends requests and returns the share that went to another region and the largest difference in requests
// between a service and its share.
func simulate(l splitCase, requests int) (remote, deviation float64) {
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
				return gwsplit.AnyRegion
			case isNear:
				return gwsplit.OwnRegion
			default:
				return gwsplit.RemoteRegion
			}
		})
		sent[service]++
		if isNear, divided := near[service]; divided && !isNear {
			remote++
		}
		for _, part := range l.Split {
			share := float64(n) * float64(part.Weight) / float64(total)
			deviation = max(deviation, math.Abs(float64(sent[part.Service])-share))
		}
	}
	return remote / float64(requests), deviation
}

// Guards against bodies that go to another region although another service of the split could have taken them, and
// against services that deviate from their weights. Drawn by weight alone, a quarter of the requests of the first case
// would go to another region.
func TestSplitKeepsWeightsAndRegions(t *testing.T) {
	data, err := os.ReadFile("testdata/loads.json")
	require.NoError(t, err)
	var loads []splitCase
	require.NoError(t, json.Unmarshal(data, &loads))
	for _, l := range loads {
		t.Run(l.Name, func(t *testing.T) {
			remote, deviation := simulate(l, 20000)
			t.Logf("remote %.3f, deviation %.2f", remote, deviation)
			require.LessOrEqual(t, remote, l.MaxRemote)
			require.LessOrEqual(t, deviation, l.MaxDeviation)
		})
	}
}

// Guards against deficits under earlier weights that influence the choice under new ones.
func TestNewWeightsStartAnew(t *testing.T) {
	s := gwsplit.New()
	indifferent := func(gw.ServiceName) gwsplit.Preference { return gwsplit.AnyRegion }
	route := gw.Route{Name: "uploads", Split: []gw.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 9}}}
	for range 9 {
		s.Choose(route, indifferent)
	}
	route.Split = []gw.WeightedService{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}}
	require.Equal(t, gw.ServiceName("a"), s.Choose(route, indifferent))
}

// Guards against a route without split whose requests go to another service.
func TestRouteWithoutSplit(t *testing.T) {
	route := gw.Route{Name: "lookups", Service: "lookups"}
	require.Equal(t, gw.ServiceName("lookups"), gwsplit.New().Choose(route, nil))
	route.Split = []gw.WeightedService{{Service: "other", Weight: 0}}
	require.Equal(t, gw.ServiceName("lookups"), gwsplit.New().Choose(route, nil))
}
