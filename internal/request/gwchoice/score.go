package gwchoice

import (
	"slices"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

const (
	// The cost in seconds of sending a request to a server in the same data centre, region, or another region.
	dataCentreCost  = 0.001
	regionCost      = 0.002
	otherRegionCost = 0.040
	// largeBytes is the size above which bodies and answers between regions count more: 60 Mbit/s are shared by all
	// traffic between two regions, and bytes there are paid for. largeCost is what they count.
	largeBytes = 16 << 10
	largeCost  = 0.170
	// Servers in another region are compared when the expected wait at the best one in this region exceeds
	// crossRegionWait. For a large body or answer it must exceed crossRegionWaitLarge and objectiveShare of the time that
	// is left until the objective: moving 90 KB between regions costs more than a download is worth.
	crossRegionWait      = 0.080
	crossRegionWaitLarge = 0.250
	objectiveShare       = 0.5
	// Servers in other data centres of this region are compared when the best one in this data centre has a longer
	// expected wait than crossDataCentreWait, or is slower than localSlowness. Bytes between data centres are paid for:
	// for a large body or answer the wait must also exceed localObjectiveShare of the time until the objective.
	crossDataCentreWait = 0.020
	localSlowness       = 1.5
	localObjectiveShare = 0.25
	// The mean of the random, exponential addition to a score as a share of the service time: freshJitter for a report
	// that has just arrived, up to staleJitter more as it ages. Many hosts believe the same about a server, and without
	// the addition they would all choose it; with it, servers of which nothing is known get shares by their speed. In the
	// replay with 60 hosts, 1, 2 and 4 gave about the same.
	freshJitter = 0.1
	staleJitter = 1
	// One of trialInterval choices goes to a server that this host has not used for unusedAfter, so that a server that was
	// slow, or was never used, is measured again.
	trialInterval = 32
	unusedAfter   = 4 * time.Second
)

// Request is what the choice by score depends on, besides the servers.
type Request struct {
	// Exclude lists servers that are never chosen. Among, when it is not empty, lists the only servers of this region that
	// may be chosen.
	Exclude, Among []gw.ServerName
	// BodyBytes is the size of the request body, negative when it is not known. LargeAnswer is set when the answers of
	// the route are large.
	BodyBytes   int64
	LargeAnswer bool
	// Objective is when an answer loses most of its worth, zero when that is not known.
	Objective time.Time
}

// Candidate is a server that may be chosen by score.
type Candidate struct {
	Server gw.DirectoryServer
	Cell   gw.CellID
	// RemoteRegion is true for a server in another region.
	RemoteRegion bool
	// Score is the expected time to finish a request in seconds: the expected wait for a slot, the service time on this
	// server, and the network cost.
	Score, Wait, Service, Network float64
	// Slowness is how many times longer than usual work takes at the server.
	Slowness float64
	// InFlight counts this host's requests on their way to the server or running there.
	InFlight int
	// ReportedAt is when the dispatcher has last reported the wait, zero when it has not.
	ReportedAt time.Time
	// Excluded says why the server would be passed over, empty when it would not.
	Excluded string

	usedAt time.Time
}

// Report takes in what was learned about a server of a cost-aware service.
func (c *Chooser) Report(name gw.ServiceName, server gw.ServerName, r Report) {
	if c.localWait != nil && !r.HasWait {
		r.Wait, r.HasWait = c.localWait(name, server)
	}
	s := c.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work.add(c.clock.Now(), server, r)
}

// ChooseByScore picks the server at which a request is expected to finish first, or refuses with gw.ReasonNoServer.
// Servers in another region are considered when there is none in this region or its servers are busy.
func (c *Chooser) ChooseByScore(
	name gw.ServiceName, dirs []gw.Directory, req Request,
) (Choice, *gw.Refusal) {
	s := c.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := c.clock.Now()
	s.updateMedian(now)
	for round := range 3 {
		near := c.candidates(now, s, name, dirs, req, round, false)
		if unused, ok := s.trial(now, near); ok {
			return c.chosenByScore(name, unused), nil
		}
		best, ok := s.pick(now, near, func(candidate *Candidate) bool { return candidate.Cell.DataCentre == c.dataCentre })
		if !ok || best.Wait > req.crossDataCentreWait(now) || best.Slowness > localSlowness {
			best, ok = s.pick(now, near, anyCandidate)
		}
		if !ok || best.Wait > req.crossRegionWait(now) {
			far := c.candidates(now, s, name, dirs, req, round, true)
			best, ok = s.pick(now, append(near, far...), anyCandidate)
		}
		if ok {
			return c.chosenByScore(name, best), nil
		}
	}
	return Choice{}, gw.Refuse(gw.ReasonNoServer, "no server of the service can be reached")
}

func (c *Chooser) chosenByScore(name gw.ServiceName, best Candidate) Choice {
	c.chosen.WithLabelValues(string(name), distanceNames[c.distanceOf(best)]).Inc()
	return Choice{Server: best.Server, Cell: best.Cell, RemoteRegion: best.RemoteRegion}
}

// crossRegionWait returns the expected wait in this region above which servers in another region are compared.
func (r Request) crossRegionWait(now time.Time) float64 {
	if !r.isLarge() {
		return crossRegionWait
	}
	return max(crossRegionWaitLarge, objectiveShare*r.secondsLeft(now))
}

// crossDataCentreWait returns the expected wait in this data centre above which the region's other ones are compared.
func (r Request) crossDataCentreWait(now time.Time) float64 {
	if !r.isLarge() {
		return crossDataCentreWait
	}
	return max(crossDataCentreWait, localObjectiveShare*r.secondsLeft(now))
}

// isLarge reports whether the body or the answer has many bytes, or a body has an unknown number of them.
func (r Request) isLarge() bool {
	return r.LargeAnswer || r.BodyBytes < 0 || r.BodyBytes > largeBytes
}

// secondsLeft returns the time until the objective, zero when there is none.
func (r Request) secondsLeft(now time.Time) float64 {
	if r.Objective.IsZero() {
		return 0
	}
	return r.Objective.Sub(now).Seconds()
}

func (c *Chooser) distanceOf(candidate Candidate) distance {
	switch {
	case candidate.RemoteRegion:
		return otherRegion
	case candidate.Cell.DataCentre == c.dataCentre:
		return sameDataCentre
	default:
		return sameRegion
	}
}

// Candidates describes all servers in the directories, the best one first. It changes nothing.
func (c *Chooser) Candidates(name gw.ServiceName, dirs []gw.Directory, bodyBytes int64) []Candidate {
	s := c.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := c.clock.Now()
	var found []Candidate
	for i := range dirs {
		for j := range dirs[i].Servers {
			e := &dirs[i].Servers[j]
			candidate := c.candidate(now, s, name, &dirs[i], e, bodyBytes)
			candidate.Excluded = c.passedOver(now, s, name, e)
			found = append(found, candidate)
		}
	}
	slices.SortFunc(found, func(a, b Candidate) int {
		switch {
		case (a.Excluded == "") != (b.Excluded == ""):
			if a.Excluded == "" {
				return -1
			}
			return 1
		case a.Score != b.Score:
			if a.Score < b.Score {
				return -1
			}
			return 1
		default:
			return 0
		}
	})
	return found
}

// passedOver returns why a server is not chosen while there are others, empty when it may be chosen.
func (c *Chooser) passedOver(now time.Time, s *service, name gw.ServiceName, e *gw.DirectoryServer) string {
	h := s.servers[e.Name]
	switch {
	case e.RelayAddress == "" || e.Slots <= 0:
		return "has no dispatcher"
	case e.State != gw.ServerUp:
		return "is " + string(e.State)
	case c.outliers != nil && slices.Contains(c.outliers(name), e.Name):
		return "is slow or failing"
	case h != nil && !h.overloaded && now.Before(h.backoffUntil):
		return "has refused recently"
	}
	return ""
}

// candidates returns the servers in this region, or those in other regions, that may be chosen in a round. The rounds
// are those of Choose. At most maxCompared servers, from a random start, are returned.
func (c *Chooser) candidates(
	now time.Time, s *service, name gw.ServiceName, dirs []gw.Directory, req Request, round int, remote bool,
) []Candidate {
	var out []gw.ServerName
	if c.outliers != nil && round == 0 {
		out = c.outliers(name)
	}
	s.collect(dirs, func(d *gw.Directory) bool { return (c.distance(d) == otherRegion) == remote },
		func(e *gw.DirectoryServer) (ServerStats, bool) {
			if !usable(e, round) || slices.Contains(req.Exclude, e.Name) || slices.Contains(out, e.Name) ||
				!remote && len(req.Among) > 0 && !slices.Contains(req.Among, e.Name) {
				return ServerStats{}, false
			}
			h := s.servers[e.Name]
			return ServerStats{}, round > 0 || h == nil || h.overloaded || !now.Before(h.backoffUntil)
		})
	found := make([]Candidate, 0, len(s.indexes))
	for _, i := range s.indexes {
		d := &dirs[i.dir]
		found = append(found, c.candidate(now, s, name, d, &d.Servers[i.server], req.BodyBytes))
	}
	return found
}

// candidate computes the score of a server.
func (c *Chooser) candidate(
	now time.Time, s *service, name gw.ServiceName, d *gw.Directory, e *gw.DirectoryServer, bodyBytes int64,
) Candidate {
	dist := c.distance(d)
	out := Candidate{Server: *e, Cell: d.Cell, RemoteRegion: dist == otherRegion, Slowness: s.work.slowness(e.Name)}
	var starts []time.Time
	if h, ok := s.servers[e.Name]; ok {
		starts = h.starts
	}
	out.InFlight = len(starts)
	if w, ok := s.work.servers[e.Name]; ok {
		out.ReportedAt, out.usedAt = w.waitAt, w.usedAt
	}
	out.Wait = s.work.expectedWait(now, e.Name, out.RemoteRegion, e.Slots, starts)
	if c.localWait != nil {
		if wait, ok := c.localWait(name, e.Name); ok {
			out.Wait, out.ReportedAt = wait.Seconds(), now
		}
	}
	out.Service = s.work.expected() * out.Slowness
	switch dist {
	case sameDataCentre:
		out.Network = dataCentreCost
	case sameRegion:
		out.Network = regionCost
	default:
		out.Network = otherRegionCost + largeCost*s.work.large
		if bodyBytes < 0 || bodyBytes > largeBytes {
			out.Network += largeCost
		}
	}
	out.Score = out.Wait + out.Service + out.Network
	return out
}

// trial returns, at times, a candidate that was not used recently.
func (s *service) trial(now time.Time, candidates []Candidate) (Candidate, bool) {
	if len(candidates) == 0 || s.rng.IntN(trialInterval) != 0 {
		return Candidate{}, false
	}
	unused := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool {
		return c.InFlight > 0 || now.Sub(c.usedAt) < unusedAfter
	})
	if len(unused) == 0 {
		return Candidate{}, false
	}
	return unused[s.rng.IntN(len(unused))], true
}

// pick returns the candidate with the lowest score after a random addition, of those that are allowed.
func (s *service) pick(now time.Time, candidates []Candidate, allowed func(*Candidate) bool) (best Candidate, ok bool) {
	lowest := 0.0
	for i := range candidates {
		c := &candidates[i]
		if !allowed(c) {
			continue
		}
		score := c.Score + s.rng.ExpFloat64()*c.Service*(freshJitter+(1-freshness(now, c.ReportedAt))*staleJitter)
		if !ok || score < lowest {
			best, lowest, ok = *c, score, true
		}
	}
	return best, ok
}

func anyCandidate(*Candidate) bool { return true }
