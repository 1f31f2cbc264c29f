package gwpublish

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
)

const (
	// batchEntries is the number of audit entries under one key. With maxChanges and the bounds on texts an entry
	// stays under 48 KiB, and a batch under gw.MaxValueBytes.
	batchEntries = 16
	// maxChanges bounds the files of one change.
	maxChanges = 100
	// maxTextBytes bounds each free text of an audit entry.
	maxTextBytes = 500
)

// Action is the kind of a change.
type Action string

// Actions of the audit trail.
const (
	ActionPublish  Action = "publish"
	ActionRollback Action = "rollback"
	ActionOut      Action = "out"
	ActionIn       Action = "in"
)

// Outcomes of the audit trail.
const (
	OutcomeAccepted = "accepted"
	OutcomeRefused  = "refused"
)

// FileChange is the change of one file. An empty hash stands for no file.
type FileChange struct {
	Path   string `json:"path"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Entry is an entry of the audit trail. It holds nothing of any request.
type Entry struct {
	// Number counts the entries from one.
	Number uint64 `json:"number"`
	// Previous is the SHA-256 of the entry before, empty for the first one.
	Previous string    `json:"previous"`
	Action   Action    `json:"action"`
	By       string    `json:"by"`
	From     string    `json:"from"`
	At       time.Time `json:"at"`
	// Before and After are the versions before and after; they are equal when the change was refused.
	Before  gw.ConfigVersion `json:"before"`
	After   gw.ConfigVersion `json:"after"`
	Outcome string           `json:"outcome"`
	Forced  bool             `json:"forced,omitempty"`
	// Reason is the operator's reason, Refusal the system's.
	Reason  string `json:"reason,omitempty"`
	Refusal string `json:"refusal,omitempty"`
	WriteID string `json:"write-id"`
	// Files are the changed files, or those that a refused change would have changed.
	Files []FileChange `json:"files,omitempty"`
	// Target is what was taken out of service or put back.
	Target *gw.OutOfService `json:"target,omitempty"`
	// RolledBackTo is the version whose files a rollback restored.
	RolledBackTo gw.ConfigVersion `json:"rolled-back-to,omitempty"`
}

// accepted returns the files that the entry changed.
func (e Entry) accepted() []FileChange {
	if e.Outcome != OutcomeAccepted {
		return nil
	}
	return e.Files
}

// Record is an audit entry as stored, with the SHA-256 of its exact bytes.
type Record struct {
	SHA256 string          `json:"sha256"`
	Entry  json.RawMessage `json:"entry"`
}

func newRecord(e Entry) (Record, error) {
	data, err := json.Marshal(e)
	if err != nil {
		return Record{}, eris.Wrap(err, "encode the audit entry")
	}
	return Record{SHA256: Hash(data), Entry: data}, nil
}

// Decode returns the entry. It returns ErrDamaged when the entry does not match its hash.
func (r Record) Decode() (Entry, error) {
	var e Entry
	if Hash(r.Entry) != r.SHA256 {
		return e, eris.Wrap(ErrDamaged, "audit entry does not match its hash")
	}
	if err := json.Unmarshal(r.Entry, &e); err != nil {
		return e, eris.Wrapf(ErrDamaged, "audit entry cannot be read: %v", err)
	}
	return e, nil
}

// batchKey returns the key of the batch that holds the entry with the number, and the entry's index in it.
func batchKey(number uint64) (string, int) {
	return fmt.Sprintf("%s%010d", auditKeys, (number-1)/batchEntries), int((number - 1) % batchEntries)
}

func getBatch(ctx context.Context, store gw.Store, number uint64) (batch []Record, value gw.StoredValue, err error) {
	key, _ := batchKey(number)
	value, err = store.Get(ctx, key)
	if errors.Is(err, gw.ErrNotFound) {
		return nil, gw.StoredValue{Key: key}, nil
	}
	if err != nil {
		return nil, value, eris.Wrapf(err, "read audit entries under %s", key)
	}
	if err = json.Unmarshal(value.Data, &batch); err != nil {
		return nil, value, eris.Wrapf(ErrDamaged, "audit entries under %s cannot be read: %v", key, err)
	}
	return batch, value, nil
}

// complete stores the record unless it is stored already.
func (p *Publisher) complete(ctx context.Context, rec Record) error {
	entry, err := rec.Decode()
	if err != nil {
		return err
	}
	_, index := batchKey(entry.Number)
	return p.attempt(ctx, func() error {
		batch, value, err := getBatch(ctx, p.store, entry.Number)
		switch {
		case err != nil:
			return err
		case index < len(batch) && batch[index].SHA256 == rec.SHA256:
			return nil
		case index != len(batch):
			return eris.Wrapf(ErrDamaged, "audit entries under %s do not lead to entry %d", value.Key, entry.Number)
		}
		data, err := json.Marshal(append(batch, rec))
		if err != nil {
			return eris.Wrap(err, "encode audit entries")
		}
		_, err = p.store.CompareAndSwap(ctx, value.Key, value.Version, data)
		return eris.Wrapf(err, "store audit entry %d", entry.Number)
	})
}

// walk calls visit for the entries from the manifest's own back to the first, until visit returns false. It checks
// the chain on its way and returns ErrDamaged where it is broken.
func walk(ctx context.Context, store gw.Store, m Manifest, visit func(Entry) bool) error {
	entry, err := m.Audit.Decode()
	if err != nil {
		return err
	}
	var batch []Record
	for first := true; visit(entry) && entry.Number > 1; {
		number := entry.Number - 1
		_, index := batchKey(number)
		if first || index == batchEntries-1 {
			if batch, _, err = getBatch(ctx, store, number); err != nil {
				return err
			}
			first = false
		}
		if index >= len(batch) || batch[index].SHA256 != entry.Previous {
			return eris.Wrapf(ErrDamaged, "audit entry %d is absent or does not match the hash in entry %d",
				number, entry.Number)
		}
		if entry, err = batch[index].Decode(); err != nil {
			return err
		}
		if entry.Number != number {
			return eris.Wrapf(ErrDamaged, "audit entry %d has number %d", number, entry.Number)
		}
	}
	return nil
}

// Audit returns the last entries, newest first, at most limit of them (zero: all), and checks that they form a
// chain from the manifest in force. It returns the entries up to the place where the chain is broken together with
// ErrDamaged.
func Audit(ctx context.Context, store gw.Store, limit int) ([]Entry, error) {
	value, err := store.Get(ctx, CurrentKey)
	if errors.Is(err, gw.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "read the manifest")
	}
	m, err := ParseManifest(value.Data)
	if err != nil {
		return nil, err
	}
	var entries []Entry
	err = walk(ctx, store, m, func(e Entry) bool {
		entries = append(entries, e)
		return limit <= 0 || len(entries) < limit
	})
	return entries, err
}
