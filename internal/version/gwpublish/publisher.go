package gwpublish

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/process/gwtimer"
)

const (
	defaultAttempts = 8
	defaultBackoff  = 50 * time.Millisecond
	maxBackoff      = time.Second
)

// Publisher changes the configuration in force. Its methods return
//
//   - gwconfig.Errors when files, alone or together with those in force, are not valid,
//   - *Conflict when others changed the same file,
//   - *Refused when the change would move keys or leave nothing in service,
//   - ErrOutcomeUnknown when a write may or may not have been applied,
//   - ErrBusy when others kept publishing, and the errors of the store, when nothing was changed.
type Publisher struct {
	store    gw.Store
	reader   *Reader
	by, from string
	clock    gw.Clock
	attempts int
	backoff  time.Duration
	writeID  func() string
}

// New returns a Publisher.
func New(opts ...Option) *Publisher {
	p := &Publisher{
		clock: gw.SystemClock{}, attempts: defaultAttempts, backoff: defaultBackoff, writeID: uuid.NewString,
	}
	for _, opt := range opts {
		opt(p)
	}
	p.attempts = max(p.attempts, 1)
	p.reader = NewReader(p.store)
	return p
}

// State is the configuration in force with the manifest it was read from. Before the first publish all fields are
// empty.
type State struct {
	Manifest Manifest
	Config   gw.Config
	// Files holds the content of the manifest's files by path.
	Files map[string][]byte

	stored gw.StoreVersion
}

// Result is an accepted change.
type Result struct {
	// Version is the configuration version that holds the change.
	Version gw.ConfigVersion `json:"version"`
	// Changed is false when the configuration in force already was as asked.
	Changed bool `json:"changed"`
	// Files are the files that were changed.
	Files []FileChange `json:"files,omitempty"`
}

// State reads the configuration in force.
func (p *Publisher) State(ctx context.Context) (State, error) {
	var state State
	err := p.attempt(ctx, func() error {
		state = State{Files: map[string][]byte{}}
		value, err := p.store.Get(ctx, CurrentKey)
		if errors.Is(err, gw.ErrNotFound) {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "read the manifest")
		}
		state.stored = value.Version
		if state.Manifest, err = ParseManifest(value.Data); err != nil {
			return err
		}
		if state.Manifest.Format > manifestFormat {
			return eris.Wrapf(ErrLaterFormat, "format %d", state.Manifest.Format)
		}
		files, err := p.reader.Files(ctx, state.Manifest)
		if err != nil {
			return err
		}
		for _, ref := range state.Manifest.Files {
			state.Files[ref.Path] = files[ref.SHA256]
		}
		state.Config, err = state.Manifest.config(files)
		return err
	})
	return state, err
}

// plan is what a change makes of a state: the next manifest, without version, times and audit, and its entry.
type plan struct {
	manifest Manifest
	entry    Entry
	// contents holds the content of new files by hash.
	contents map[string][]byte
}

// commit makes a change: it plans it on the state in force, and plans it again when another change came first.
func (p *Publisher) commit(ctx context.Context, entry Entry, prepare func(State, *plan) error) (Result, error) {
	entry.WriteID = p.writeID()
	var last error
	// sent is the number of the audit entry under which the change was last sent without a clear answer, zero when
	// no write can still be applied.
	sent := uint64(0)
	for try := range p.attempts {
		if last = p.wait(ctx, try); last != nil {
			break
		}
		var state State
		if state, last = p.State(ctx); last != nil {
			break
		}
		if sent > 0 {
			var done Entry
			var found bool
			if done, found, last = p.find(ctx, state, entry.WriteID, sent); last != nil {
				continue
			}
			if found {
				return p.accepted(ctx, state, done)
			}
			if nextNumber(state) > sent {
				// The manifest has moved past the state that the write expects: it can no longer be applied.
				sent = 0
			}
		}
		next := &plan{manifest: state.Manifest, entry: entry, contents: map[string][]byte{}}
		if last = prepare(state, next); transient(last) || last != nil && sent > 0 {
			continue
		}
		if last != nil {
			p.recordRefusal(ctx, state, next.entry, last)
			return Result{}, last
		}
		if len(next.entry.Files) == 0 && next.entry.Target == nil {
			return Result{Version: state.Manifest.Version}, nil
		}
		next.manifest.Version++
		next.manifest.Publisher = p.by
		next.entry.Outcome = OutcomeAccepted
		var written Manifest
		var unclear bool
		written, unclear, last = p.write(ctx, state, next)
		if last == nil {
			return p.accepted(ctx, State{Manifest: written}, next.entry)
		}
		if unclear {
			sent = next.entry.Number
		} else if !transient(last) {
			break
		}
	}
	return Result{}, giveUp(last, sent, entry.WriteID)
}

func giveUp(last error, sent uint64, writeID string) error {
	switch {
	case sent > 0:
		return eris.Wrapf(ErrOutcomeUnknown, "write id %s, last error: %v", writeID, last)
	case errors.Is(last, gw.ErrConflict):
		return ErrBusy
	default:
		return last
	}
}

