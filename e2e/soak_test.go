package e2e

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/standin/gwfakes"
	"github.com/geraniumworks/geraniumworks/internal/standin/gwscene"
)

var (
	soakSeed    = flag.Uint64("soak-seed", 1, "first seed of the soak of planned work")
	soakSeeds   = flag.Int("soak-seeds", 2, "number of seeds")
	soakSeconds = flag.Int("soak-seconds", 9, "time for which each seed brings about events")
	soakHosts   = flag.Int("soak-hosts", 2, "hosts in each data centre")
	soakClients = flag.Int("soak-clients", 5, "clients of each host")
)

const (
	soakTimeout = 2 * time.Minute
	// soakPrinted is the number of problems that a failure prints.
	soakPrinted = 60
	// soakStraggleEvery is the time between changes of the servers' speed.
	soakStraggleEvery = 500 * time.Millisecond
)

// Guards against requests that end without an answer, or run although they were refused, and against processes that a
// signal ends: hosts are stopped, started, reloaded and reconfigured while clients go on using their connections.
func TestSoakRequestsLostInPlannedWork(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { soak(t, seed) })
	}
}

func soakPlan() gwscene.Plan {
	p := plan()
	p.Hosts = *soakHosts
	p.Services = []gwscene.Service{
		{
			Name: "lookups", DividedByKey: true, Servers: 2, Slots: 4, Connections: 130,
			Flags: []string{"--service-milliseconds", "5"},
		},
		{Name: "claims", Servers: 2, Slots: 4, Connections: 130, Flags: []string{"--service-milliseconds", "100"}},
		{Name: "documents", Servers: 2, Slots: 4, Connections: 130, Flags: []string{"--service-milliseconds", "200"}},
	}
	return p
}

func soak(t *testing.T, seed uint64) {
	dir := t.TempDir()
	name := filepath.Join(logFolder(), fmt.Sprintf("soak-%d.log", seed))
	log, err := os.Create(name)
	require.NoError(t, err)
	defer func() { require.NoError(t, log.Close()) }()
	t.Logf("seed %d, %d s, logs in %s", seed, *soakSeconds, name)

	ctx, cancel := context.WithTimeout(t.Context(), soakTimeout+time.Duration(*soakSeconds)*time.Second)
	defer cancel()
	e := &soakEvents{
		settings: filepath.Join(dir, "settings.json"), config: filepath.Join(dir, "config"),
		stopped: map[gw.DataCentreName]int{},
	}
	e.writeSettings(soakSettings("info"))
	require.NoError(t, os.CopyFS(e.config, os.DirFS("testdata/soak")))
	p := soakPlan()
	p.HostFlags = []string{"--settings", e.settings}
	s := gwscene.New(p, dir, func(name string) string { return filepath.Join(programs, name) }, log)
	e.scene = s
	require.NoError(t, s.Start(ctx))
	defer s.Stop()
	require.NoError(t, gwscene.Until(ctx, s.Live))
	publishFrom(ctx, t, s, e.config)
	require.NoError(t, gwscene.Until(ctx, s.Owned))

	e.start = time.Now()
	watching, endWatch := context.WithCancel(ctx)
	defer endWatch()
	for _, entry := range s.Listing().Hosts {
		h := &soakHost{name: entry.Name, dc: entry.DataCentre, ended: make(chan error, 1)}
		h.up.Store(true)
		e.hosts = append(e.hosts, h)
		e.watch(watching, h)
	}
	attempts := e.load(watching, t, seed)
	require.NoError(t, gwscene.Until(ctx, func(ctx context.Context) bool { return soakIdle(ctx, s) }))
	endWatch()
	e.watching.Wait()
	e.checkAttempts(t, attempts, countExecutions(ctx, t, s))
	if len(e.problems) > 0 {
		t.Logf("events:\n%s", strings.Join(e.lines, "\n"))
		t.Errorf("seed %d: %d problems, logs in %s:\n%s", seed, len(e.problems), name,
			strings.Join(e.problems[:min(len(e.problems), soakPrinted)], "\n"))
	}
}

// load runs the events and the clients of a seed and returns what the clients saw.
func (e *soakEvents) load(ctx context.Context, t *testing.T, seed uint64) []soakAttempt {
	sending, stop := context.WithCancel(ctx)
	defer stop()
	var clients []*soakClient
	var running sync.WaitGroup
	pauses := []time.Duration{0, 0, 100 * time.Millisecond, time.Second, 4 * time.Second}
	for i := range *soakClients {
		for _, entry := range e.scene.Listing().Hosts {
			n := len(clients)
			c := &soakClient{
				number: n, host: entry, pause: pauses[i%len(pauses)], rng: rand.New(rand.NewPCG(seed, uint64(n)+1)),
			}
			clients = append(clients, c)
			running.Go(func() { c.run(sending) })
		}
	}
	straggled := make(chan error, 1)
	go func() { straggled <- e.straggle(sending, rand.New(rand.NewPCG(seed, 1<<32))) }()
	e.run(ctx, rand.New(rand.NewPCG(seed, 0)), time.Duration(*soakSeconds)*time.Second)
	stop()
	running.Wait()
	require.NoError(t, <-straggled)
	var attempts []soakAttempt
	for _, c := range clients {
		attempts = append(attempts, c.attempts...)
	}
	slices.SortFunc(attempts, func(a, b soakAttempt) int { return a.end.Compare(b.end) })
	return attempts
}

// straggle changes the speed of the servers, so that requests for documents take 0.2 to 2 s.
func (e *soakEvents) straggle(ctx context.Context, rng *rand.Rand) error {
	servers := e.scene.Listing().Servers
	for ctx.Err() == nil {
		body := fmt.Sprintf(`{"factor": %.1f}`, 1+9*rng.Float64())
		server := servers[rng.IntN(len(servers))]
		if err := fault(context.WithoutCancel(ctx), server.Address, "straggle", body); err != nil {
			return err
		}
		pauseFor(ctx, soakStraggleEvery)
	}
	return nil
}

// soakIdle reports whether no server runs a request.
func soakIdle(ctx context.Context, s *gwscene.Scene) bool {
	for _, server := range s.Listing().Servers {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address+"/admin/state", nil)
		if err != nil {
			return false
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		var state gwfakes.ServerState
		err = json.NewDecoder(resp.Body).Decode(&state)
		if cerr := resp.Body.Close(); err != nil || cerr != nil || state.Running > 0 {
			return false
		}
	}
	return true
}

func (e *soakEvents) checkAttempts(t *testing.T, attempts []soakAttempt, ran map[string]int) {
	t.Helper()
	ends := map[string]int{}
	reused := 0
	for _, a := range attempts {
		if a.nth > 1 {
			reused++
		}
		err := a.check(ran[a.id])
		switch {
		case errors.Is(err, errCrossed), errors.Is(err, errUnsent):
			ends[err.Error()]++
		case err != nil:
			ends["failed"]++
			e.problems = append(e.problems, fmt.Sprintf("%s%v\n\tstart %slast byte written %s\n\t%s",
				e.stamp(a.end), err, e.stamp(a.start), e.stamp(a.sent), a))
		default:
			ends[strings.TrimSpace(string(a.outcome)+" "+string(a.reason))]++
		}
	}
	t.Logf("%d requests, %d on connections used before, ends %v, %d events", len(attempts), reused, ends, len(e.lines))
	if n := ends[string(gw.OutcomeAnswered)]; n <= len(attempts)/4 {
		e.fail("only %d of %d requests were answered, too few to prove anything", n, len(attempts))
	}
}
