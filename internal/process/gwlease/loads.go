package gwlease

import (
	"cmp"
	"math"
	"slices"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

const (
	// arrivalWindow is the time over which arrivals are counted. A server gets about 20 requests per second, so
	// shorter windows are mostly noise; hot keys last for about five seconds.
	arrivalWindow = 2000 * time.Millisecond
	// loadPublishInterval is the minimum interval between loads that are published for other controllers.
	loadPublishInterval = 500 * time.Millisecond
	// defaultServiceMilliseconds is the assumed service time when none is known for any server of the cell.
	defaultServiceMilliseconds = 100
)

// arrival is a reported request.
type arrival struct {
	at       time.Time
	position gw.Position
	// weight is the number of requests that it stands for.
	weight float64
}

// arrivalCount is the number of requests that a dispatcher's status reported.
type arrivalCount struct {
	at time.Time
	n  float64
}

// noteArrivals records the positions of requests from a dispatcher's status.
func (s *server) noteArrivals(now time.Time, d gw.DispatchedServer) {
	s.counts = append(s.counts, arrivalCount{at: now, n: float64(d.Arrivals)})
	if d.MeanMilliseconds > 0 {
		s.meanMilliseconds = d.MeanMilliseconds
	}
	if s.arrivalsSince.IsZero() {
		s.arrivalsSince = now
	}
	if len(d.Positions) > 0 {
		weight := float64(d.Arrivals) / float64(len(d.Positions))
		for _, p := range d.Positions {
			s.arrivals = append(s.arrivals, arrival{at: now, position: p, weight: weight})
		}
	}
	s.dropArrivals(now)
}

func (s *server) dropArrivals(now time.Time) {
	n := 0
	for n < len(s.arrivals) && now.Sub(s.arrivals[n].at) >= arrivalWindow {
		n++
	}
	s.arrivals = slices.Delete(s.arrivals, 0, n)
	s.counts = slices.DeleteFunc(s.counts, func(c arrivalCount) bool { return now.Sub(c.at) >= arrivalWindow })
}

// load returns the requests per second over the last seconds.
func (c *Core) load(s *server) float64 {
	since, seconds := c.loadWindow(s)
	total := 0.0
	for _, a := range s.arrivals {
		if a.at.After(since) {
			total += a.weight
		}
	}
	return total / seconds
}

// loadWindow returns the time after which reported arrivals of the server count, and the seconds that they cover.
func (c *Core) loadWindow(s *server) (since time.Time, seconds float64) {
	if c.service.CostAware {
		if since, seconds, ok := s.changedRate(c.now); ok {
			return since, seconds
		}
	}
	return time.Time{}, s.arrivalSeconds(c.now)
}

const (
	// recentCounts is the number of statuses, 300 ms each, in which a changed rate shows.
	recentCounts = 2
	// minEarlierSeconds is the shortest time before them that can tell the earlier rate.
	minEarlierSeconds = 0.4
	// rateChangeSigmas and rateChangeCount are how far the recent arrivals must be from those expected at the earlier
	// rate, in standard deviations and in requests. A server gets about 7 requests in two statuses.
	rateChangeSigmas = 4
	rateChangeCount  = 4
	// staleCountAfter is the age at which the last status no longer tells the present rate.
	staleCountAfter = time.Second
)

// changedRate returns the time since which the server gets requests at another rate than before, and the seconds
// that the arrivals after it cover. ok is false when the rate has not clearly changed.
//
// Load pattern: a block of neighbouring keys gets several times what its server bears from one moment to the next, for
// five seconds. Over the whole window the load shows in full only after two seconds. Until then the blocks that are
// moved off are several times too large for the servers that get them, and cannot move again until they have settled.
func (s *server) changedRate(now time.Time) (since time.Time, seconds float64, ok bool) {
	first := len(s.counts) - recentCounts
	if first < 1 || now.Sub(s.counts[len(s.counts)-1].at) >= staleCountAfter {
		return time.Time{}, 0, false
	}
	since = s.counts[first-1].at
	seconds = s.counts[len(s.counts)-1].at.Sub(since).Seconds()
	earlier := since.Sub(later(s.arrivalsSince, now.Add(-arrivalWindow))).Seconds()
	if seconds <= 0 || earlier < minEarlierSeconds {
		return time.Time{}, 0, false
	}
	recent, before := 0.0, 0.0
	for i, c := range s.counts {
		if i < first {
			before += c.n
		} else {
			recent += c.n
		}
	}
	expected := before * seconds / earlier
	changed := math.Abs(recent-expected) > rateChangeSigmas*math.Sqrt(expected)+rateChangeCount
	return since, seconds, changed
}

// arrivalSeconds returns the time that the recorded arrivals cover. It is at least half of the window, so that the
// first request after a change of dispatcher does not count as a high load.
func (s *server) arrivalSeconds(now time.Time) float64 {
	covered := min(max(now.Sub(s.arrivalsSince), arrivalWindow/2), arrivalWindow)
	return covered.Seconds()
}

// capacity returns the requests per second that the server can process with all slots in use, from its mean service
// time. For a server of unknown service time the cell's average is used.
func (c *Core) capacity(s *server) float64 {
	if full := c.service.Limits.RequestsPerSecondPerServer; full > 0 {
		return full
	}
	mean := s.meanMilliseconds
	if mean <= 0 {
		mean = c.cellMeanMilliseconds()
	}
	bears := float64(c.slots(s)) * 1000 / mean * c.shareOutsidePause(s)
	if s.limitPerSecond > 0 {
		bears = min(bears, max(s.limitPerSecond, bears*minPauseShare))
	}
	if cold := c.service.ColdRequestsPerSecond; cold > 0 && c.now.Before(s.coldUntil) {
		return min(bears, cold)
	}
	return bears
}

// minPauseShare is the share of its capacity that a pausing or limited server counts with at least, so that shares of
// loads stay finite.
const minPauseShare = 0.05

// shareOutsidePause returns the share of the next arrivalWindow in which the server takes requests.
func (c *Core) shareOutsidePause(s *server) float64 {
	left := s.pausedUntil.Sub(c.now)
	if left <= 0 {
		return 1
	}
	return max(1-left.Seconds()/arrivalWindow.Seconds(), minPauseShare)
}

func (c *Core) cellMeanMilliseconds() float64 {
	total, n := 0.0, 0
	for _, s := range c.byName {
		if s.meanMilliseconds > 0 {
			total += s.meanMilliseconds
			n++
		}
	}
	if n == 0 {
		return defaultServiceMilliseconds
	}
	return total / float64(n)
}

// arrivalSamples returns the arrivals at the cell's servers, ordered by position.
func (c *Core) arrivalSamples() gw.Arrivals {
	var view gw.Arrivals
	for _, s := range c.byName {
		since, seconds := c.loadWindow(s)
		for _, a := range s.arrivals {
			if !a.at.After(since) {
				continue
			}
			view.Samples = append(view.Samples, gw.Arrival{Position: a.position, Weight: a.weight / seconds})
		}
	}
	slices.SortFunc(view.Samples, func(x, y gw.Arrival) int { return cmp.Compare(x.Position, y.Position) })
	return view
}

// publishedLoads are the loads that this controller has published last.
type publishedLoads struct {
	servers  []gw.ServerLoad
	sequence uint64
	at       time.Time
}

// publishLoads publishes the loads of the servers for the controllers of the other cells, at intervals and only when
// they have changed. They are rounded so that noise does not change them.
func (c *Core) publishLoads() {
	if !c.service.OrderedKeys || c.now.Sub(c.loads.at) < loadPublishInterval {
		return
	}
	servers := make([]gw.ServerLoad, len(c.byName))
	for i, s := range c.byName {
		servers[i] = gw.ServerLoad{
			Name: s.entry.Name, Load: math.Round(c.load(s)), Capacity: math.Round(c.capacity(s)),
		}
	}
	if slices.Equal(servers, c.loads.servers) {
		return
	}
	c.loads = publishedLoads{servers: servers, sequence: c.loads.sequence + 1, at: c.now}
	c.emit(PublishLoads{Loads: gw.CellLoads{
		Cell: c.opts.cell, Epoch: c.control.epoch, Sequence: c.loads.sequence, Servers: servers,
	}})
}

// loadsSeen applies the loads of another cell of the key space.
func (c *Core) loadsSeen(l gw.CellLoads) {
	if l.Cell.Service != c.opts.cell.Service || l.Cell.DataCentre == c.opts.cell.DataCentre {
		return
	}
	byName := make(map[gw.ServerName]gw.ServerLoad, len(l.Servers))
	for _, s := range l.Servers {
		byName[s.Name] = s
	}
	c.otherLoads[l.Cell.DataCentre] = byName
}
