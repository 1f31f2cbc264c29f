package gwpublish

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
)

// Reader reads configuration from the store and caches the files of the last manifest by hash.
type Reader struct {
	store gw.Store
	mu    sync.Mutex
	files map[string][]byte
}

// NewReader returns a Reader for a store.
func NewReader(store gw.Store) *Reader {
	return &Reader{store: store}
}

// Read returns the configuration in force. It returns gw.ErrNotFound when nothing was published yet, the errors of
// the store, and those of Decode.
func Read(ctx context.Context, store gw.Store) (gw.Config, error) {
	return NewReader(store).Read(ctx)
}

// Read returns the configuration in force, as the function Read does. Only files that are not cached are read.
func (r *Reader) Read(ctx context.Context) (gw.Config, error) {
	value, err := r.store.Get(ctx, CurrentKey)
	if err != nil {
		return gw.Config{}, eris.Wrap(err, "read the manifest")
	}
	return r.Decode(ctx, value.Data)
}

// Decode returns the configuration of a manifest that the caller got from a watch on CurrentKey.
func (r *Reader) Decode(ctx context.Context, manifest []byte) (gw.Config, error) {
	m, err := ParseManifest(manifest)
	if err != nil {
		return gw.Config{}, err
	}
	files, err := r.Files(ctx, m)
	if err != nil {
		return gw.Config{}, err
	}
	return m.config(files)
}

// Files returns the content of a manifest's files by hash, for a relay that passes them on. The map must not be
// changed.
func (r *Reader) Files(ctx context.Context, m Manifest) (map[string][]byte, error) {
	r.mu.Lock()
	cached := r.files
	r.mu.Unlock()
	files := make(map[string][]byte, len(m.Files))
	for _, ref := range m.Files {
		if data, ok := cached[ref.SHA256]; ok {
			files[ref.SHA256] = data
			continue
		}
		value, err := r.store.Get(ctx, FileKey(ref.SHA256))
		if err != nil {
			return nil, eris.Wrapf(err, "read file %s", ref.Path)
		}
		if Hash(value.Data) != ref.SHA256 {
			return nil, eris.Wrapf(ErrDamaged, "file %s does not match its hash", ref.Path)
		}
		files[ref.SHA256] = value.Data
	}
	r.mu.Lock()
	r.files = files
	r.mu.Unlock()
	return files, nil
}
