package gwhost

import (
	gw "github.com/geraniumworks/geraniumworks"
)

// topicListing is the topic of the newest reading of the host list.
const topicListing gw.Topic = "listing"

// keepListing passes a newer reading of the host list on to the hosts that pull from this one.
func (h *Host) keepListing(listing gw.Listing) {
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

// offerListing takes over a reading of another host.
func (h *Host) offerListing(item gw.Item) error {
	var listing gw.Listing
	if err := item.Decode(&listing); err != nil {
		return err
	}
	h.members.Offer(listing)
	return nil
}
