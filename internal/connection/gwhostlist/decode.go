package gwhostlist

import (
	"encoding/json"
	"net/netip"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
)

// decodeListing reads and checks a listing. One bad entry makes the whole listing unusable: without the entry
// the listing would say that a host or server is gone, which is acted on, whereas a listing that is not
// replaced only lags.
func decodeListing(body []byte) (gw.Listing, error) {
	var listing *gw.Listing
	if err := json.Unmarshal(body, &listing); err != nil {
		return gw.Listing{}, eris.Wrapf(ErrBadListing, "%v", err)
	}
	if listing == nil || listing.Hosts == nil || listing.Servers == nil {
		return gw.Listing{}, eris.Wrap(ErrBadListing, "hosts or servers are missing")
	}
	names := make(map[string]bool, len(listing.Hosts)+len(listing.Servers))
	for _, h := range listing.Hosts {
		err := checkEntry(names, "host "+string(h.Name), h.State, h.Name != "" && h.Region != "" && h.DataCentre != "",
			h.CallerAddress, h.PeerAddress, h.RelayAddress)
		if err != nil {
			return gw.Listing{}, err
		}
	}
	for _, s := range listing.Servers {
		complete := s.Name != "" && s.Service != "" && s.Region != "" && s.DataCentre != ""
		if err := checkEntry(names, "server "+string(s.Name), s.State, complete, s.Address); err != nil {
			return gw.Listing{}, err
		}
	}
	return *listing, nil
}

func checkEntry(names map[string]bool, name string, state gw.EntryState, complete bool, addresses ...string) error {
	if !complete {
		return eris.Wrapf(ErrBadListing, "%s lacks a name", name)
	}
	if names[name] {
		return eris.Wrapf(ErrBadListing, "%s is listed twice", name)
	}
	names[name] = true
	if state != gw.EntryLive && state != gw.EntryLeaving {
		return eris.Wrapf(ErrBadListing, "%s has state %q", name, state)
	}
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return eris.Wrapf(ErrBadListing, "%s: %v", name, err)
		}
	}
	return nil
}
