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

// source reads the configuration from the store for the feed.
type source struct {
	store  gw.Store
	reader *gwpublish.Reader
	// seen is the store's version of the manifest that was read last. Only the goroutine that calls Next uses it.
	seen gw.StoreVersion
}

func newSource(store gw.Store) *source {
	return &source{store: store, reader: gwpublish.NewReader(store)}
}

// Current implements gwfeed.Source.
func (s *source) Current(ctx context.Context) ([]gw.Item, error) {
	cfg, err := s.reader.Read(ctx)
	if err != nil {
		return nil, err
	}
	return configItems(cfg)
}

// Next implements gwfeed.Source.
func (s *source) Next(ctx context.Context, have map[gw.Topic]gw.ItemVersion) ([]gw.Item, error) {
	if have[gwtable.TopicConfig] == (gw.ItemVersion{}) {
		s.seen = 0
	}
	value, err := s.store.Watch(ctx, gwpublish.CurrentKey, s.seen)
	if errors.Is(err, gw.ErrNotFound) {
		return nil, waitUnpublished(ctx, err)
	}
	if err != nil {
		return nil, err
	}
	cfg, err := s.reader.Decode(ctx, value.Data)
	if err != nil {
		return nil, err
	}
	s.seen = value.Version
	return configItems(cfg)
}

// waitUnpublished delays err, since a watch of a key that does not exist returns at once.
func waitUnpublished(ctx context.Context, err error) error {
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
