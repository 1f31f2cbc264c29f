package gwhost

import (
	"context"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwstore"
)

// Purposes of calls to the store. Metrics and read budgets distinguish calls by purpose.
const (
	purposeAssignment    gwstore.Purpose = "assignment"
	purposeConfiguration gwstore.Purpose = "configuration"
)

const (
	// assignmentReadsPerSecond limits the reads of one process for the cells that it controls or may take over. Each cell
	// needs a read every 10 s. 30 cells of a region that all change controllers at once briefly need ten times as many.
	assignmentReadsPerSecond = 10
	assignmentReadBurst      = 100
	// configurationReadsPerSecond limits the reads of one distributor, a host that passes configurations on to the other
	// hosts of its data centre. A configuration with many files is read file by file.
	configurationReadsPerSecond = 10
	configurationReadBurst      = 200
)

// purposeStore marks all calls to a store with one purpose.
type purposeStore struct {
	gw.Store
	purpose gwstore.Purpose
}

// Get implements gw.Store.
func (s purposeStore) Get(ctx context.Context, key string) (gw.StoredValue, error) {
	return s.Store.Get(gwstore.WithPurpose(ctx, s.purpose), key)
}

// List implements gw.Store.
func (s purposeStore) List(ctx context.Context, prefix string) ([]gw.StoredValue, error) {
	return s.Store.List(gwstore.WithPurpose(ctx, s.purpose), prefix)
}

// CompareAndSwap implements gw.Store.
func (s purposeStore) CompareAndSwap(
	ctx context.Context, key string, expected gw.StoreVersion, data []byte,
) (gw.StoreVersion, error) {
	return s.Store.CompareAndSwap(gwstore.WithPurpose(ctx, s.purpose), key, expected, data)
}

// Watch implements gw.Store.
func (s purposeStore) Watch(ctx context.Context, key string, after gw.StoreVersion) (gw.StoredValue, error) {
	return s.Store.Watch(gwstore.WithPurpose(ctx, s.purpose), key, after)
}
