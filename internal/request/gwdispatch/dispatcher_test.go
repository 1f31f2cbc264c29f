package gwdispatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

var leaseErrors = map[string]error{
	"ok": nil, "other-instance": gw.ErrOtherInstance, "stale": gw.ErrStaleEpoch, "past": gw.ErrPastDeadline,
	"overtaken": gw.ErrStaleRevision, "deadline": context.DeadlineExceeded,
}

// Guards the rules for leases and releases. Each file in testdata/lease names the failures it covers.
func TestLeaseScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/lease/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, name := range files {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txt"), func(t *testing.T) {
			data, err := os.ReadFile(name)
			require.NoError(t, err)
			synctest.Test(t, func(t *testing.T) {
				s := &leaseScript{t: t, d: New(WithInstance("i1"))}
				for i, line := range strings.Split(string(data), "\n") {
					if words := strings.Fields(line); len(words) > 0 && words[0] != "#" {
						s.run(words, fmt.Sprintf("line %d: %s", i+1, line))
					}
				}
			})
		})
	}
}

type leaseScript struct {
	t     *testing.T
	d     *Dispatcher
	slots []gw.Slot
}

// run executes a line; its last word is the expected result.
func (s *leaseScript) run(words []string, line string) {
	a, want := args(words[1:]), words[len(words)-1]
	cell := gw.CellID{Service: "stamps", DataCentre: "dc1"}
	switch words[0] {
	case "renew":
		lease := gw.DispatchLease{Cell: cell, To: gw.InstanceID(a["to"]), Epoch: gw.Epoch(number(a["epoch"]))}
		lease.Sequence = uint64(number(a["seq"]))
		if in, ok := a["in"]; ok {
			lease.Deadline = s.d.Clock() + gw.ClockMilliseconds(number(in))
		}
		for _, name := range strings.FieldsFunc(a["servers"], func(r rune) bool { return r == ',' }) {
			lease.Servers = append(lease.Servers, gw.DispatchServer{Name: gw.ServerName(name), Incarnation: "A", Slots: 1})
		}
		status, err := s.d.Renew(lease)
		require.ErrorIs(s.t, err, leaseErrors[want], line)
		require.Equal(s.t, gw.InstanceID("i1"), status.Instance, line)
	case "release":
		ctx, cancel := context.WithTimeout(s.t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := s.d.Release(ctx, gw.DispatchRelease{
			Cell: cell, To: gw.InstanceID(a["to"]), Epoch: gw.Epoch(number(a["epoch"])), Sequence: uint64(number(a["seq"])),
			Server: gw.ServerName(a["server"]),
		})
		require.ErrorIs(s.t, err, leaseErrors[want], line)
	case "acquire":
		slot, ref := s.d.Acquire(s.t.Context(), gw.SlotRequest{
			Service: "stamps", Server: gw.ServerName(words[1]), Deadline: time.Now().Add(time.Second),
		})
		got := "ok"
		if ref != nil {
			got = string(ref.Reason)
		} else {
			s.slots = append(s.slots, slot)
		}
		require.Equal(s.t, want, got, line)
	case "done":
		s.slots[0].Done(gw.AttemptResult{Outcome: gw.OutcomeAnswered, Status: 200})
		s.slots = s.slots[1:]
	case "advance":
		time.Sleep(time.Duration(number(words[1])) * time.Millisecond)
	case "status":
		status := s.d.statusOf(cell, true)
		got := fmt.Sprintf("%d.%d", status.Epoch, status.Sequence)
		for _, server := range status.Servers {
			got += fmt.Sprintf(",%s:%d:%d", server.Name, server.InFlight, server.Answers)
		}
		require.Equal(s.t, want, got, line)
	default:
		require.Fail(s.t, "unknown command", line)
	}
}

// Guards the locking and the wake-ups around the state machine: every request ends, slots and queue are empty
// afterwards, and the counters agree. synctest reports a request that is never woken as a deadlock.
func TestConcurrentRequestsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reg := prometheus.NewRegistry()
		d := New(WithInstance("i"), WithRegisterer(reg), WithConfig(gw.Config{Services: []gw.Service{{
			Name: "stamps", Limits: gw.ServiceLimits{SlotsPerServer: 4, QueueLength: 8, QueueMilliseconds: 50, ColdPercent: 50},
		}}}))
		cell := gw.CellID{Service: "stamps", DataCentre: "dc1"}
		renew := func(seq uint64) {
			lease := gw.DispatchLease{Cell: cell, Epoch: 1, Sequence: seq, To: "i", Deadline: d.Clock() + 100}
			lease.Servers = []gw.DispatchServer{{Name: "s1", Incarnation: "A", Slots: 4}}
			_, err := d.Renew(lease)
			require.NoError(t, err)
		}
		renew(1)
		var busy, peak, granted atomic.Int64
		var done sync.WaitGroup
		const requests = 4000
		for i := range requests {
			rng := rand.New(rand.NewPCG(1, uint64(i)))
			time.Sleep(time.Duration(rng.IntN(3)) * time.Millisecond)
			if i%60 == 0 {
				renew(uint64(i + 2))
			}
			if i%500 == 250 {
				done.Go(func() {
					_, err := d.Release(t.Context(), gw.DispatchRelease{
						Cell: cell, Epoch: 1, Sequence: uint64(i - i%60 + 2), To: "i", Server: "s1",
					})
					if err != nil && !errors.Is(err, gw.ErrStaleRevision) {
						require.ErrorIs(t, err, errSuperseded)
					}
				})
			}
			done.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rng.IntN(60))*time.Millisecond)
				defer cancel()
				slot, ref := d.Acquire(ctx, gw.SlotRequest{
					Service: "stamps", Server: "s1", Tenant: gw.TenantName(strconv.Itoa(i % 3)),
					Deadline: time.Now().Add(time.Duration(rng.IntN(100)) * time.Millisecond),
				})
				if ref != nil {
					require.Equal(t, gw.OutcomeNotRun, ref.Reason.Outcome())
					return
				}
				granted.Add(1)
				peak.Store(max(peak.Load(), busy.Add(1)))
				time.Sleep(time.Duration(rng.IntN(15)) * time.Millisecond)
				busy.Add(-1)
				slot.Done(results[[]string{"answered", "answered", "answered", "unknown", "overloaded"}[rng.IntN(5)]])
			})
		}
		done.Wait()
		time.Sleep(time.Second)
		require.LessOrEqual(t, peak.Load(), int64(4))
		require.Greater(t, granted.Load(), int64(requests/10))
		require.InDelta(t, granted.Load(), testutil.ToFloat64(d.metrics.granted.WithLabelValues("stamps")), 0)
		inFlight, waiting, _ := d.Load("stamps", "s1")
		require.Zero(t, inFlight+waiting)
	})
}

