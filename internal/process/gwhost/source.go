package gwhost

import (
	"context"
	"errors"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/process/gwtimer"
	"github.com/geraniumworks/geraniumworks/internal/version/gwpublish"
	"github.com/geraniumworks/geraniumworks/internal/version/gwtable"
)

// unpublishedDelay is the time between reads of the store while nothing has been published.
const unpublishedDelay = time.Second

// storeSource reads the configuration from the store for the feed.
type storeSource struct {
	store  gw.Store
	reader *gwpublish.Reader
	// manifestVersion is the store version of the manifest that was read last. Only the goroutine that calls Next uses it.
	manifestVersion gw.StoreVersion
}

func newStoreSource(store gw.Store) *storeSource {
	return &storeSource{store: store, reader: gwpublish.NewReader(store)}
}

// Current implements gwfeed.Source.
func (s *storeSource) Current(ctx context.Context) ([]gw.Item, error) {
	cfg, err := s.reader.Read(ctx)
	if err != nil {
		return nil, err
	}
	return configItems(cfg)
}

// Next implements gwfeed.Source.
func (s *storeSource) Next(ctx context.Context, have map[gw.Topic]gw.ItemVersion) ([]gw.Item, error) {
	if have[gwtable.TopicConfig] == (gw.ItemVersion{}) {
		s.manifestVersion = 0
	}
	value, err := s.store.Watch(ctx, gwpublish.CurrentKey, s.manifestVersion)
	if errors.Is(err, gw.ErrNotFound) {
		return nil, delayNotFound(ctx, err)
	}
	if err != nil {
		return nil, err
	}
	cfg, err := s.reader.Decode(ctx, value.Data)
	if err != nil {
		return nil, err
	}
	s.manifestVersion = value.Version
	return configItems(cfg)
}

// delayNotFound returns err after unpublishedDelay, since a watch of a key that does not exist returns at once.
func delayNotFound(ctx context.Context, err error) error {
	gwtimer.Sleep(ctx, unpublishedDelay)
	return err
}

func configItems(cfg gw.Config) ([]gw.Item, error) {
	item, err := gwtable.ConfigItem(cfg)
	if err != nil {
		return nil, err
	}
	return []gw.Item{item}, nil
}
