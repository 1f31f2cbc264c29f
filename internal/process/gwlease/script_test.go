package gwlease

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	gw "github.com/geraniumworks/geraniumworks"
)

// Guards the main sessions against changes of outcome and of the time they take. The commands are:
//
//	cell SERVERS UNCHECKED       starts one cell in data centre a, with hosts h0 to h3; a third argument makes
//	                             the service one that is not divided by key, or gives the servers range fences
//	own SERVER                   moves the range at 0 to the server and forgets events
//	run DURATION                 lets time pass
//	act KIND TARGET DURATION     starts a fault or an operator's act
//	restore AGE DURATION         takes the store away, and restores it from a copy of that age
//	served DURATION              requires that each range is held all the while
//	move FIRST FROM TO           proposes a move to the controller
//	split FIRST FROM TO POS TO2  proposes to split the range at POS and to move the parts to TO and TO2
//	within DURATION              waits until each range is served by its owner
//	expect EVENT [SERVER]        waits up to 100 ms for an event since the last forget; ! negates
//	owner FIRST SERVER           compares an owner in the store; ! negates
//	epoch N                      compares the epoch in the store
//	dispatched                   requires that the directory shows each server up and with a dispatcher
//	slots SERVER N               compares the slots that the directory shows
//	hands-over TEXT              sets what servers hand over with a release, as a Go string
//	spoiled                      makes the stored record one of which fields cannot be read
//	forget                       forgets events
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"cell": scriptCell, "own": scriptOwn, "run": scriptRun, "act": scriptAct, "move": scriptMove, "split": scriptSplit,
			"within": scriptWithin, "restore": scriptRestore, "served": scriptServed,
			"expect": scriptExpect, "owner": scriptOwner, "epoch": scriptEpoch, "forget": scriptForget,
			"hands-over": scriptHandsOver, "spoiled": scriptSpoiled,
			"dispatched": scriptDispatched, "slots": scriptSlots,
		},
		Setup: func(env *testscript.Env) error {
			env.Values["sim"] = new(*sim)
			return nil
		},
	})
}

func simOf(ts *testscript.TestScript) *sim { return *ts.Value("sim").(**sim) }

func duration(ts *testscript.TestScript, text string) time.Duration {
	d, err := time.ParseDuration(text)
	ts.Check(err)
	return d
}

func number(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}

func advance(ts *testscript.TestScript, d time.Duration) {
	m := simOf(ts)
	m.run(m.now + d)
	if m.failure != "" {
		ts.Fatalf("%s", m.failure)
	}
}

func scriptCell(ts *testscript.TestScript, _ bool, args []string) {
	m := newSim(scenario{
		Seed: 1, Cells: 1, Servers: number(ts, args[0]), Unchecked: number(ts, args[1]), Steady: true,
		Undivided: len(args) > 2 && args[2] == "undivided", Fenced: len(args) > 2 && args[2] == "fenced",
	})
	m.faultFree = true
	*ts.Value("sim").(**sim) = m
}

func scriptOwn(ts *testscript.TestScript, _ bool, args []string) {
	m := simOf(ts)
	if owner := m.stored.At(0).Owner; string(owner) != args[0] {
		scriptMove(ts, false, []string{gw.Position(0).String(), string(owner), args[0]})
		advance(ts, 2*time.Second)
	}
	scriptOwner(ts, false, []string{gw.Position(0).String(), args[0]})
	scriptWithin(ts, false, []string{"1s"})
	m.events = nil
}

func scriptRun(ts *testscript.TestScript, _ bool, args []string) { advance(ts, duration(ts, args[0])) }

func scriptAct(ts *testscript.TestScript, _ bool, args []string) {
	simOf(ts).applyAction(action{Kind: args[0], Target: number(ts, args[1]), For: duration(ts, args[2])})
}

func scriptRestore(ts *testscript.TestScript, _ bool, args []string) {
	m := simOf(ts)
	since := m.now - duration(ts, args[0])
	m.storeOff = true
	m.after(duration(ts, args[1]), func() { m.restoreStore(m.now - since) })
}

