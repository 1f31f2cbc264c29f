package gwlease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// clearedRecord runs three controllers. The first one is cut off from all but one server and goes on renewing it; no
// other host reaches that server. The second one commits a move and is lost. It returns the record and how long after
// that the third one left the server its range.
func clearedRecord(t *testing.T, f faults, isolated bool) (m *sim, kept time.Duration) {
	m = newSim(scenario{Seed: 1, Cells: 1, Servers: 3, Steady: true, Faults: f})
	m.faultFree = true
	m.run(4 * time.Second)
	const middle = gw.Position(1 << 63)
	owner := m.stored.At(0).Owner
	var others []gw.ServerName
	for _, s := range m.servers {
		if s.entry.Name != owner {
			others = append(others, s.entry.Name)
		}
	}
	propose := func(plan gw.Plan) {
		cell, _ := m.stored.Cell("a")
		_, p := m.host(cell.Host)
		m.step(p, p.cores[0], PlanProposed{Plan: plan})
		m.run(m.now + 1500*time.Millisecond)
	}
	propose(gw.Plan{Splits: []gw.Position{middle}, Moves: []gw.Move{
		{First: 0, From: owner, To: owner}, {First: middle, From: owner, To: others[0]},
	}})
	require.Equal(t, others[0], m.stored.At(middle).Owner)
	first, _ := m.stored.Cell("a")
	if isolated {
		m.cutFor("hosts:"+string(first.Host), time.Minute)
		m.cutFor("store:"+string(first.Host), time.Minute)
	} else {
		m.applyAction(action{Kind: "restart-controller", For: time.Second})
	}
	for _, h := range m.hosts {
		if h.name != first.Host || !isolated {
			m.cutFor(string(h.name)+"|"+string(owner), time.Minute)
			continue
		}
		for _, s := range others {
			m.cutFor(string(h.name)+"|"+string(s), time.Minute)
		}
	}
	for cut := m.now; m.stored.At(middle).Owner == others[0] && m.now < cut+10*time.Second; {
		propose(gw.Plan{Moves: []gw.Move{{First: middle, From: others[0], To: others[1]}}})
	}
	require.Equal(t, others[1], m.stored.At(middle).Owner)
	m.applyAction(action{Kind: "restart-controller", For: time.Second})
	// Those that know the controllers before are lost with it.
	for i, h := range m.hosts {
		if cell, _ := m.stored.Cell("a"); h.name != first.Host && h.name != cell.Host {
			m.applyAction(action{Kind: "restart-host", Target: i, For: time.Second})
		}
	}
	lost := m.now
	for m.failure == "" && m.stored.At(0).Owner == owner && m.now < lost+40*time.Second {
		m.run(m.now + 100*time.Millisecond)
	}
	return m, m.now - lost
}

// Guards against servers that are lost and keep their ranges for as long as an unknown controller could act, after all
// hosts have started again: the controller before theirs had proved that there was none, and nobody knew.
func TestRecordTellsThatPredecessorsHaveStopped(t *testing.T) {
	m, kept := clearedRecord(t, faults{}, false)
	require.Empty(t, m.failure)
	t.Logf("the lost server kept its range for %s", kept)
	require.Less(t, kept, 12*time.Second)
}

// Guards against such a note while the first controller still renews a server, which would be given to two servers.
func TestPredecessorThatActsIsNotNotedAsStopped(t *testing.T) {
	m, kept := clearedRecord(t, faults{}, true)
	require.Empty(t, m.failure)
	t.Logf("the server kept its range for %s", kept)
	m, _ = clearedRecord(t, faults{clearUnproven: true}, true)
	require.NotEmpty(t, m.failure, "the planted fault is not found")
	t.Logf("planted fault: %s", m.failure)
}
