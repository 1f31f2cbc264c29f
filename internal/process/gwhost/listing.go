package gwhost

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
)

// topicListing is the topic of the newest reading of the host list.
const topicListing gw.Topic = "listing"

// keepListing passes a newer reading of the host list on to the hosts that pull from this one.
func (h *Host) keepListing(listing gw.Listing) {
	if listing.Revision == 0 {
		return
	}
	data, err := json.Marshal(listing)
	if err == nil {
		err = h.feed.Keep(gw.Item{
			Topic: topicListing, Version: gw.ItemVersion{Sequence: listing.Revision}, Data: data,
		})
	}
	if err != nil {
		h.log.Error("listing was not passed on", "revision", listing.Revision, "error", err)
	}
}

// offerListing takes over a reading of another host.
func (h *Host) offerListing(item gw.Item) error {
	var listing gw.Listing
	if err := json.Unmarshal(item.Data, &listing); err != nil {
		return eris.Wrapf(err, "decode item %s", item.Topic)
	}
	h.members.Offer(listing)
	return nil
}
