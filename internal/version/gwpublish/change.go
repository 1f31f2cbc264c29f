package gwpublish

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/version/gwconfig"
)

// Change is a change of files.
type Change struct {
	// Base is the version that the change started from: files that others changed after it are not overwritten.
	// Zero is the state before the first publish.
	Base gw.ConfigVersion
	// Files are new or replace files with the same path; all other files stay as they are.
	Files []gwconfig.Source
	// Remove lists paths of files to remove.
	Remove []string
	Reason string
	// Force accepts a change that leaves a service or tenant without a data centre in service.
	Force bool
}

// Publish makes a change of files. Files that are in force as given already are left out of the change.
func (p *Publisher) Publish(ctx context.Context, change Change) (Result, error) {
	if len(change.Files)+len(change.Remove) > maxChanges {
		return Result{}, eris.Wrapf(ErrTooLarge, "one change can hold %d files, this one has %d; publish in parts",
			maxChanges, len(change.Files)+len(change.Remove))
	}
	if path := repeated(change); path != "" {
		return Result{}, eris.Errorf("file %s is given twice", path)
	}
	entry := Entry{Action: ActionPublish, Reason: clip(change.Reason), Forced: change.Force}
	return p.commit(ctx, entry, func(state State, next *plan) error {
		contents := map[string][]byte{}
		var edits []FileChange
		for _, src := range change.Files {
			contents[src.Path] = src.Data
			edits = append(edits, FileChange{Path: src.Path, After: Hash(src.Data)})
		}
		for _, path := range change.Remove {
			if state.Manifest.hashOf(path) == "" && change.Base >= state.Manifest.Version {
				return eris.Wrapf(ErrNotListed, "file %s cannot be removed", path)
			}
			edits = append(edits, FileChange{Path: path})
		}
		return p.edit(ctx, state, change.Base, edits, contents, next)
	})
}

// repeated returns a path that a change names twice, empty when there is none.
func repeated(change Change) string {
	seen := map[string]bool{}
	paths := slices.Clone(change.Remove)
	for _, src := range change.Files {
		paths = append(paths, src.Path)
	}
	for _, path := range paths {
		if seen[path] {
			return path
		}
		seen[path] = true
	}
	return ""
}

// Rollback restores the files of an earlier version in a new version. What is out of service stays so. Files that
// others changed after base are not overwritten.
func (p *Publisher) Rollback(
	ctx context.Context, to, base gw.ConfigVersion, reason string, force bool,
) (Result, error) {
	entry := Entry{Action: ActionRollback, Reason: clip(reason), RolledBackTo: to, Forced: force}
	return p.commit(ctx, entry, func(state State, next *plan) error {
		edits, err := p.undo(ctx, state, to, base)
		if err != nil {
			return err
		}
		contents := map[string][]byte{}
		for _, e := range edits {
			if e.After == "" {
				continue
			}
			value, err := p.store.Get(ctx, FileKey(e.After))
			if err != nil {
				return eris.Wrapf(err, "read file %s of version %d", e.Path, to)
			}
			contents[e.Path] = value.Data
		}
		return p.edit(ctx, state, base, edits, contents, next)
	})
}

// undo returns the edits that lead from version base back to version to, by walking the audit trail.
func (p *Publisher) undo(ctx context.Context, state State, to, base gw.ConfigVersion) ([]FileChange, error) {
	if to == 0 || to > state.Manifest.Version || base > state.Manifest.Version || to > base {
		return nil, eris.Wrapf(ErrNoVersion, "version %d", max(to, base))
	}
	before := map[string]string{}
	err := walk(ctx, p.store, state.Manifest, func(e Entry) bool {
		if e.After <= to {
			return false
		}
		if e.After <= base {
			for _, f := range e.accepted() {
				before[f.Path] = f.Before
			}
		}
		return true
	})
	if err != nil {
		return nil, err
	}
	edits := make([]FileChange, 0, len(before))
	for path, hash := range before {
		edits = append(edits, FileChange{Path: path, After: hash})
	}
	if len(edits) > maxChanges {
		return nil, eris.Wrapf(ErrTooLarge, "rollback would change %d files, one change can hold %d",
			len(edits), maxChanges)
	}
	return edits, nil
}

