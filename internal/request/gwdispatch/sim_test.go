package gwdispatch_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwchoice"
	"github.com/geraniumworks/geraniumworks/internal/request/gwdispatch"
)

// simulation runs requests in the virtual time of a synctest bubble, with real choosers, one per entry host, and one
// real dispatcher for all servers. Service times are drawn at random.
type simulation struct {
	servers, slots, stragglers int
	// load is the offered load as a share of the capacity of the servers without stragglers.
	load     float64
	requests int
	policy   gwchoice.Policy
	// sigma draws service times from a log-normal distribution; with zero they are exponential.
	sigma    float64
	deadline time.Duration
	attempts int
	limits   gw.ServiceLimits
	seed     uint64
}

const (
	simHosts    = 12
	simMean     = 10 * time.Millisecond
	simSlowdown = 10
	simHop      = 150 * time.Microsecond
)

type simResult struct {
	median, p99, p999 time.Duration
	good, refused     int
	byStragglers      int
	span              time.Duration
}

func (r simResult) goodput() float64 { return float64(r.good) / r.span.Seconds() }

func (s simulation) serviceTime(rng *rand.Rand) time.Duration {
	if s.sigma > 0 {
		return time.Duration(float64(simMean) * math.Exp(s.sigma*rng.NormFloat64()-s.sigma*s.sigma/2))
	}
	return time.Duration(float64(simMean) * rng.ExpFloat64())
}

func (s simulation) run(t *testing.T) (out simResult) {
	synctest.Test(t, func(t *testing.T) { out = s.runInBubble(t) })
	return out
}

func (s simulation) runInBubble(t *testing.T) simResult {
	d := gwdispatch.New(gwdispatch.WithInstance("i"), gwdispatch.WithConfig(gw.Config{
		Services: []gw.Service{{Name: "stamps", Limits: s.limits}},
	}))
	dirs := []gw.Directory{{Cell: gw.CellID{Service: "stamps", DataCentre: "dc1"}, Region: "r1"}}
	lease := gw.DispatchLease{Cell: dirs[0].Cell, Epoch: 1, Sequence: 1, To: "i", Deadline: 1 << 40}
	for i := range s.servers {
		name := gw.ServerName(fmt.Sprintf("s%02d", i))
		dirs[0].Servers = append(dirs[0].Servers, gw.DirectoryServer{
			Name: name, State: gw.ServerUp, Dispatcher: "h", RelayAddress: "h:1", Slots: s.slots,
		})
		lease.Servers = append(lease.Servers, gw.DispatchServer{Name: name, Incarnation: "A", Slots: s.slots})
	}
	_, err := d.Renew(lease)
	require.NoError(t, err)
	choosers := make([]*gwchoice.Chooser, simHosts)
	for i := range choosers {
		choosers[i] = gwchoice.New(gwchoice.WithLocation("dc1", "r1"), gwchoice.WithSeed(s.seed+uint64(i)),
			gwchoice.WithPolicy(s.policy))
	}
	run := &simRun{simulation: s, d: d, dirs: dirs, slow: map[gw.ServerName]bool{}}
	for i := range s.stragglers {
		run.slow[dirs[0].Servers[i].Name] = true
	}
	rng := rand.New(rand.NewPCG(s.seed, 1))
	rate := s.load * float64(s.servers*s.slots) / simMean.Seconds()
	begin := time.Now()
	var done sync.WaitGroup
	// The first tenth fills the statistics of the choosers and is not measured.
	for i := range s.requests {
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if i == s.requests/10 {
			begin = time.Now()
		}
		work, chooser, measured := s.serviceTime(rng), choosers[rng.IntN(simHosts)], i >= s.requests/10
		done.Go(func() { run.request(chooser, work, measured) })
	}
	out := &run.result
	out.span = time.Since(begin)
	done.Wait()
	slices.Sort(run.latencies)
	quantile := func(q float64) time.Duration {
		if len(run.latencies) == 0 {
			return 0
		}
		return run.latencies[int(q*float64(len(run.latencies)-1))]
	}
	out.median, out.p99, out.p999 = quantile(0.5), quantile(0.99), quantile(0.999)
	return *out
}

type simRun struct {
	simulation
	d    *gwdispatch.Dispatcher
	dirs []gw.Directory
	slow map[gw.ServerName]bool

	mu        sync.Mutex
	latencies []time.Duration
	result    simResult
}

func (r *simRun) request(chooser *gwchoice.Chooser, work time.Duration, measured bool) {
	begin := time.Now()
	deadline := begin.Add(r.deadline)
	var tried []gw.ServerName
	ok := false
	for range r.attempts {
		choice, ref := chooser.Choose("stamps", r.dirs, tried)
		if ref != nil {
			break
		}
		tried = append(tried, choice.Server.Name)
		if ok, ref = r.attempt(chooser, choice.Server.Name, work, deadline); ref == nil {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !measured {
		return
	}
	r.latencies = append(r.latencies, time.Since(begin))
	if r.slow[tried[len(tried)-1]] {
		r.result.byStragglers++
	}
	if ok {
		r.result.good++
	} else {
		r.result.refused++
	}
}

// attempt runs one request at a server and reports whether it was answered in time.
func (r *simRun) attempt(
	chooser *gwchoice.Chooser, name gw.ServerName, work time.Duration, deadline time.Time,
) (bool, *gw.Refusal) {
	a := chooser.Begin("stamps", name)
	time.Sleep(simHop)
	slot, ref := r.d.Acquire(context.Background(), gw.SlotRequest{Service: "stamps", Server: name, Deadline: deadline})
	if ref != nil {
		time.Sleep(simHop)
		a.Done(gwchoice.Result{Outcome: gw.OutcomeNotRun, Reason: ref.Reason})
		return false, ref
	}
	if r.slow[name] {
		work *= simSlowdown
	}
	if left := time.Until(deadline); work > left {
		time.Sleep(left)
		slot.Done(gw.AttemptResult{Outcome: gw.OutcomeUnknown})
		a.Done(gwchoice.Result{Outcome: gw.OutcomeUnknown})
		return false, nil
	}
	time.Sleep(work)
	now := time.Now()
	slot.Done(gw.AttemptResult{Outcome: gw.OutcomeAnswered, Status: 200, Incarnation: "A", FirstByte: now, End: now})
	time.Sleep(simHop)
	a.Done(gwchoice.Result{Outcome: gw.OutcomeAnswered, Status: 200})
	return true, nil
}
