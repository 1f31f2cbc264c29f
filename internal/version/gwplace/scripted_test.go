package gwplace_test

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/version/gwplace"
)

// script runs a file of testdata. Each cell has a policy with default settings. Reported loads are exact unless the
// command "lie" falsifies them.
type script struct {
	driver
	policies  map[gw.DataCentreName]*gwplace.Policy
	cells     []gw.DataCentreName
	storeDown bool
	// loadFactors multiplies the loads reported for a server.
	loadFactors map[gw.ServerName]float64
	// moved is the share of keys that had an owner and got another since the last "forget".
	moved float64
	moves int
}

func number(t *testing.T, text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	require.NoError(t, err)
	return n
}

func (s *script) run(t *testing.T, words []string) {
	arg := func(i int) float64 { return number(t, words[i]) }
	switch words[0] {
	case "server": // name, data centre, capacity, warm percent
		dc := gw.DataCentreName(words[2])
		if s.policies[dc] == nil {
			s.policies[dc] = gwplace.New()
			s.cells = append(s.cells, dc)
		}
		s.servers = append(s.servers, gw.ServerView{
			Name: gw.ServerName(words[1]), DataCentre: dc, State: gw.ServerUp, Capacity: arg(3), WarmPercent: int(arg(4)),
		})
	case "load":
		s.density = arg(1)
	case "hot":
		s.hot = nil
		for i := 1; i < len(words); i += 2 {
			var p gw.Position
			require.NoError(t, p.UnmarshalText([]byte(words[i])))
			s.hot = append(s.hot, gw.HotPosition{Position: p, RequestsPerSecond: arg(i + 1)})
		}
	case "state":
		for _, name := range words[2:] {
			s.server(gw.ServerName(name)).State = gw.ServerState(words[1])
		}
	case "warm":
		s.server(gw.ServerName(words[2])).WarmPercent = int(arg(1))
	case "lie":
		s.loadFactors[gw.ServerName(words[1])] = arg(2)
	case "store":
		s.storeDown = words[1] == "down"
	case "forget":
		s.moved, s.moves = 0, 0
	case "run":
		for range int(arg(1)) {
			s.step(t)
		}
	case "expect":
		s.expect(t, words[1:])
	default:
		t.Fatalf("unknown command %q", words[0])
	}
}

// step calls the policies of all cells with the same view of the assignment, and then applies their plans.
func (s *script) step(t *testing.T) {
	s.now = s.now.Add(time.Second)
	before := s.assignment
	for i, dc := range s.cells {
		v := s.view(dc)
		v.Lead, v.Assignment = i == 0, before
		for k := range v.Servers {
			if f, ok := s.loadFactors[v.Servers[k].Name]; ok {
				v.Servers[k].Load *= f
				for _, r := range before.Ranges {
					if r.Owner == v.Servers[k].Name {
						v.RangeLoads[r.First] *= f
					}
				}
			}
		}
		plan := s.policies[dc].Place(v)
		applyPlan(t, v, plan)
		if s.storeDown {
			continue
		}
		v.Assignment = s.assignment
		s.assignment = applyPlan(t, v, plan)
		for _, m := range plan.Moves {
			if m.From != "" {
				s.moved += spanWidth(s.assignment.Span(s.assignment.Index(m.First)))
				s.moves++
			}
		}
	}
}

func (s *script) expect(t *testing.T, words []string) {
	at := func() gw.Range {
		var p gw.Position
		require.NoError(t, p.UnmarshalText([]byte(words[1])))
		return s.assignment.Span(s.assignment.Index(p))
	}
	var got float64
	switch words[0] {
	case "load":
		for _, r := range s.assignment.Granted(gw.ServerName(words[1])) {
			got += s.load(r.Range)
		}
	case "keys":
		for _, r := range s.assignment.Granted(gw.ServerName(words[1])) {
			got += spanWidth(r.Range)
		}
	case "width":
		got = float64(at().Last-at().First) + 1
	case "ranges":
		got = float64(len(s.assignment.Ranges))
	case "moved":
		got = s.moved
	case "moves":
		got = float64(s.moves)
	default:
		t.Fatalf("unknown expectation %q", words[0])
	}
	want := number(t, words[len(words)-1])
	switch words[len(words)-2] {
	case "<=":
		require.LessOrEqual(t, got, want)
	case ">=":
		require.GreaterOrEqual(t, got, want)
	default:
		require.InDelta(t, want, got, 1e-9)
	}
}

// Guards against wrong decisions in the situations named by the files of testdata.
func TestScripts(t *testing.T) {
	t.Parallel()
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			data, err := os.ReadFile(file)
			require.NoError(t, err)
			s := script{policies: make(map[gw.DataCentreName]*gwplace.Policy), loadFactors: make(map[gw.ServerName]float64)}
			s.assignment, s.now, s.granularity = gw.NewAssignment(gw.KeySpace{Service: "lookups", Region: "holland"}), epoch, 1
			for n, line := range strings.Split(string(data), "\n") {
				line, _, _ = strings.Cut(line, "#")
				if words := strings.Fields(line); len(words) > 0 {
					t.Logf("%s:%d %s", file, n+1, line)
					s.run(t, words)
				}
			}
		})
	}
}
