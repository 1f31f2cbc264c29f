package gwforward

import (
	"testing"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// Guards against bodies that are sent to busy dispatchers of other data centres in vain: on the worst load of
// zverak-hire bookings of 4 KB asked up to three dispatchers each, at a price for every byte. Guards also against a
// round trip more for bodies that are small, or are sent whatever the answer.
func TestBodiesWaitForConsent(t *testing.T) {
	for _, c := range []struct {
		name                  string
		bytes                 int
		relay, remote, noWait bool
		want                  bool
	}{
		{name: "probe with a body", bytes: 4000, relay: true, noWait: true, want: true},
		{name: "small probe", bytes: 1000, relay: true, noWait: true},
		{name: "request that may wait", bytes: 4000, relay: true},
		{name: "large body to another region", bytes: 60_000, relay: true, remote: true, want: true},
		{name: "large body within the region", bytes: 60_000, relay: true},
		{name: "large probe at the own dispatcher", bytes: 60_000, noWait: true},
	} {
		r := &Request{
			Relay: c.relay, NoWait: c.noWait, Target: gw.Target{RemoteRegion: c.remote}, Body: Buffered(make([]byte, c.bytes)),
		}
		require.Equal(t, c.want, r.needsConsent(), c.name)
	}
}
