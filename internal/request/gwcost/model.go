// Package gwcost estimates how long requests occupy a slot of a backend server: the base cost of the request's class,
// learned over all servers of a service that this host dispatches for, times the slowness of the server.
package gwcost

import (
	"math"
	"sync"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

const (
	// maxClasses bounds the memory of a model. Beyond it the class that was observed longest ago is dropped.
	maxClasses = 256
	// memory is the time constant with which observations lose their weight, so that changed costs are followed within
	// some seconds.
	memory = 4 * time.Second
	// maxGain bounds the influence of one observation once a class or a server has had some.
	maxGain = 0.25
	// minGain keeps a class with very many observations from reacting slowly.
	minGain = 1.0 / 64
	// clip bounds, as a logarithm, how far an observation may lie from the estimate. Single requests have 5 to 7 times
	// the usual work.
	clip = 1.4
	// priorSamples is the weight of the service's mean in the estimate of a class with few observations.
	priorSamples = 2
)

// Estimate is the expected time of a request in a slot. It is zero while nothing has been observed.
type Estimate struct {
	// Typical is the base cost times the slowness, to which the distribution of observed / expected cost relates. Mean is
	// the expected time, Median the time that half of such requests take at most, and High the one that 85% take at most.
	Typical, Mean, Median, High time.Duration
}

// Known reports whether there is an estimate.
func (e Estimate) Known() bool {
	return e.Typical > 0
}

// average is a mean of recent observations. Costs are averaged as logarithms: this limits the influence of single
// costly requests, and keeps base costs and slownesses, which are multiplied, consistent with each other.
type average struct {
	value float64
	// weight counts recent observations, total all of them up to a bound.
	weight, total float64
	at            time.Time
}

// gain returns the share of a new observation in the mean, and counts the observation.
func (a *average) gain(now time.Time) float64 {
	a.weight = a.weight*math.Exp(-max(now.Sub(a.at), 0).Seconds()/memory.Seconds()) + 1
	a.total = min(a.total+1, 1/minGain)
	a.at = now
	if a.total < 1/maxGain {
		return 1 / a.total
	}
	return min(max(1/a.weight, minGain), maxGain)
}

func (a *average) add(now time.Time, value float64) {
	if a.total > 0 {
		value = min(max(value, a.value-clip), a.value+clip)
	}
	a.value += a.gain(now) * (value - a.value)
}

// class is the base cost of a class, with the sums of expected and observed costs in seconds.
type class struct {
	average
	expected, observed float64
}

// Model learns the base costs of the classes of a service and the distribution of observed / expected
// cost. It is safe for concurrent use by the states of several servers.
//
// The load that it addresses: routes of different cost on the same servers, and requests of one route that differ by a
// factor of 5. A single histogram of service times makes cheap requests look late and costly ones on time.
type Model struct {
	mu      sync.Mutex
	classes map[gw.CostClass]*class
	service average
	ratios  ratios
}

// NewModel returns a model without observations.
func NewModel() *Model {
	return &Model{classes: make(map[gw.CostClass]*class)}
}

// base returns the base cost of a class in seconds, zero when nothing has been observed.
func (m *Model) base(name gw.CostClass) float64 {
	if m.service.total == 0 {
		return 0
	}
	c := m.classes[name]
	if c == nil {
		return math.Exp(m.service.value)
	}
	return math.Exp((c.value*c.total + m.service.value*priorSamples) / (c.total + priorSamples))
}

// observe learns from a request, for which there was an estimate at its start, the base cost that follows from it.
func (m *Model) observe(now time.Time, name gw.CostClass, est Estimate, took time.Duration, base float64) {
	c := m.classes[name]
	if c == nil {
		m.makeRoom()
		c = &class{}
		m.classes[name] = c
	}
	if est.Known() {
		c.expected += est.Mean.Seconds()
		c.observed += took.Seconds()
		m.ratios.add(now, float64(took)/float64(est.Typical))
	}
	c.add(now, math.Log(base))
	m.service.add(now, math.Log(base))
}

// makeRoom drops the class that was observed longest ago when there are too many.
func (m *Model) makeRoom() {
	if len(m.classes) < maxClasses {
		return
	}
	var oldest gw.CostClass
	found := false
	for name, c := range m.classes {
		if !found || c.at.Before(m.classes[oldest].at) {
			oldest, found = name, true
		}
	}
	delete(m.classes, oldest)
}

// Total has the sums of expected and observed costs of the requests of a class.
type Total struct {
	Class              gw.CostClass
	Expected, Observed time.Duration
}

// Totals returns the sums of the classes since each was first observed.
func (m *Model) Totals() []Total {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Total, 0, len(m.classes))
	for name, c := range m.classes {
		out = append(out, Total{Class: name, Expected: seconds(c.expected), Observed: seconds(c.observed)})
	}
	return out
}

// Base returns the base cost of a class, and whether the class itself has been observed.
func (m *Model) Base(name gw.CostClass) (cost time.Duration, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, known = m.classes[name]
	return seconds(m.base(name)), known
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
