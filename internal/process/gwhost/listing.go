package gwhost

import (
	gw "github.com/geraniumworks/geraniumworks"
)

// topicListing is the topic of the latest listing, a reading of the host list.
const topicListing gw.Topic = "listing"

// distributeListing passes a newer listing on to the hosts that pull from this one. A listing without a revision cannot
// be ordered, so it is not passed on.
func (h *Host) distributeListing(listing gw.Listing) {
	if listing.Revision == 0 {
		return
	}
	item, err := gw.NewItem(topicListing, gw.ItemVersion{Sequence: listing.Revision}, listing)
	if err == nil {
		err = h.feed.Keep(item)
	}
	if err != nil {
		h.log.Error("listing was not passed on", "revision", listing.Revision, "error", err)
	}
}

// applyRemoteListing applies a listing that another host has read.
func (h *Host) applyRemoteListing(item gw.Item) error {
	var listing gw.Listing
	if err := item.Decode(&listing); err != nil {
		return err
	}
	h.members.ApplyRemote(listing)
	return nil
}
