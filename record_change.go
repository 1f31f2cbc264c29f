package geraniumworks

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// changeColumns is the difference between two revisions of an assignment. A commit changes a few of some thousand
// ranges, so that hosts pass on the difference instead of the record.
type changeColumns struct {
	_        struct{} `cbor:",toarray"`
	Revision Revision
	WriteID  string
	// Cells replaces the cells when CellsChanged is set.
	CellsChanged bool
	Cells        []Cell
	// Removed are the starts of ranges that no longer exist. The other columns hold the ranges that are new or different,
	// as in recordColumns.
	Removed   []uint64
	Owners    []ServerName
	Firsts    []uint64
	OwnerOf   []int
	Tokens    []Revision
	Handovers []string
}

// EncodeChange returns what turns one revision of an assignment into another of the same key space. It refuses what
// EncodeAssignment refuses in the other revision.
func EncodeChange(from, to Assignment) ([]byte, error) {
	if from.KeySpace != to.KeySpace {
		return nil, eris.Wrapf(ErrBadRange, "change from key space %s to %s", from.KeySpace, to.KeySpace)
	}
	if err := to.checkEncodable(); err != nil {
		return nil, err
	}
	changed := Assignment{Revision: to.Revision, WriteID: to.WriteID}
	change := changeColumns{CellsChanged: !slices.Equal(from.Cells, to.Cells)}
	if change.CellsChanged {
		change.Cells = to.Cells
	}
	before := make(map[Position]OwnedRange, len(from.Ranges))
	for _, r := range from.Ranges {
		before[r.First] = r
	}
	for _, r := range to.Ranges {
		if old, ok := before[r.First]; !ok || old != r {
			changed.Ranges = append(changed.Ranges, r)
		}
		delete(before, r.First)
	}
	for _, first := range slices.Sorted(maps.Keys(before)) {
		change.Removed = append(change.Removed, uint64(first))
	}
	c := columnsOf(changed)
	change.Revision, change.WriteID = c.Revision, c.WriteID
	change.Owners, change.Firsts, change.OwnerOf = c.Owners, c.Firsts, c.OwnerOf
	change.Tokens, change.Handovers = c.Tokens, c.Handovers
	data, err := cbor.Marshal(change)
	return data, eris.Wrapf(err, "encode change of %s", to.KeySpace)
}

// WithChange returns the assignment after a change that EncodeChange has made from this revision. It returns
// ErrBadRange when the change does not fit. Fields that cannot be read are repaired, see RepairAssignment.
func (a Assignment) WithChange(data []byte) (Assignment, error) {
	var change changeColumns
	if err := recordDecoder.Unmarshal(data, &change); err != nil {
		return a, eris.Wrapf(err, "decode change of %s", a.KeySpace)
	}
	changed, err := recordColumns{
		KeySpace: a.KeySpace, Firsts: change.Firsts, Owners: change.Owners, OwnerOf: change.OwnerOf,
		Tokens: change.Tokens, Handovers: change.Handovers,
	}.assignment()
	if err != nil {
		return a, err
	}
	changed.Revision, changed.WriteID, changed.Cells = change.Revision, change.WriteID, change.Cells
	repairAssignment(&changed)
	next := a.WithRevision(changed.Revision, changed.WriteID)
	if change.CellsChanged {
		next.Cells = changed.Cells
	}
	next.Ranges = make([]OwnedRange, 0, len(a.Ranges)+len(changed.Ranges))
	removed, added := change.Removed, changed.Ranges
	for _, r := range a.Ranges {
		for len(added) > 0 && added[0].First < r.First {
			next.Ranges, added = append(next.Ranges, added[0]), added[1:]
		}
		switch {
		case len(removed) > 0 && removed[0] == uint64(r.First):
			removed = removed[1:]
		case len(added) > 0 && added[0].First == r.First:
			next.Ranges, added = append(next.Ranges, added[0]), added[1:]
		default:
			next.Ranges = append(next.Ranges, r)
		}
	}
	next.Ranges = append(next.Ranges, added...)
	if len(removed) > 0 {
		return a, eris.Wrapf(ErrBadRange, "change of %s removes a range that does not exist", a.KeySpace)
	}
	return next, next.Validate()
}
