package gwmembers

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// fixedList is a host list that returns a fixed listing.
type fixedList struct {
	listing   gw.Listing
	currentAt time.Time
}

func (f *fixedList) Hosts(context.Context) (gw.Listing, error) {
	return f.listing, nil
}

func (f *fixedList) CurrentAt() time.Time {
	return f.currentAt
}

func (f *fixedList) Changed() <-chan struct{} {
	return nil
}

// Guards against controllers that sort all hosts again at each reading of an unchanged host list, against a change that
// they do not receive, and against a server that they never drop because they receive its removal only once.
func TestNumberFollowsChanges(t *testing.T) {
	list := &fixedList{listing: gw.Listing{
		Hosts: []gw.HostEntry{{Name: "h1", State: gw.EntryLive}}, Servers: []gw.ServerEntry{{Name: "s1"}},
	}}
	m := New(list)
	number := func() uint64 {
		m.read(context.Background())
		_, n := m.Listing()
		return n
	}
	require.Equal(t, uint64(1), number())
	for range renumberAfter - 1 {
		list.listing.Hosts = []gw.HostEntry{{Name: "h1", State: gw.EntryLive}}
		require.Equal(t, uint64(1), number())
	}
	require.Equal(t, uint64(2), number())
	list.listing.Hosts = []gw.HostEntry{{Name: "h1", State: gw.EntryLeaving}}
	require.Equal(t, uint64(3), number())
	list.listing.Servers = nil
	require.Equal(t, uint64(4), number())
	listing, _ := m.Listing()
	require.Equal(t, list.listing, listing)
}

// Guards against a server that has left and is used again because another host, which was cut off from the list,
// still held its entry (DRAIN on muyiz-registry, scale-2, seed 941038302849). Also guards against the loss of all
// servers when the list is empty after an outage.
func TestLapsedEntriesDoNotBringServersBack(t *testing.T) {
	list := &fixedList{listing: gw.Listing{Revision: 5, Servers: []gw.ServerEntry{{Name: "s1", State: gw.EntryLive}}}}
	m := New(list)
	m.read(context.Background())
	m.ApplyRemote(gw.Listing{Revision: 6, Servers: []gw.ServerEntry{{Name: "s1", State: gw.EntryLive, Lapsed: true}}})
	listing, _ := m.Listing()
	require.Len(t, listing.Servers, 1, "an entry that lapsed in an outage is kept")

	m.ApplyRemote(gw.Listing{Revision: 7})
	listing, _ = m.Listing()
	require.Empty(t, listing.Servers)
	_, leaving := m.LeavingSince("s1")
	require.True(t, leaving)

	m.ApplyRemote(gw.Listing{Revision: 8, Servers: []gw.ServerEntry{{Name: "s1", State: gw.EntryLive, Lapsed: true}}})
	listing, _ = m.Listing()
	require.Empty(t, listing.Servers, "a lapsed entry does not restore a removed server")
	_, leaving = m.LeavingSince("s1")
	require.True(t, leaving)
}

// Guards against a server that gets requests for too long after it began to leave. That happens when the time is
// counted from the reading that showed the leaving instead of the reading before it: the pause between readings is
// longer than the remaining time.
func TestLeavingCountsFromTheReadingBefore(t *testing.T) {
	live := []gw.ServerEntry{{Name: "s1", State: gw.EntryLive}, {Name: "s2", State: gw.EntryLive}}
	list := &fixedList{listing: gw.Listing{Revision: 1, Servers: live}}
	m := New(list)
	m.read(context.Background())
	before := time.Now().Add(-1400 * time.Millisecond)
	list.listing = gw.Listing{Revision: 2, Servers: live[1:], ChangedAfter: before}
	m.read(context.Background())
	since, ok := m.LeavingSince("s1")
	require.True(t, ok)
	require.Equal(t, before, since)

	list.listing = gw.Listing{Revision: 3, Servers: live}
	m.read(context.Background())
	list.currentAt = time.Now().Add(-time.Second)
	m.ApplyRemote(gw.Listing{Revision: 4, Servers: live[1:]})
	since, ok = m.LeavingSince("s1")
	require.True(t, ok)
	require.Equal(t, list.currentAt, since, "the other host may have read the list long ago (DRAIN on snr-poort, scale-2)")

	list.listing = gw.Listing{Revision: 5, ChangedAfter: time.Now().Add(-time.Hour)}
	m.read(context.Background())
	since, ok = m.LeavingSince("s2")
	require.True(t, ok, "after a long outage the server must not count as one that left long ago and is forgotten")
	require.WithinDuration(t, time.Now().Add(-maxLeavingAge), since, time.Second)
}

