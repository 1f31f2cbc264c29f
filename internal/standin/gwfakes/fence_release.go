package gwfakes

import (
	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
)

// Release stops new work for the ranges and refuses all lists below the revision from now on. The server may
// acknowledge once Released returns true. It fails with ErrMisaddressed, gw.ErrBadRange,
// gw.ErrOtherIncarnation, gw.ErrStaleEpoch or gw.ErrStaleRevision.
func (f *Fence) Release(r gw.Release) error {
	if err := f.checkSender(r.Server, r.KeySpace, r.Incarnation, r.Epoch); err != nil {
		return err
	}
	if err := f.checkSuperseded(r); err != nil {
		return err
	}
	if err := checkRanges(r.Ranges); err != nil {
		return err
	}
	f.epoch = r.Epoch
	f.floor = max(f.floor, r.Revision)
	f.ranges = subtract(f.ranges, r.Ranges)
	return nil
}

// Released reports whether no work for the ranges is running. It fails with gw.ErrOtherIncarnation or
// gw.ErrStaleRevision when the release has been superseded since Release accepted it.
func (f *Fence) Released(r gw.Release) (bool, error) {
	if r.Incarnation != f.incarnation {
		return false, eris.Wrapf(gw.ErrOtherIncarnation, "release for %s", r.Incarnation)
	}
	if err := f.checkSuperseded(r); err != nil {
		return false, err
	}
	for _, w := range f.running {
		for _, released := range r.Ranges {
			if w.work.HasKey && released.Contains(w.work.Position) {
				return false, nil
			}
		}
	}
	return true, nil
}

// checkSuperseded refuses a release when a list of its revision or a higher one was accepted: that list may
// contain the ranges again.
func (f *Fence) checkSuperseded(r gw.Release) error {
	if f.revision >= r.Revision {
		return eris.Wrapf(gw.ErrStaleRevision, "release for revision %d, list has %d", r.Revision, f.revision)
	}
	return nil
}
