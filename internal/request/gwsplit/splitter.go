// Package gwsplit chooses the service of each request of a route whose requests are split among services by weight.
//
// It answers uploads that are split between a service whose servers are all alike and one that is divided by key: drawn
// by weight alone, half of the bodies for the second go to owners in the other region, over a narrow link that is paid
// for by volume. The parts keep their weights, while each request goes where it suits better.
package gwsplit

import (
	"slices"
	"sync"

	gw "github.com/geraniumworks/geraniumworks"
)

// Preference says how well a service suits a request.
type Preference int

// Preferences, the better ones higher.
const (
	// Far means that the request would cross to another region, or has no server at the moment.
	Far Preference = -1
	// Indifferent means that the service has servers everywhere.
	Indifferent Preference = 0
	// Near means that the only server that may run the request is in the own region.
	Near Preference = 1
)

// slack is how many requests a preference outweighs. A part is off its share by at most slack+1 requests at each host,
// so that over 300 requests at a dozen hosts a part stays within a tenth of its share.
const slack = 1.0

// Splitter remembers for each route how far its parts are behind their shares. It is safe for concurrent use.
type Splitter struct {
	mu     sync.Mutex
	routes map[gw.RouteName]*parts
}

// parts are the services of one route.
type parts struct {
	weights []gw.WeightedService
	total   float64
	// owed is how many requests each part is behind its share; the sum is zero.
	owed []float64
}

// New returns a Splitter.
func New() *Splitter {
	return &Splitter{routes: map[gw.RouteName]*parts{}}
}

// Choose returns the service for the next request of a route, which is the route's own when it is not split. prefer is
// called once for each part with a weight.
func (s *Splitter) Choose(route gw.Route, prefer func(gw.ServiceName) Preference) gw.ServiceName {
	if !slices.ContainsFunc(route.Split, func(w gw.WeightedService) bool { return w.Weight > 0 }) {
		return route.Service
	}
	preferences := make([]Preference, len(route.Split))
	for i, part := range route.Split {
		if part.Weight > 0 {
			preferences[i] = prefer(part.Service)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.of(route).choose(preferences)
}

// of returns the parts of a route, which start anew when their weights change.
func (s *Splitter) of(route gw.Route) *parts {
	p, ok := s.routes[route.Name]
	if ok && slices.Equal(p.weights, route.Split) {
		return p
	}
	p = &parts{weights: route.Split, owed: make([]float64, len(route.Split))}
	for _, part := range route.Split {
		p.total += float64(max(part.Weight, 0))
	}
	s.routes[route.Name] = p
	return p
}

// choose takes the part with the highest debt, to which the preference counts as slack requests.
func (p *parts) choose(preferences []Preference) gw.ServiceName {
	best := -1
	highest := 0.0
	for i, part := range p.weights {
		if part.Weight <= 0 {
			continue
		}
		p.owed[i] += float64(part.Weight) / p.total
		if value := p.owed[i] + slack*float64(preferences[i]); best < 0 || value > highest {
			best, highest = i, value
		}
	}
	p.owed[best]--
	return p.weights[best].Service
}
