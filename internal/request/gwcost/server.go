package gwcost

import (
	"math"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

const (
	// slownessLimit bounds the learned slowness in both directions.
	slownessLimit = 16
	// slownessGain is the weight of one observation in the learned slowness once there are 1/slownessGain of them.
	slownessGain = 1.0 / 8
	// maxStep bounds, as a logarithm, how far an observation may lie from the learned slowness. Without it, one request
	// with 6 times the usual work would count as three ordinary ones.
	maxStep = 0.7
	// slownessLeak pulls the learned slowness to 1 with each observation, so that base costs and slowness do not drift
	// apart with an unchanged product.
	slownessLeak = 0.004
	// slownessFade is the time constant with which slowness returns to 1 while nothing is observed. A server that was
	// slow and got no requests since then is not avoided for longer.
	slownessFade = 10 * time.Second
	// reportFade is the time constant with which a reported work percentage loses its effect. Servers change theirs
	// about every 400 ms.
	reportFade = 400 * time.Millisecond
	// Reports outside of these bounds are ignored.
	minPercent, maxPercent = 1, 10_000
)

// Server estimates the costs of requests at one server. It is used under the lock of the server's state.
//
// The load that it addresses: servers of one service that differ in speed by a factor of 3, and machines that are 3
// times slower for 400 ms at a time.
type Server struct {
	model *Model
	// logSlowness is the logarithm of the learned slowness.
	logSlowness float64
	samples     float64
	observedAt  time.Time
	// percent is the work percentage that the server reported at reportedAt, zero when it has reported none.
	percent    float64
	reportedAt time.Time
}

// NewServer returns the estimates for a server of which nothing is known: its slowness is 1.
func NewServer(model *Model) *Server {
	return &Server{model: model}
}

// Restart forgets what was learned about the former run of the server.
func (s *Server) Restart() {
	*s = Server{model: s.model}
}

// learned returns the logarithm of the learned slowness, which fades while nothing is observed.
func (s *Server) learned(now time.Time) float64 {
	return s.logSlowness * math.Exp(-max(now.Sub(s.observedAt), 0).Seconds()/slownessFade.Seconds())
}

// reported returns the factor of the last report, which loses its effect as it ages.
func (s *Server) reported(now time.Time) float64 {
	if s.percent == 0 {
		return 1
	}
	return 1 + (s.percent/100-1)*math.Exp(-max(now.Sub(s.reportedAt), 0).Seconds()/reportFade.Seconds())
}

// Slowness returns how long work takes at the server at the moment, 1 when as long as usual in the service.
func (s *Server) Slowness(now time.Time) float64 {
	return math.Exp(s.learned(now)) * s.reported(now)
}

// Usual returns what a cost expected now would be without the present state of the machine, which lasts for less than
// a second.
func (s *Server) Usual(now time.Time, cost time.Duration) time.Duration {
	return seconds(cost.Seconds() / s.reported(now))
}

// Expect estimates the cost of a request of the class that starts now.
func (s *Server) Expect(now time.Time, class gw.CostClass) Estimate {
	s.model.mu.Lock()
	defer s.model.mu.Unlock()
	typical := s.model.base(class) * s.Slowness(now)
	if typical <= 0 {
		return Estimate{}
	}
	r := s.model.ratios.summary(now)
	return Estimate{
		Typical: seconds(typical), Mean: seconds(typical * r.mean), Median: seconds(typical * r.median),
		High: seconds(typical * r.high),
	}
}

// Residual estimates what is left of a running request: its expected cost less the elapsed time or, once it has taken
// longer, the mean residual of requests that did.
func (s *Server) Residual(est Estimate, elapsed time.Duration) time.Duration {
	if !est.Known() {
		return elapsed
	}
	if elapsed < est.Mean {
		return est.Mean - elapsed
	}
	s.model.mu.Lock()
	defer s.model.mu.Unlock()
	return seconds(est.Typical.Seconds() * s.model.ratios.residual(float64(elapsed)/float64(est.Typical)))
}

// Report notes the load that the server has reported.
func (s *Server) Report(now time.Time, load *gw.ServerUtilization) {
	if load != nil && load.WorkPercent >= minPercent && load.WorkPercent <= maxPercent {
		s.percent, s.reportedAt = load.WorkPercent, now
	}
}

// Observe learns from a request for which there was an estimate at its start, and which took the given time. It is
// called after Report for the same answer. With complete false the request took at least as long, and only the
// slowness of the server is raised.
func (s *Server) Observe(now time.Time, class gw.CostClass, est Estimate, took time.Duration, complete bool) {
	if took <= 0 {
		return
	}
	s.model.mu.Lock()
	defer s.model.mu.Unlock()
	factor := s.reported(now)
	learned := s.learned(now)
	if base := s.model.base(class); base > 0 {
		off := math.Log(took.Seconds()/(base*factor)) - learned
		if !complete && off <= 0 {
			return
		}
		s.samples = min(s.samples+1, 1/slownessGain)
		// A new server takes half a step for its first observation, since one request says little.
		gain := max(1/(s.samples+1), slownessGain)
		limit := math.Log(slownessLimit)
		s.logSlowness = (learned + gain*min(max(off, -maxStep), maxStep)) * (1 - slownessLeak)
		s.logSlowness = min(max(s.logSlowness, -limit), limit)
		s.observedAt = now
	}
	if !complete {
		return
	}
	s.model.observe(now, class, est, took, took.Seconds()/(math.Exp(learned)*factor))
}
