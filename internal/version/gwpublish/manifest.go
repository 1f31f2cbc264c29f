package gwpublish

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/version/gwconfig"
)

// manifestFormat is the format of manifests that this version of the program writes.
const manifestFormat = 1

// Manifest is the value under CurrentKey. Each write of it is a compare-and-swap on its store version.
type Manifest struct {
	// Format is raised when a field is added that a publisher must not drop. A publisher leaves a manifest with a
	// higher format than its own alone; readers ignore it.
	Format      int              `json:"format"`
	Version     gw.ConfigVersion `json:"version"`
	Publisher   string           `json:"publisher"`
	PublishedAt time.Time        `json:"published-at"`
	// WriteID identifies the last write, to recognise it after a lost answer. It differs between two values of the
	// same version when the later one only records a refusal.
	WriteID      string            `json:"write-id"`
	Files        []FileRef         `json:"files"`
	OutOfService []gw.OutOfService `json:"out-of-service,omitempty"`
	Retired      Retired           `json:"retired,omitzero"`
	// Audit is the audit record of the last write. Whoever replaces the manifest first makes sure that the record
	// is stored with the others, so that no record is lost when a publisher stops between the two writes.
	Audit Record `json:"audit"`
}

// FileRef is a file of a manifest.
type FileRef struct {
	Path   string `json:"path"`
	SHA256 string `json:"sha256"`
	// Key is the file's key in the store.
	Key string `json:"key"`
}

// Hash returns the SHA-256 of data in hexadecimal digits.
func Hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// FileKey returns the key in the store of the file with the hash.
func FileKey(hash string) string {
	return fileKeys + hash
}

// ParseManifest reads a manifest. It returns ErrDamaged when data is not a manifest.
func ParseManifest(data []byte) (Manifest, error) {
	var m Manifest
	if err := json.Unmarshal(data, &m); err != nil {
		return Manifest{}, eris.Wrapf(ErrDamaged, "manifest cannot be read: %v", err)
	}
	if m.Version == 0 {
		return Manifest{}, eris.Wrap(ErrDamaged, "manifest has no version")
	}
	return m, nil
}

// Decode returns the configuration of a manifest whose files are given by hash, for a host that gets both from a
// relay. It returns ErrDamaged when a file is absent or does not match its hash, and gwconfig.Errors when it cannot
// be read.
func Decode(manifest []byte, files map[string][]byte) (gw.Config, error) {
	m, err := ParseManifest(manifest)
	if err != nil {
		return gw.Config{}, err
	}
	return m.config(files)
}

func (m Manifest) config(files map[string][]byte) (gw.Config, error) {
	sources, err := m.sources(files)
	if err != nil {
		return gw.Config{}, err
	}
	cfg, err := gwconfig.LoadPublished(sources)
	if err != nil {
		return gw.Config{}, err
	}
	cfg.Version = m.Version
	cfg.OutOfService = slices.Clone(m.OutOfService)
	return cfg, nil
}

func (m Manifest) sources(files map[string][]byte) ([]gwconfig.Source, error) {
	sources := make([]gwconfig.Source, 0, len(m.Files))
	for _, ref := range m.Files {
		data, ok := files[ref.SHA256]
		if !ok || Hash(data) != ref.SHA256 {
			return nil, eris.Wrapf(ErrDamaged, "file %s is absent or does not match its hash", ref.Path)
		}
		sources = append(sources, gwconfig.Source{Path: ref.Path, Data: data})
	}
	return sources, nil
}

// hashOf returns the hash of the file with the path, empty when the manifest does not list it.
func (m Manifest) hashOf(path string) string {
	for _, ref := range m.Files {
		if ref.Path == path {
			return ref.SHA256
		}
	}
	return ""
}

// withFile returns a copy in which the file has the hash; an empty hash removes it.
func (m Manifest) withFile(path, hash string) Manifest {
	m.Files = slices.DeleteFunc(slices.Clone(m.Files), func(ref FileRef) bool { return ref.Path == path })
	if hash != "" {
		m.Files = append(m.Files, FileRef{Path: path, SHA256: hash, Key: FileKey(hash)})
	}
	slices.SortFunc(m.Files, func(a, b FileRef) int { return cmp.Compare(a.Path, b.Path) })
	return m
}
