package gwlease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// Guards against a cell that nobody can take over, because what servers have handed over makes the record too large for
// the store: a handover spares the next owner some time, the cell needs its controller.
func TestRecordThatIsTooLargeIsWrittenWithoutHandovers(t *testing.T) {
	m := newSim(scenario{Seed: 1, Cells: 1, Servers: 1, Fenced: true})
	now := time.Unix(0, 0)
	c := New(WithHost("h1", "h1#1"), WithCell(gw.CellID{Service: simService, DataCentre: "a"}, simRegion))
	c.Step(now, ConfigChanged{Config: m.cfg})
	read := outputOf[ReadAssignment](t, c.Step(now, HostsListed{Listing: gw.Listing{Hosts: m.listing.Hosts[1:2]}}))
	stored := gw.NewAssignment(gw.KeySpace{Service: simService, Region: simRegion}).WithRevision(5, "w").
		WithHandover(0, "handover")
	taken := outputOf[CommitAssignment](t, c.Step(now, AssignmentRead{
		ID: read.ID, Found: true, Version: simEraRevisions + 5, Assignment: stored,
	}))
	require.Equal(t, "handover", taken.Next.Ranges[0].Handover)
	again := outputOf[CommitAssignment](t, c.Step(now, CommitDone{ID: taken.ID, Err: gw.ErrValueTooLarge}))
	require.Empty(t, again.Next.Ranges[0].Handover)
	require.Equal(t, taken.Next.Cells, again.Next.Cells)
	require.Equal(t, taken.Expected, again.Expected)
	c.Step(now, CommitDone{ID: again.ID, Version: simEraRevisions + 6})
	require.EqualValues(t, 1, c.Controls(now))
}