// write stores new files, the audit record of the state, and last the manifest. Unclear is set when the manifest may
// be replaced in spite of the error.
func (p *Publisher) write(ctx context.Context, state State, next *plan) (m Manifest, unclear bool, err error) {
	for hash, data := range next.contents {
		if err = p.putFile(ctx, hash, data); err != nil {
			return m, false, err
		}
	}
	if state.stored != 0 {
		if err = p.complete(ctx, state.Manifest.Audit); err != nil {
			return m, false, err
		}
	}
	m = next.manifest
	m.Format = manifestFormat
	now := p.clock.Now().UTC()
	next.entry.Number = nextNumber(state)
	next.entry.Previous = state.Manifest.Audit.SHA256
	next.entry.By, next.entry.From, next.entry.At = p.by, p.from, now
	next.entry.Before, next.entry.After = state.Manifest.Version, m.Version
	if m.Version != state.Manifest.Version {
		m.PublishedAt = now
	}
	if m.Audit, err = newRecord(next.entry); err != nil {
		return m, false, err
	}
	m.WriteID = next.entry.WriteID
	data, err := json.Marshal(m)
	if err != nil {
		return m, false, eris.Wrap(err, "encode the manifest")
	}
	if len(data) > gw.MaxValueBytes {
		return m, false, eris.Wrapf(ErrTooLarge, "manifest would have %d bytes, the store accepts %d",
			len(data), gw.MaxValueBytes)
	}
	_, err = p.store.CompareAndSwap(ctx, CurrentKey, state.stored, data)
	return m, err != nil && !withoutEffect(err), eris.Wrap(err, "replace the manifest")
}

// withoutEffect reports whether a compare-and-swap that failed with err has no effect now or later. A call whose
// context ended may still have one.
func withoutEffect(err error) bool {
	return errors.Is(err, gw.ErrStoreUnavailable) || errors.Is(err, gw.ErrConflict) ||
		errors.Is(err, gw.ErrCallBudget) || errors.Is(err, gw.ErrValueTooLarge)
}

func (p *Publisher) putFile(ctx context.Context, hash string, data []byte) error {
	return p.attempt(ctx, func() error {
		_, err := p.store.CompareAndSwap(ctx, FileKey(hash), 0, data)
		if errors.Is(err, gw.ErrConflict) {
			return nil
		}
		return eris.Wrap(err, "store a file")
	})
}

// find looks for a change by its write id. Since everyone who replaces a manifest first stores its audit record,
// a change that was accepted and then followed by others is found in the audit trail.
func (p *Publisher) find(ctx context.Context, state State, writeID string, from uint64) (Entry, bool, error) {
	var done Entry
	if state.stored == 0 {
		return done, false, nil
	}
	err := p.attempt(ctx, func() error {
		return walk(ctx, p.store, state.Manifest, func(e Entry) bool {
			if e.WriteID == writeID {
				done = e
			}
			return e.Number > from && done.Number == 0
		})
	})
	return done, done.Number > 0, err
}

func (p *Publisher) accepted(ctx context.Context, state State, entry Entry) (Result, error) {
	// The record is in the manifest, and the next change stores it if this fails.
	_ = p.complete(ctx, state.Manifest.Audit)
	return Result{Version: entry.After, Changed: true, Files: entry.Files}, nil
}

// recordRefusal adds a refused change to the audit trail, once: a program that repeats a refused change does not
// fill the store. A refusal that cannot be recorded is still a refusal.
func (p *Publisher) recordRefusal(ctx context.Context, state State, entry Entry, reason error) {
	var conflict *Conflict
	var refused *Refused
	if state.stored == 0 || !errors.As(reason, &conflict) && !errors.As(reason, &refused) {
		return
	}
	entry.Outcome, entry.Refusal = OutcomeRefused, clip(reason.Error())
	last, err := state.Manifest.Audit.Decode()
	if err != nil || last.Outcome == OutcomeRefused && last.By == p.by && last.Refusal == entry.Refusal {
		return
	}
	// A write id of its own, so that the record is never taken for the change.
	entry.WriteID = p.writeID()
	if m, _, err := p.write(ctx, state, &plan{manifest: state.Manifest, entry: entry}); err == nil {
		_ = p.complete(ctx, m.Audit)
	}
}

func nextNumber(state State) uint64 {
	if state.stored == 0 {
		return 1
	}
	entry, err := state.Manifest.Audit.Decode()
	if err != nil {
		return 0
	}
	return entry.Number + 1
}

func transient(err error) bool {
	return errors.Is(err, gw.ErrStoreUnavailable) || errors.Is(err, gw.ErrWriteUnknown) ||
		errors.Is(err, gw.ErrConflict) || errors.Is(err, gw.ErrCallBudget)
}

// attempt calls f until it succeeds, fails for good, or the attempts are used up.
func (p *Publisher) attempt(ctx context.Context, f func() error) error {
	var err error
	for try := range p.attempts {
		if waitErr := p.wait(ctx, try); waitErr != nil {
			return waitErr
		}
		if err = f(); err == nil || !transient(err) {
			return err
		}
	}
	return err
}

// wait backs off before the attempt with the index try, none before the first.
func (p *Publisher) wait(ctx context.Context, try int) error {
	if try == 0 || p.backoff == 0 {
		return ctx.Err()
	}
	d := min(p.backoff<<min(try-1, 10), maxBackoff)
	if !gwtimer.Sleep(ctx, d/2+rand.N(d/2+1)) {
		return ctx.Err()
	}
	return nil
}

func clip(text string) string {
	if len(text) > maxTextBytes {
		return fmt.Sprintf("%s...", text[:maxTextBytes-3])
	}
	return text
}