func benchmarkDispatcher(b *testing.B) *Dispatcher {
	b.Helper()
	d := New(WithInstance("i"))
	lease := gw.DispatchLease{Cell: gw.CellID{Service: "lookups"}, Epoch: 1, Sequence: 1, To: "i", Deadline: 1 << 40}
	for i := range 10 {
		s := gw.DispatchServer{Name: gw.ServerName(fmt.Sprintf("s%d", i)), Incarnation: "A", Slots: 1 << 10}
		for j := range gw.Position(16) {
			s.Ranges = append(s.Ranges, gw.GrantedRange{Range: gw.Range{First: j << 60, Last: (j+1)<<60 - 1}, Token: 1})
		}
		lease.Servers = append(lease.Servers, s)
	}
	_, err := d.Renew(lease)
	require.NoError(b, err)
	return d
}

// Measures Acquire and Done without waiting, with one server per goroutine or one for all.
func BenchmarkAcquireDone(b *testing.B) {
	for _, bench := range []struct {
		name                string
		goroutines, servers int
	}{{"goroutines=1", 1, 1}, {"goroutines=10/servers=10", 10, 10}, {"goroutines=10/servers=1", 10, 1}} {
		b.Run(bench.name, func(b *testing.B) {
			d := benchmarkDispatcher(b)
			b.ReportAllocs()
			var done sync.WaitGroup
			for g := range bench.goroutines {
				done.Go(func() {
					rng := rand.New(rand.NewPCG(1, uint64(g)))
					req := gw.SlotRequest{
						Service: "lookups", Server: gw.ServerName(fmt.Sprintf("s%d", g%bench.servers)), Tenant: "t",
						HasKey: true, Token: 1, Deadline: time.Now().Add(time.Hour),
					}
					for range b.N / bench.goroutines {
						req.Position = gw.Position(rng.Uint64())
						slot, ref := d.Acquire(context.Background(), req)
						if ref != nil {
							panic(ref)
						}
						slot.Done(gw.AttemptResult{Outcome: gw.OutcomeAnswered, Status: 200, Incarnation: "A"})
					}
				})
			}
			done.Wait()
		})
	}
}

// Guards the path from slow answers of one server to the outliers that are reported to gwchoice.
func TestSlowServerIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(WithInstance("i"))
		lease := gw.DispatchLease{Cell: gw.CellID{Service: "stamps"}, Epoch: 1, Sequence: 1, To: "i", Deadline: 1 << 40}
		for _, name := range []gw.ServerName{"a", "b", "c"} {
			lease.Servers = append(lease.Servers, gw.DispatchServer{Name: name, Incarnation: "A", Slots: 1})
		}
		renew := func() {
			_, err := d.Renew(lease)
			require.NoError(t, err)
		}
		renew()
		for range minSamples {
			for _, s := range lease.Servers {
				slot, ref := d.Acquire(t.Context(), gw.SlotRequest{
					Service: "stamps", Server: s.Name, Deadline: time.Now().Add(time.Second),
				})
				require.Nil(t, ref)
				time.Sleep(map[gw.ServerName]time.Duration{"c": 40 * time.Millisecond}[s.Name] + 10*time.Millisecond)
				slot.Done(results["answered"])
			}
		}
		renew()
		require.Equal(t, []gw.ServerName{"c"}, d.OutlierServers("stamps"))
		require.Equal(t, "slow", d.Outliers("stamps")[0].Reason)
		require.InDelta(t, 1, testutil.ToFloat64(d.metrics.outliers.WithLabelValues("stamps")), 0)
		time.Sleep(time.Second)
		renew()
		require.Empty(t, d.OutlierServers("stamps"), "the server is on trial")
	})
}

// Guards against controllers that leave servers with a dispatcher that reaches none of them.
func TestCutOffDispatcherAsksForOthers(t *testing.T) {
	d := New(WithInstance("i"))
	lease := gw.DispatchLease{Cell: gw.CellID{Service: "stamps"}, Epoch: 1, Sequence: 1}
	for _, cutOff := range []bool{false, true, false} {
		d.SetCutOff(cutOff)
		status, err := d.Renew(lease)
		require.NoError(t, err)
		require.Equal(t, cutOff, status.Stopping)
		lease.Sequence++
	}
}
