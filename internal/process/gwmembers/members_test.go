package gwmembers

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// fixedList is a host list that shows one listing.
type fixedList struct{ listing gw.Listing }

func (f *fixedList) Hosts(context.Context) (gw.Listing, error) {
	return f.listing, nil
}

func (f *fixedList) Changed() <-chan struct{} {
	return nil
}

// Guards against controllers that order all hosts again at each reading of an unchanged host list, against a change
// that they are not shown, and against a server that is never forgotten because they are shown its end only once.
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
	for range repeatAfter - 1 {
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
