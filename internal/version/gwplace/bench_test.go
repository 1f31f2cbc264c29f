package gwplace_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/version/gwplace"
)

// largeView returns a view of servers in nine data centres with 16 ranges each, as the controller of d0 sees it.
func largeView(servers int) gw.PlacementView {
	v := gw.PlacementView{
		Now: epoch, DataCentre: "d0", Lead: true, Granularity: 1, RangeLoads: make(map[gw.Position]float64),
		Assignment: gw.NewAssignment(gw.KeySpace{Service: "lookups", Region: "holland"}),
	}
	for i := range servers {
		v.Servers = append(v.Servers, gw.ServerView{
			Name: gw.ServerName(fmt.Sprintf("server-%04d", i)), DataCentre: gw.DataCentreName(fmt.Sprintf("d%d", i%9)),
			State: gw.ServerUp, Capacity: 1000, WarmPercent: 100, Load: 400,
		})
	}
	plan := gwplace.New().Place(v)
	ranges := []gw.OwnedRange{{}}
	for _, p := range plan.Splits {
		ranges = append(ranges, gw.OwnedRange{First: p})
	}
	for i, m := range plan.Moves {
		ranges[i].Owner = m.To
	}
	v.Assignment.Ranges = ranges
	randomiseLoads(&v, rand.New(rand.NewPCG(1, 1)))
	return v
}

// randomiseLoads gives each range a load of 25 requests a second on average.
func randomiseLoads(v *gw.PlacementView, rng *rand.Rand) {
	for _, r := range v.Assignment.Ranges {
		v.RangeLoads[r.First] = 20 + 10*rng.Float64()
	}
}

// BenchmarkPlace measures one call in a settled key space; the target is 10 ms, 1 % of a core at one call a second.
func BenchmarkPlace(b *testing.B) {
	for _, servers := range []int{25, 250, 2500} {
		for _, event := range []string{"steady", "data-centre-leaves"} {
			b.Run(fmt.Sprintf("%s/%d", event, servers), func(b *testing.B) {
				v := largeView(servers)
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				p := gwplace.New()
				for range 3 {
					p.Place(v)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportAllocs()
				for b.Loop() {
					if event != "steady" {
						b.StopTimer()
						p = gwplace.New()
						for i := range v.Servers {
							v.Servers[i].State = gw.ServerUp
						}
						p.Place(v)
						for i := range v.Servers {
							if v.Servers[i].DataCentre == "d0" {
								v.Servers[i].State = gw.ServerLeaving
							}
						}
						b.StartTimer()
					}
					v.Now = v.Now.Add(time.Second)
					p.Place(v)
				}
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB-kept")
				runtime.KeepAlive(p)
			})
		}
	}
}
