package gwchoice

import (
	"math"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

const (
	// reportDecay is the time constant with which a reported wait loses its weight against the mean of the service. The
	// speed of a machine lasts for about as long.
	reportDecay = 400 * time.Millisecond
	// meanGain is the least weight of a sample in the smoothed service time and wait of a service.
	meanGain = 1.0 / 32
	// slownessGain is the least weight of a sample in the slowness of a server. Machines are slow for 400 ms at a time, so
	// that a higher gain would follow the moment and not the server.
	slownessGain = 1.0 / 8
	// maxSlownessStep bounds the logarithm of a sample against what was expected, so that one outlier changes the slowness
	// by a factor of at most exp(maxSlownessStep / (1 + slownessPrior)).
	maxSlownessStep = 1.0
	// slownessPrior is the number of samples that the initial slowness of 1 counts.
	slownessPrior = 2
	// maxLogSlowness bounds the slowness to a factor of about 20.
	maxLogSlowness = 3.0
)

// workModel estimates how long a request waits and runs at each server of a service, from the reports of dispatchers.
// It addresses a load of requests of unequal cost at servers of unequal and changing speed, of which each of many entry
// hosts sees a small part. All times are in seconds. Its methods take the time and have no side effects elsewhere.
type workModel struct {
	servers map[gw.ServerName]*serverWork
	// logService is the logarithm of the smoothed time at a server of slowness 1, from samples samples.
	logService float64
	samples    int
	// near and far are the mean waits of requests in this region and elsewhere.
	near, far meanWait
	// large is the smoothed share of answers above largeBytes.
	large float64
}

// serverWork is what is known about one server. The zero value is a server that was never used.
type serverWork struct {
	logSlowness float64
	samples     int
	// wait was reported at waitAt, zero when there was no report.
	wait   float64
	waitAt time.Time
	usedAt time.Time
}

// meanWait is the smoothed wait of requests.
type meanWait struct {
	seconds float64
	samples int
}

func (m *meanWait) add(seconds float64) {
	m.samples++
	m.seconds += (seconds - m.seconds) * gain(m.samples, meanGain)
}

func gain(samples int, least float64) float64 {
	return max(1/float64(samples), least)
}

// Report is what this host has learned about a server from an attempt.
type Report struct {
	// Wait is the expected wait of a further request, valid when HasWait is true.
	Wait    time.Duration
	HasWait bool
	// Served is how long the request was at the server, zero when it was refused; Took is how long the attempt took.
	Served, Took time.Duration
	// Failed is true when the request has failed at the server, which may be fast.
	Failed bool
	// AnswerBytes is the size of the answer, negative when it is not known.
	AnswerBytes int64
	// RemoteRegion is true for a server in another region.
	RemoteRegion bool
}

func (m *workModel) server(name gw.ServerName) *serverWork {
	w, ok := m.servers[name]
	if !ok {
		w = &serverWork{}
		m.servers[name] = w
	}
	return w
}

// add takes in a report about an attempt that has ended.
func (m *workModel) add(now time.Time, name gw.ServerName, r Report) {
	w := m.server(name)
	if r.HasWait {
		w.wait, w.waitAt = r.Wait.Seconds(), now
	}
	mean, hop := &m.near, regionCost
	if r.RemoteRegion {
		mean, hop = &m.far, otherRegionCost
	}
	if r.Failed {
		// A server that fails fast must not look fast.
		w.usedAt = now
		m.learn(w, max(r.Served.Seconds(), failedFactor*m.expected()))
		return
	}
	if r.Served <= 0 {
		if r.HasWait {
			mean.add(r.Wait.Seconds())
		}
		return
	}
	// The reported wait is that of the next request; just after an answer it is shorter than at other times.
	mean.add(max((r.Took-r.Served).Seconds()-hop, 0))
	w.usedAt = now
	m.learn(w, r.Served.Seconds())
	if r.AnswerBytes >= 0 {
		large := 0.0
		if r.AnswerBytes > largeBytes {
			large = 1
		}
		m.large += (large - m.large) * meanGain
	}
}

// learn updates the service time and the slowness of the server from the time of a request at the server.
func (m *workModel) learn(w *serverWork, seconds float64) {
	sample := math.Log(seconds)
	m.samples++
	w.samples++
	if m.samples == 1 {
		m.logService = sample
		return
	}
	surprise := max(-maxSlownessStep, min(sample-m.logService-w.logSlowness, maxSlownessStep))
	m.logService += surprise * gain(m.samples, meanGain)
	w.logSlowness += surprise * gain(w.samples+slownessPrior, slownessGain)
	w.logSlowness = max(-maxLogSlowness, min(w.logSlowness, maxLogSlowness))
}

// initialService is the service time in seconds while none is known. It gives unknown servers scores that differ at
// random: with zero, every host sent its first requests to the first server of the list.
const initialService = 0.1

// expected returns the expected service time at a server of slowness 1.
func (m *workModel) expected() float64 {
	if m.samples == 0 {
		return initialService
	}
	return math.Exp(m.logService)
}

// slowness returns how many times longer than usual work takes at the server, 1 when nothing is known.
func (m *workModel) slowness(name gw.ServerName) float64 {
	if w, ok := m.servers[name]; ok {
		return math.Exp(w.logSlowness)
	}
	return 1
}

// usualWait returns the mean wait in the region of a server. What is not known about another region counts as in this
// one, so that it has no advantage.
func (m *workModel) usualWait(remote bool) float64 {
	if remote && m.far.samples > 0 || m.near.samples == 0 {
		return m.far.seconds
	}
	return m.near.seconds
}

// expectedWait returns how long a request sent now would wait for a slot: the reported wait, which decays to the usual
// one with its age, and the work of this host's requests in flight, begun at starts, that the report does not include.
func (m *workModel) expectedWait(
	now time.Time, name gw.ServerName, remote bool, slots int, starts []time.Time,
) float64 {
	usual := m.usualWait(remote)
	fresh, wait, since := 0.0, usual, time.Time{}
	if w, ok := m.servers[name]; ok && !w.waitAt.IsZero() {
		fresh = freshness(now, w.waitAt)
		wait, since = usual+(w.wait-usual)*fresh, w.waitAt
	}
	unreported := 0.0
	for _, start := range starts {
		if start.After(since) {
			unreported++
		} else {
			unreported += 1 - fresh
		}
	}
	return wait + unreported*m.expected()*m.slowness(name)/float64(max(slots, 1))
}

// freshness returns the weight of a report with its age, 0 when there was none.
func freshness(now, reported time.Time) float64 {
	if reported.IsZero() {
		return 0
	}
	return math.Exp(-now.Sub(reported).Seconds() / reportDecay.Seconds())
}