func scriptServed(ts *testscript.TestScript, _ bool, args []string) {
	m := simOf(ts)
	for end := m.now + duration(ts, args[0]); m.now < end; advance(ts, 10*time.Millisecond) {
		for i := range m.newest.Assignment.Ranges {
			span := m.newest.Assignment.Span(i)
			if !slices.ContainsFunc(m.holdings(), func(h holding) bool {
				return h.ranges.First <= span.First && span.Last <= h.ranges.Last
			}) {
				ts.Fatalf("range %s is not served at %s: %+v", span.First, m.now, m.stored)
			}
		}
	}
}

func scriptMove(ts *testscript.TestScript, _ bool, args []string) {
	m := simOf(ts)
	var first gw.Position
	ts.Check(first.UnmarshalText([]byte(args[0])))
	cell, _ := m.stored.Cell("a")
	_, p := m.host(cell.Host)
	move := gw.Move{First: first, From: gw.ServerName(args[1]), To: gw.ServerName(args[2])}
	m.step(p, p.cores[0], PlanProposed{Plan: gw.Plan{Moves: []gw.Move{move}}})
}

func scriptSplit(ts *testscript.TestScript, _ bool, args []string) {
	m := simOf(ts)
	var first, at gw.Position
	ts.Check(first.UnmarshalText([]byte(args[0])))
	ts.Check(at.UnmarshalText([]byte(args[3])))
	cell, _ := m.stored.Cell("a")
	_, p := m.host(cell.Host)
	from := gw.ServerName(args[1])
	m.step(p, p.cores[0], PlanProposed{Plan: gw.Plan{
		Splits: []gw.Position{at},
		Moves: []gw.Move{
			{First: first, From: from, To: gw.ServerName(args[2])},
			{First: at, From: from, To: gw.ServerName(args[4])},
		},
	}})
}

func scriptWithin(ts *testscript.TestScript, _ bool, args []string) {
	m := simOf(ts)
	start := m.now
	for !m.allServed() {
		if m.now-start > duration(ts, args[0]) {
			ts.Fatalf("not served within %s: %+v", args[0], m.stored)
		}
		advance(ts, 10*time.Millisecond)
	}
	ts.Logf("served after %s", m.now-start)
}

func scriptExpect(ts *testscript.TestScript, neg bool, args []string) {
	advance(ts, 100*time.Millisecond)
	found := false
	for _, e := range simOf(ts).events {
		found = found || string(e.Kind) == args[0] && (len(args) < 2 || string(e.Server) == args[1])
	}
	if found == neg {
		ts.Fatalf("event %v: found is %v in %+v", args, found, simOf(ts).events)
	}
}

func scriptOwner(ts *testscript.TestScript, neg bool, args []string) {
	var first gw.Position
	ts.Check(first.UnmarshalText([]byte(args[0])))
	if simOf(ts).version == 0 {
		ts.Fatalf("the store has no record")
	}
	if owner := simOf(ts).stored.At(first).Owner; (string(owner) == args[1]) == neg {
		ts.Fatalf("owner of %s is %q", args[0], owner)
	}
}

func scriptEpoch(ts *testscript.TestScript, _ bool, args []string) {
	if cell, _ := simOf(ts).stored.Cell("a"); int(cell.Epoch) != number(ts, args[0]) {
		ts.Fatalf("epoch is %d", cell.Epoch)
	}
}

func scriptHandsOver(ts *testscript.TestScript, _ bool, args []string) {
	text, err := strconv.Unquote(`"` + args[0] + `"`)
	ts.Check(err)
	simOf(ts).handsOver = text
}

func scriptSpoiled(ts *testscript.TestScript, _ bool, _ []string) { simOf(ts).repaired = true }

func scriptForget(ts *testscript.TestScript, _ bool, _ []string) { simOf(ts).events = nil }

func scriptDispatched(ts *testscript.TestScript, _ bool, _ []string) {
	servers := simOf(ts).directories["a"].Servers
	for _, s := range servers {
		if s.Dispatcher == "" || s.State != gw.ServerUp {
			ts.Fatalf("server is %s with dispatcher %q: %+v", s.State, s.Dispatcher, s)
		}
	}
	if len(servers) != len(simOf(ts).servers) {
		ts.Fatalf("directory has %d servers", len(servers))
	}
}

func scriptSlots(ts *testscript.TestScript, _ bool, args []string) {
	for _, s := range simOf(ts).directories["a"].Servers {
		if string(s.Name) == args[0] && s.Slots != number(ts, args[1]) {
			ts.Fatalf("%s has %d slots", s.Name, s.Slots)
		}
	}
}