// edit applies edits to a state after checking for conflicts, validity, residence and service.
func (p *Publisher) edit(
	ctx context.Context, state State, base gw.ConfigVersion, edits []FileChange, contents map[string][]byte, next *plan,
) error {
	if base > state.Manifest.Version {
		return eris.Wrapf(ErrNoVersion, "version %d as base", base)
	}
	slices.SortFunc(edits, func(a, b FileChange) int { return cmp.Compare(a.Path, b.Path) })
	for _, e := range edits {
		e.Before = state.Manifest.hashOf(e.Path)
		if e.Before == e.After {
			continue
		}
		next.manifest = next.manifest.withFile(e.Path, e.After)
		next.entry.Files = append(next.entry.Files, e)
		if e.After != "" {
			next.contents[e.After] = contents[e.Path]
		}
	}
	if err := p.conflicts(ctx, state, base, next.entry.Files); err != nil {
		return err
	}
	var sources []gwconfig.Source
	for _, ref := range next.manifest.Files {
		data, ok := next.contents[ref.SHA256]
		if !ok {
			data = state.Files[ref.Path]
		}
		sources = append(sources, gwconfig.Source{Path: ref.Path, Data: data})
	}
	cfg, err := gwconfig.Load(sources)
	if err != nil {
		return err
	}
	cfg.OutOfService = state.Manifest.OutOfService
	reasons, retired := checkResidence(state.Config, cfg, state.Manifest.Retired)
	if reasons = append(reasons, replaced(state, sources)...); len(reasons) > 0 {
		return &Refused{Reasons: reasons}
	}
	next.manifest.Retired = retired
	return guard(state.Config, cfg, next.entry.Forced)
}

// replaced finds files that now hold another service than before, which would remove a service that the publisher
// did not name, for example when two teams use the same path.
func replaced(state State, sources []gwconfig.Source) []string {
	var reasons []string
	for _, src := range sources {
		data, ok := state.Files[src.Path]
		if !ok {
			continue
		}
		before, _ := gwconfig.Parse(gwconfig.Source{Path: src.Path, Data: data})
		after, _ := gwconfig.Parse(src)
		if before == nil || after == nil || holds(before) == holds(after) {
			continue
		}
		reasons = append(reasons, fmt.Sprintf("%s holds %s in force and %s now; publish the new one under another path "+
			"and remove the old one with --remove", src.Path, holds(before), holds(after)))
	}
	return reasons
}

func holds(f *gwconfig.File) string {
	if f.Site() {
		return "the site"
	}
	return "service " + string(f.Service.Name)
}

// guard refuses a change that leaves without a data centre in service what has one now.
func guard(cur, next gw.Config, force bool) error {
	was := bare(cur)
	reasons := slices.DeleteFunc(bare(next), func(reason string) bool { return slices.Contains(was, reason) })
	if len(reasons) == 0 || force {
		return nil
	}
	return &Refused{Reasons: reasons, Forceable: true}
}

// conflicts returns a Conflict when one of the files was changed after base.
func (p *Publisher) conflicts(ctx context.Context, state State, base gw.ConfigVersion, files []FileChange) error {
	if base >= state.Manifest.Version || len(files) == 0 {
		return nil
	}
	conflict := &Conflict{Base: base}
	err := walk(ctx, p.store, state.Manifest, func(e Entry) bool {
		if e.After <= base {
			return false
		}
		for _, f := range e.accepted() {
			known := slices.ContainsFunc(conflict.Files, func(c ConflictFile) bool { return c.Path == f.Path })
			if !known && slices.ContainsFunc(files, func(x FileChange) bool { return x.Path == f.Path }) {
				conflict.Files = append(conflict.Files, ConflictFile{Path: f.Path, By: e.By, At: e.At, Version: e.After})
			}
		}
		return true
	})
	if err != nil {
		return err
	}
	if len(conflict.Files) > 0 {
		return conflict
	}
	return nil
}
