package geraniumworks

import "context"

// MaxValueBytes is the largest value that the store accepts, in bytes.
const MaxValueBytes = 1 << 20

// StoreVersion is the version of one key in the store. Zero means that the key does not exist.
type StoreVersion uint64

// StoredValue is a value in the store with its version.
type StoredValue struct {
	Key     string
	Version StoreVersion
	Data    []byte
}

// Store is the platform's linearizable key-value store.
//
// The platform may restore it from a copy some seconds old; only then does it lose what it has acknowledged. The
// version of a key rises with each change, also across a restore: what Get, List and Watch return after one has higher
// versions than anything before, even if the value is older. CompareAndSwap with a version from before a restore fails
// with ErrConflict, as a *ConflictError if the current value is known. It fails with ErrWriteUnknown if the store was
// restored during the call.
//
// Every method fails with ErrStoreUnavailable when the call had no effect, and with the error of ctx when
// ctx ends first.
type Store interface {
	// Get returns the value under key, or ErrNotFound.
	Get(ctx context.Context, key string) (StoredValue, error)
	// List returns all values whose key starts with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]StoredValue, error)
	// CompareAndSwap writes data under key if the key's version is still expected (zero: the key must not
	// exist) and returns the new version. It fails with ErrConflict when the version differs, as a *ConflictError when
	// the store tells the value that it has, with
	// ErrValueTooLarge, and with ErrWriteUnknown when the answer was lost: the write may then be applied at
	// any later time, and only while the version is still expected.
	CompareAndSwap(ctx context.Context, key string, expected StoreVersion, data []byte) (StoreVersion, error)
	// Watch waits until the version under key is higher than after and returns the value. A waiting watch
	// counts as one call.
	Watch(ctx context.Context, key string, after StoreVersion) (StoredValue, error)
}

// ConfigSource is where operators publish configurations.
type ConfigSource interface {
	// Current returns the configuration in force. It waits for the first one until ctx ends.
	Current(ctx context.Context) (Config, error)
	// Next waits for a configuration that is newer than after, or for the end of ctx.
	Next(ctx context.Context, after ItemVersion) (Config, error)
}
