package gwlease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// Guards against a controller that loses its authority after a restore: the read that found no record confirmed none,
// and when the feed shows the record that it has written before the store's answer arrives, that does not either.
func TestAuthorityIsConfirmedAfterRestore(t *testing.T) {
	m := newSim(scenario{Seed: 1, Cells: 1, Servers: 1, Fenced: true})
	now := time.Unix(0, 0)
	c := New(WithHost("h1", "h1#1"), WithCell(gw.CellID{Service: simService, DataCentre: "a"}, simRegion))
	c.Step(now, ConfigChanged{Config: m.cfg})
	read := outputOf[ReadAssignment](t, c.Step(now, HostsListed{Listing: gw.Listing{Hosts: m.listing.Hosts[1:2]}}))
	created := outputOf[CommitAssignment](t, c.Step(now, AssignmentRead{ID: read.ID}))
	c.Step(now, CommitDone{ID: created.ID, Version: simEraRevisions + 1})
	require.EqualValues(t, 1, c.Controls(now))

	now = now.Add(10 * time.Second)
	read = outputOf[ReadAssignment](t, c.Step(now, Tick{}))
	written := outputOf[CommitAssignment](t, c.Step(now, AssignmentRead{ID: read.ID}))
	require.Zero(t, written.Expected)
	shown := AssignmentRead{Found: true, Version: 2*simEraRevisions + 1, Assignment: written.Next}
	read = outputOf[ReadAssignment](t, c.Step(now, shown))
	shown.ID = read.ID
	c.Step(now, shown)
	require.EqualValues(t, 1, c.Controls(now.Add(c.opts.timing.Authority-time.Second)))
}

// Guards against a controller that stays on an older configuration because it was read from a restored store, whose
// versions are higher.
func TestNewerConfigOfAnEarlierEraIsUsed(t *testing.T) {
	c := New(WithHost("h1", "h1#1"), WithCell(gw.CellID{Service: simService, DataCentre: "a"}, simRegion))
	c.Step(time.Unix(0, 0), ConfigChanged{Config: gw.Config{Number: 7, Version: 2*simEraRevisions + 50}})
	c.Step(time.Unix(0, 0), ConfigChanged{Config: gw.Config{Number: 10, Version: simEraRevisions + 100}})
	require.EqualValues(t, 10, c.cfg.Number)
}

// outputOf returns the output of a type.
func outputOf[T Output](t *testing.T, outputs []Output) T {
	t.Helper()
	for _, o := range outputs {
		if o, ok := o.(T); ok {
			return o
		}
	}
	var none T
	require.Failf(t, "no output of the type", "%T in %+v", none, outputs)
	return none
}

// Guards against a candidate that takes a cell over after a restore because the controller asked for relief in the
// outage before it. The controller goes on, and only it knows which ranges its servers hold.
func TestReliefEndsWithRestore(t *testing.T) {
	c := New(WithHost("h1", "h1#1"), WithCell(gw.CellID{Service: simService, DataCentre: "a"}, simRegion))
	a := gw.NewAssignment(gw.KeySpace{}).WithRevision(5, "w")
	c.replaceRecord(simEraRevisions+5, a, false)
	c.reliefEpoch = 1
	c.replaceRecord(2*simEraRevisions+3, a.WithRevision(3, "v"), false)
	require.Zero(t, c.reliefEpoch)
}
