// Package gwsplit chooses the service of each request of a route whose requests are split among services by weight.
//
// It is made for uploads that are split between a service with interchangeable servers and a service divided by key. If
// the service were drawn by weight alone, half of the bodies for the second one would go to owners in the other region,
// over a narrow link that is paid for by volume. The Splitter keeps the weights, but sends each request to the service
// that suits it better.
package gwsplit

import (
	"slices"
	"sync"

	gw "github.com/geraniumworks/geraniumworks"
)

// Preference rates how well a service suits a request.
type Preference int

// Preferences. A higher one is better.
const (
	// RemoteRegion means that the request would go to another region, or that no server is available at the moment.
	RemoteRegion Preference = -1
	// AnyRegion means that the service has servers in every region.
	AnyRegion Preference = 0
	// OwnRegion means that the only server that may run the request is in the region of this host.
	OwnRegion Preference = 1
)

// preferenceWeight is the number of requests that a preference outweighs. At each host a service deviates from its
// share by at most preferenceWeight+1 requests, so that over 300 requests at a dozen hosts it stays within a tenth of
// its share.
const preferenceWeight = 1.0

// Splitter records for each route how many requests its services are behind their shares. It is safe for concurrent
// use.
type Splitter struct {
	mu     sync.Mutex
	routes map[gw.RouteName]*routeParts
}

// routeParts is the state of the split of one route. A part is one of the services.
type routeParts struct {
	weights []gw.WeightedService
	total   float64
	// deficits holds the number of requests by which each part is behind its share. Their sum is zero.
	deficits []float64
}

// New returns a Splitter.
func New() *Splitter {
	return &Splitter{routes: map[gw.RouteName]*routeParts{}}
}

// Choose returns the service for the next request of a route. For a route that is not split it returns the service of
// the route. prefer is called once for each service with a positive weight.
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
	return s.partsOf(route).choose(preferences)
}

// partsOf returns the state of the split of a route. It is reset when the weights change.
func (s *Splitter) partsOf(route gw.Route) *routeParts {
	p, ok := s.routes[route.Name]
	if ok && slices.Equal(p.weights, route.Split) {
		return p
	}
	p = &routeParts{weights: route.Split, deficits: make([]float64, len(route.Split))}
	for _, part := range route.Split {
		p.total += float64(max(part.Weight, 0))
	}
	s.routes[route.Name] = p
	return p
}

// choose returns the service with the largest sum of its deficit and its weighted preference.
func (p *routeParts) choose(preferences []Preference) gw.ServiceName {
	best := -1
	highest := 0.0
	for i, part := range p.weights {
		if part.Weight <= 0 {
			continue
		}
		p.deficits[i] += float64(part.Weight) / p.total
		if value := p.deficits[i] + preferenceWeight*float64(preferences[i]); best < 0 || value > highest {
			best, highest = i, value
		}
	}
	p.deficits[best]--
	return p.weights[best].Service
}
