package gwadmit

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	gw "github.com/geraniumworks/geraniumworks"
)

// init fixes the seed of property tests, so that every CI run gives the same result; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

var priorities = map[string]Priority{"low": PriorityLow, "normal": PriorityNormal, "retry": PriorityRetry}

// Guards the limits of tenants and services. The first line of each file in testdata names the rule that it checks.
func TestAdmitterScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, name := range files {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txt"), func(t *testing.T) {
			data, err := os.ReadFile(name)
			require.NoError(t, err)
			c := &clock{now: time.Unix(1e9, 0)}
			a := New(WithClock(c), WithServiceInFlight(100), WithWeight(func(name gw.TenantName) float64 {
				return map[gw.TenantName]float64{"half": 0.5}[name] + map[bool]float64{true: 1}[name != "half"]
			}))
			var cfg gw.Config
			held := map[string][]func(){}
			for i, line := range strings.Split(string(data), "\n") {
				words := strings.Fields(line)
				if len(words) == 0 || words[0] == "#" {
					continue
				}
				line := fmt.Sprintf("line %d: %s", i+1, line)
				n, err := strconv.Atoi(words[len(words)-1])
				switch words[0] {
				case "tenant": // name requests-per-second in-flight
					rps, rpsErr := strconv.ParseFloat(words[2], 64)
					require.NoError(t, rpsErr, line)
					cfg.Tenants = append(cfg.Tenants, gw.Tenant{
						Name: gw.TenantName(words[1]), RequestsPerSecond: rps, InFlight: n,
					})
					a.SetConfig(cfg)
				case "limit": // service in-flight
					a.SetServiceInFlight(gw.ServiceName(words[1]), n)
				case "advance": // milliseconds
					c.now = c.now.Add(time.Duration(n) * time.Millisecond)
				case "admit": // tenant service priority, refusal or count admitted
					ctx := WithPriority(context.Background(), priorities[words[3]])
					if err == nil {
						for range n {
							release, ref := a.Admit(ctx, gw.TenantName(words[1]), gw.ServiceName(words[2]))
							require.Nil(t, ref, line)
							held[words[1]] = append(held[words[1]], release)
						}
						continue
					}
					_, ref := a.Admit(ctx, gw.TenantName(words[1]), gw.ServiceName(words[2]))
					require.NotNil(t, ref, line)
					require.Equal(t, words[4], string(ref.Reason), line)
				case "release": // tenant count; each request is released twice, which must count once
					for range n {
						held[words[1]][0]()
						held[words[1]][0]()
						held[words[1]] = held[words[1]][1:]
					}
				default:
					require.Fail(t, "unknown command", line)
				}
			}
		})
	}
}

// Guards against memory use that grows with the number of tenants, counts that are not reduced again, and limits that
// are exceeded.
func TestCountsAreExactAndBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, maxTenants = 12, 6
		a := New(WithServiceInFlight(limit), WithMaxTenants(maxTenants))
		type admitted struct {
			tenant  gw.TenantName
			service gw.ServiceName
			release func()
		}
		var held []admitted
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if len(held) > 0 && rapid.IntRange(0, 2).Draw(t, "release") == 0 {
				i := rapid.IntRange(0, len(held)-1).Draw(t, "which")
				held[i].release()
				held = append(held[:i], held[i+1:]...)
			} else {
				h := admitted{
					tenant:  gw.TenantName(strconv.Itoa(rapid.IntRange(0, 50).Draw(t, "tenant"))),
					service: rapid.SampledFrom([]gw.ServiceName{"a", "b"}).Draw(t, "service"),
				}
				ctx := WithPriority(t.Context(), Priority(rapid.IntRange(0, 2).Draw(t, "priority")))
				var ref *gw.Refusal
				if h.release, ref = a.Admit(ctx, h.tenant, h.service); ref == nil {
					held = append(held, h)
				}
			}
			byService, byTenant := map[gw.ServiceName]int{}, map[gw.TenantName]int{}
			for _, h := range held {
				byService[h.service]++
				byTenant[h.tenant]++
			}
			require.Len(t, a.services, len(byService))
			for name, n := range byService {
				require.Equal(t, n, a.services[name].inFlight)
				require.LessOrEqual(t, n, limit)
			}
			for name, n := range byTenant {
				require.Equal(t, n, a.tenants[name].inFlight)
			}
			require.LessOrEqual(t, len(a.tenants), maxTenants)
			require.Equal(t, len(a.tenants)-len(byTenant), a.idle.Len())
		}
	})
}

// BenchmarkAdmit measures admission for 1,000 tenants.
func BenchmarkAdmit(b *testing.B) {
	a := New()
	names := make([]gw.TenantName, 1000)
	for i := range names {
		names[i] = gw.TenantName(strconv.Itoa(i))
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			if release, ref := a.Admit(context.Background(), names[i%len(names)], "lookups"); ref == nil {
				release()
			}
		}
	})
}
