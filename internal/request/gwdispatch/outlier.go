package gwdispatch

import (
	"maps"
	"slices"
	"strings"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

const (
	// slowFactor is how many times the median of the other servers' medians a server's median must exceed to count as
	// slow. With 8 samples of exponential times, medians differ by a factor of 3 in under 1 of 1000 comparisons.
	slowFactor = 3
	// stuckFactor is the same for the age of the oldest request in flight against the 90% quantile of the others. One of
	// 100,000 exponential times exceeds 5 times the 90% quantile.
	stuckFactor = 5
	// failingShare is the share of failures that counts as failing, if most others have less than half of it.
	failingShare = 0.5
	minResults   = 5
	// maxOutlierShare bounds the share of a service's servers on this host that can be outliers at once.
	maxOutlierShare = 1.0 / 3
	// The time until the next trial of an outlier starts at minTrialInterval and doubles up to maxTrialInterval.
	minTrialInterval = time.Second
	maxTrialInterval = 32 * time.Second
)

// sample is what a detector compares about a server.
type sample struct {
	name      gw.ServerName
	times     timeSummary
	oldest    time.Duration
	good, bad float64
}

// Outlier is a server that differs from the other servers of its service on this host.
type Outlier struct {
	Server gw.ServerName
	// Reason is "slow", "stuck" or "failing".
	Reason string
	// Since is when the server was found to be an outlier, NextTrial when it gets requests again on trial.
	Since, NextTrial time.Time
}

// detector decides which servers of a service are outliers, from their samples alone. An outlier is tried again after
// an interval, which doubles with each failed trial: its samples are dropped, and it is no outlier until new samples
// decide.
type detector struct {
	checkedAt time.Time
	servers   map[gw.ServerName]*outlierState
}

type outlierState struct {
	Outlier
	interval time.Duration
	onTrial  bool
}

// step compares the servers and returns those that start a trial, whose samples the caller must drop.
func (d *detector) step(now time.Time, samples []sample) []gw.ServerName {
	if d.servers == nil {
		d.servers = make(map[gw.ServerName]*outlierState)
	}
	for name := range d.servers {
		if !slices.ContainsFunc(samples, func(s sample) bool { return s.name == name }) {
			delete(d.servers, name)
		}
	}
	var tried []gw.ServerName
	for _, s := range samples {
		j, found := d.servers[s.name]
		if found && !j.onTrial {
			if !now.Before(j.NextTrial) {
				j.onTrial = true
				tried = append(tried, s.name)
			}
			continue
		}
		reason := outlierReason(s, samples)
		switch {
		case reason == "" && found && s.times.Samples > 0:
			delete(d.servers, s.name)
		case reason != "" && d.mayAdd(len(samples)):
			interval := minTrialInterval
			if found {
				interval = min(2*j.interval, maxTrialInterval)
			}
			d.servers[s.name] = &outlierState{interval: interval, Outlier: Outlier{
				Server: s.name, Reason: reason, Since: now, NextTrial: now.Add(interval),
			}}
		}
	}
	return tried
}

// mayAdd reports whether one more server may be an outlier.
func (d *detector) mayAdd(servers int) bool {
	return len(d.outliers())+1 <= int(maxOutlierShare*float64(servers))
}

// outliers returns the outliers that are not on trial, ordered by name.
func (d *detector) outliers() []Outlier {
	var out []Outlier
	for _, j := range d.servers {
		if !j.onTrial {
			out = append(out, j.Outlier)
		}
	}
	slices.SortFunc(out, func(a, b Outlier) int { return strings.Compare(string(a.Server), string(b.Server)) })
	return out
}

// outlierReason returns why a server is an outlier among the servers, empty when it is none.
func outlierReason(s sample, all []sample) string {
	var p50, p90 []time.Duration
	healthy, others := 0, 0
	for _, o := range all {
		if o.name == s.name {
			continue
		}
		others++
		if failureRatio(o) < failingShare/2 {
			healthy++
		}
		if o.times.Samples > 0 {
			p50 = append(p50, o.times.P50)
			p90 = append(p90, o.times.P90)
		}
	}
	if s.good+s.bad >= minResults && failureRatio(s) >= failingShare && 2*healthy > others {
		return "failing"
	}
	if len(p50) < 2 {
		return ""
	}
	if s.times.Samples > 0 && s.times.P50 > slowFactor*median(p50) {
		return "slow"
	}
	if s.oldest > stuckFactor*median(p90) {
		return "stuck"
	}
	return ""
}

func failureRatio(s sample) float64 {
	if s.good+s.bad == 0 {
		return 0
	}
	return s.bad / (s.good + s.bad)
}

func median(d []time.Duration) time.Duration {
	slices.Sort(d)
	return d[len(d)/2]
}

func (s *serverState) sample(now time.Time) sample {
	return sample{
		name: s.server.Name, times: s.serviceTimes.estimate(now), oldest: s.oldest(now),
		good: s.recent.good, bad: s.recent.bad,
	}
}

// Outliers returns the servers of the service on this host that are slow, stuck or failing compared with the
// others, ordered by name. At most a third of the servers are returned.
func (d *Dispatcher) Outliers(service gw.ServiceName) []Outlier {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detect(service)
	return d.detectors[service].outliers()
}

// OutlierServers returns the names of the outliers found at the last lease or call of Outliers. It takes no lock,
// so that gwchoice can call it for every request. The result must not be modified.
func (d *Dispatcher) OutlierServers(service gw.ServiceName) []gw.ServerName {
	return (*d.outliers.Load())[service]
}

// detect runs the detector of a service over all its servers on this host.
func (d *Dispatcher) detect(service gw.ServiceName) {
	det := d.detectors[service]
	if det == nil {
		det = &detector{}
		d.detectors[service] = det
	}
	now := d.clock.Now()
	if now.Sub(det.checkedAt) < refreshAfter && !det.checkedAt.IsZero() {
		return
	}
	det.checkedAt = now
	all := *d.servers.Load()
	var samples []sample
	for key, s := range all {
		if key.service == service {
			s.step(func(st *serverState, now time.Time) {
				if st.listed {
					samples = append(samples, st.sample(now))
				}
			})
		}
	}
	slices.SortFunc(samples, func(a, b sample) int { return strings.Compare(string(a.name), string(b.name)) })
	for _, name := range det.step(now, samples) {
		all[serverKey{service, name}].step(func(st *serverState, _ time.Time) {
			st.serviceTimes = newServiceTimes()
			st.recent = recentResults{}
		})
	}
	out := det.outliers()
	d.metrics.outliers.WithLabelValues(string(service)).Set(float64(len(out)))
	names := maps.Clone(*d.outliers.Load())
	names[service] = nil
	for _, o := range out {
		names[service] = append(names[service], o.Server)
	}
	d.outliers.Store(&names)
}