// Guards against a host that passes on a listing at each heartbeat of a server, which is six times a second with 254
// servers, and against one that does not pass on a change at once.
func TestEqualListingsNotifyOncePerSecond(t *testing.T) {
	notified := 0
	list := &fixedList{listing: gw.Listing{Servers: []gw.ServerEntry{{Name: "s1", State: gw.EntryLive}}}}
	m := New(list, WithNotify(func(gw.Listing) { notified++ }))
	for revision := range uint64(4) {
		list.listing.Revision = revision + 1
		m.read(context.Background())
	}
	require.Equal(t, 1, notified)
	list.listing = gw.Listing{Revision: 9, Servers: []gw.ServerEntry{{Name: "s1", State: gw.EntryLeaving}}}
	m.read(context.Background())
	require.Equal(t, 2, notified)
	m.notifiedAt = m.notifiedAt.Add(-equalNotifyInterval)
	list.listing.Revision = 10
	m.read(context.Background())
	require.Equal(t, 3, notified)
}

// Guards against a server that has said in an answer that it leaves and gets requests again, because the list still
// names it as live, or another host passes on an older reading. Guards also against a server that starts again under
// its name and stays out of use.
func TestSaidLeavingOutlastsTheList(t *testing.T) {
	entry := gw.ServerEntry{Name: "s1", DataCentre: "a", State: gw.EntryLive, Incarnation: "s1/1"}
	list := &fixedList{listing: gw.Listing{Revision: 1, Servers: []gw.ServerEntry{entry}}}
	m := New(list)
	m.read(context.Background())
	m.ReportLeaving("s1", "s1/0")
	_, leaving := m.LeavingSince("s1")
	require.False(t, leaving, "the answer of an earlier run is late")
	m.ReportLeaving("s1", "s1/1")
	since, leaving := m.LeavingSince("s1")
	require.True(t, leaving)

	list.listing.Revision = 2
	m.read(context.Background())
	m.ApplyRemote(gw.Listing{Revision: 3, DataCentre: "a", Servers: []gw.ServerEntry{entry}})
	again, leaving := m.LeavingSince("s1")
	require.True(t, leaving)
	require.Equal(t, since, again)

	entry.Incarnation = "s1/2"
	m.ApplyRemote(gw.Listing{Revision: 4, DataCentre: "a", Servers: []gw.ServerEntry{entry}})
	_, leaving = m.LeavingSince("s1")
	require.False(t, leaving)
}

// Guards against servers of a data centre that are lost, or come back, when the readings of two hosts differ in age:
// each data centre's servers are passed on apart.
func TestNewerPartOfAListingHolds(t *testing.T) {
	server := func(name gw.ServerName, dc gw.DataCentreName) gw.ServerEntry {
		return gw.ServerEntry{Name: name, DataCentre: dc, State: gw.EntryLive}
	}
	list := &fixedList{listing: gw.Listing{
		Revision: 5, HostsRevision: 5, Hosts: []gw.HostEntry{{Name: "h1"}},
		Servers: []gw.ServerEntry{server("a1", "a"), server("b1", "b")},
	}}
	m := New(list)
	m.read(context.Background())
	names := func() []gw.ServerName {
		l, _ := m.Listing()
		var all []gw.ServerName
		for _, s := range l.Servers {
			all = append(all, s.Name)
		}
		return all
	}
	m.ApplyRemote(gw.Listing{Revision: 8, DataCentre: "b", Servers: []gw.ServerEntry{server("b2", "b")}})
	m.ApplyRemote(gw.Listing{Revision: 4, DataCentre: "a"})
	m.ApplyRemote(gw.Listing{HostsRevision: 7, Hosts: []gw.HostEntry{{Name: "h1"}, {Name: "h2"}}})
	require.Equal(t, []gw.ServerName{"a1", "b2"}, names())

	list.listing.Revision, list.listing.HostsRevision = 6, 6
	list.listing.Servers = []gw.ServerEntry{server("a1", "a"), server("a2", "a"), server("b1", "b")}
	m.read(context.Background())
	require.Equal(t, []gw.ServerName{"a1", "a2", "b2"}, names(), "the own reading of b is older")
	require.Len(t, m.Hosts(), 2)

	list.listing.Revision, list.listing.HostsRevision = 9, 9
	list.listing.Servers, list.listing.Hosts = []gw.ServerEntry{server("a1", "a")}, []gw.HostEntry{{Name: "h2"}}
	m.read(context.Background())
	require.Equal(t, []gw.ServerName{"a1"}, names())
	require.Len(t, m.Hosts(), 1)

	list.listing.Revision, list.listing.Servers = 0, nil
	m.read(context.Background())
	require.Equal(t, []gw.ServerName{"a1"}, names(), "a host that no longer reads servers relies on others")
}
