package gwdispatch

import (
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// Guards the detection of outliers and their return. Each block of the data file names its case.
func TestDetectorScript(t *testing.T) {
	data, err := os.ReadFile("testdata/outlier/script.txt")
	require.NoError(t, err)
	var (
		now     = at(0)
		det     = &detector{}
		samples []sample
		tried   []string
	)
	ms := func(s string) time.Duration { return time.Duration(number(s)) * time.Millisecond }
	for line := range strings.Lines(string(data)) {
		words := strings.Fields(line)
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		a := args(words[1:])
		switch words[0] {
		case "new":
			det, samples = &detector{}, nil
		case "at":
			now = at(number(words[1]))
		case "servers": // names with the same sample
			for _, name := range strings.Split(words[1], ",") {
				s := sample{name: gw.ServerName(name), oldest: ms(a["oldest"]), good: float64(number(a["good"]))}
				s.bad = float64(number(a["bad"]))
				if p50 := ms(a["p50"]); p50 > 0 {
					s.times = timeSummary{Samples: 8, P50: p50, P90: 3 * p50}
				}
				samples = slices.DeleteFunc(samples, func(old sample) bool { return old.name == s.name })
				samples = append(samples, s)
			}
		case "step":
			tried = nil
			for _, name := range det.step(now, samples) {
				tried = append(tried, string(name))
			}
		case "out", "tried":
			got := tried
			if words[0] == "out" {
				got = nil
				for _, o := range det.outliers() {
					got = append(got, string(o.Server)+":"+o.Reason)
				}
			}
			require.Equal(t, strings.Join(words[1:], " "), strings.Join(got, " "), line)
		}
	}
}

// Guards the hot positions and rates that decide about splits: the promised 73 hottest positions must be found
// among many others, and a rate must be right within the smoothing.
func TestHottestPositionsAreFound(t *testing.T) {
	s := &rates{origin: at(0)}
	low, high := gw.Range{Last: 1<<63 - 1}, gw.Range{First: 1 << 63, Last: ^gw.Position(0)}
	s.setRanges([]gw.GrantedRange{{Range: low}, {Range: high}})
	rng := rand.New(rand.NewPCG(1, 2))
	now := at(0)
	// 1000 requests a second for 2 minutes: a tenth to position 1, a twentieth to position 2, the rest anywhere.
	for i := range 120_000 {
		now = at(int64(i))
		p, index := gw.Position(rng.Uint64()>>1), 0
		switch {
		case i%10 == 0:
			p = 1
		case i%20 == 1:
			p, index = 1<<63+2, 1
		}
		s.add(now, index, p)
	}
	var out gw.DispatchedServer
	s.report(now, &out)
	require.InDelta(t, 1000, out.RequestsPerSecond, 20)
	require.InDelta(t, 950, out.RangeLoads[0], 20)
	require.InDelta(t, 50, out.RangeLoads[1<<63], 5)
	require.Len(t, out.Hot, 2)
	require.Equal(t, gw.Position(1), out.Hot[0].Position)
	require.InDelta(t, 100, out.Hot[0].RequestsPerSecond, 15)
	require.InDelta(t, 50, out.Hot[1].RequestsPerSecond, 15)
	require.LessOrEqual(t, len(s.hot), maxHot)
	s.setRanges([]gw.GrantedRange{{Range: high}})
	out = gw.DispatchedServer{}
	s.report(now.Add(20*time.Second), &out)
	require.Len(t, out.RangeLoads, 1)
	require.InDelta(t, 50*0.135, out.RangeLoads[1<<63], 1, "the rate falls to a seventh in two time constants")
}
