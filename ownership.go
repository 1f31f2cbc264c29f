package geraniumworks

import (
	"fmt"
	"slices"
	"sort"
	"strconv"

	"github.com/rotisserie/eris"
)

// Position is the place of a key in the hash space of its key space.
type Position uint64

// positionDigits is the number of hexadecimal digits in the text of a Position.
const positionDigits = 16

// MarshalText returns the position as 16 hexadecimal digits, since JSON numbers lose precision above 2^53.
func (p Position) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%0*x", positionDigits, uint64(p)), nil
}

// UnmarshalText reads 16 hexadecimal digits.
func (p *Position) UnmarshalText(text []byte) error {
	if len(text) != positionDigits {
		return eris.Wrapf(ErrBadRange, "position %q does not have %d hexadecimal digits", text, positionDigits)
	}
	n, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return eris.Wrapf(ErrBadRange, "position %q is not hexadecimal", text)
	}
	*p = Position(n)
	return nil
}

// String returns the position as 16 hexadecimal digits.
func (p Position) String() string {
	return fmt.Sprintf("%0*x", positionDigits, uint64(p))
}

// AllRegions is the region of a key space that spans all regions of its service.
const AllRegions RegionName = "all-regions"

// KeySpace identifies the keys of one service that reside in one region.
type KeySpace struct {
	Service ServiceName `json:"service"`
	Region  RegionName  `json:"region"`
}

// String returns service and region separated by a slash.
func (k KeySpace) String() string {
	return string(k.Service) + "/" + string(k.Region)
}

// CellID identifies the servers of one service in one data centre.
type CellID struct {
	Service    ServiceName    `json:"service"`
	DataCentre DataCentreName `json:"data-centre"`
}

// String returns service and data centre separated by a slash.
func (c CellID) String() string {
	return string(c.Service) + "/" + string(c.DataCentre)
}

// Range is an interval of positions. Last is included, so that the whole space can be expressed.
type Range struct {
	First Position `json:"first"`
	Last  Position `json:"last"`
}

// Contains reports whether p lies in the range.
func (r Range) Contains(p Position) bool {
	return r.First <= p && p <= r.Last
}

// Epoch counts the controllers of a cell.
type Epoch uint64

// Revision counts the commits to an assignment. It also serves as fencing token.
type Revision uint64

// OwnedRange is a range of an assignment. It ends before the First of the next one.
type OwnedRange struct {
	First Position `json:"first"`
	// Owner is empty while the range has no owner.
	Owner ServerName `json:"owner,omitempty"`
	// Token is the revision at which the owner got the range.
	Token Revision `json:"token"`
	// Handover is what the former owner gave out for the owner, empty when there is nothing.
	Handover string `json:"handover,omitempty"`
}

// Cell names the controller of a cell.
type Cell struct {
	DataCentre DataCentreName `json:"data-centre"`
	Epoch      Epoch          `json:"epoch"`
	Controller InstanceID     `json:"controller"`
	Host       HostName       `json:"host"`
	// Since is the revision at which the epoch began. Grants to servers with range fences bear at least this token,
	// so that a server that has one refuses the controllers before.
	Since Revision `json:"since,omitempty"`
	// PredecessorsStopped is set once the controller has proved that all controllers of earlier epochs have stopped, so
	// that those after it need not prove that again. They may know none of them, after all hosts have lost power.
	PredecessorsStopped bool `json:"predecessors-stopped,omitempty"`
}

// Assignment is the record of one key space: its ranges, their owners, and the controllers of its cells.
type Assignment struct {
	KeySpace KeySpace `json:"key-space"`
	Revision Revision `json:"revision"`
	// WriteID identifies the commit that wrote this revision, to recognise it after a lost answer.
	WriteID string       `json:"write-id"`
	Cells   []Cell       `json:"cells"`
	Ranges  []OwnedRange `json:"ranges"`
}

// NewAssignment returns revision zero of a key space: one range without owner, no cells.
func NewAssignment(space KeySpace) Assignment {
	return Assignment{KeySpace: space, Ranges: []OwnedRange{{}}}
}

// Validate returns ErrBadRange unless the ranges are sorted and cover the key space.
func (a Assignment) Validate() error {
	if len(a.Ranges) == 0 || a.Ranges[0].First != 0 {
		return eris.Wrapf(ErrBadRange, "key space %s is not covered from position 0", a.KeySpace)
	}
	for i := 1; i < len(a.Ranges); i++ {
		if a.Ranges[i].First <= a.Ranges[i-1].First {
			return eris.Wrapf(ErrBadRange, "key space %s: range %d is out of order", a.KeySpace, i)
		}
	}
	return nil
}

// Index returns the index of the range that contains p.
func (a Assignment) Index(p Position) int {
	return sort.Search(len(a.Ranges), func(i int) bool { return a.Ranges[i].First > p }) - 1
}

// At returns the range that contains p.
func (a Assignment) At(p Position) OwnedRange {
	return a.Ranges[a.Index(p)]
}

// Span returns the positions of the range with index i.
func (a Assignment) Span(i int) Range {
	last := ^Position(0)
	if i+1 < len(a.Ranges) {
		last = a.Ranges[i+1].First - 1
	}
	return Range{First: a.Ranges[i].First, Last: last}
}

// Granted returns the ranges owned by a server, ordered by position.
func (a Assignment) Granted(server ServerName) []GrantedRange {
	var ranges []GrantedRange
	for i, r := range a.Ranges {
		if r.Owner == server {
			ranges = append(ranges, GrantedRange{Range: a.Span(i), Token: r.Token, Handover: r.Handover})
		}
	}
	return ranges
}

// Cell returns the cell of a data centre.
func (a Assignment) Cell(dc DataCentreName) (Cell, bool) {
	for _, c := range a.Cells {
		if c.DataCentre == dc {
			return c, true
		}
	}
	return Cell{}, false
}

// WithRevision returns a copy with the revision and the id of the commit that writes it.
func (a Assignment) WithRevision(rev Revision, writeID string) Assignment {
	a.Revision = rev
	a.WriteID = writeID
	return a
}

// WithCell returns a copy in which the cell of c's data centre is c.
func (a Assignment) WithCell(c Cell) Assignment {
	cells := slices.DeleteFunc(slices.Clone(a.Cells), func(old Cell) bool { return old.DataCentre == c.DataCentre })
	cells = append(cells, c)
	slices.SortFunc(cells, func(x, y Cell) int {
		if x.DataCentre < y.DataCentre {
			return -1
		}
		return 1
	})
	a.Cells = cells
	return a
}

// WithOwner returns a copy in which the range that starts at first has the owner and the token. It returns
// ErrBadRange when no range starts there.
func (a Assignment) WithOwner(first Position, owner ServerName, token Revision) (Assignment, error) {
	i := a.Index(first)
	if a.Ranges[i].First != first {
		return a, eris.Wrapf(ErrBadRange, "no range of %s starts at %s", a.KeySpace, first)
	}
	ranges := slices.Clone(a.Ranges)
	ranges[i].Owner = owner
	ranges[i].Token = token
	ranges[i].Handover = ""
	a.Ranges = ranges
	return a, nil
}

// WithHandover returns a copy in which the range that contains p has what its former owner gave out.
func (a Assignment) WithHandover(p Position, handover string) Assignment {
	ranges := slices.Clone(a.Ranges)
	ranges[a.Index(p)].Handover = handover
	a.Ranges = ranges
	return a
}

// WithoutHandovers returns a copy without what former owners gave out, and whether there was anything.
func (a Assignment) WithoutHandovers() (Assignment, bool) {
	if !slices.ContainsFunc(a.Ranges, func(r OwnedRange) bool { return r.Handover != "" }) {
		return a, false
	}
	a.Ranges = slices.Clone(a.Ranges)
	for i := range a.Ranges {
		a.Ranges[i].Handover = ""
	}
	return a, true
}

// WithSplit returns a copy with a range that starts at p and keeps owner and token of the range it was cut
// from.
func (a Assignment) WithSplit(p Position) Assignment {
	i := a.Index(p)
	if a.Ranges[i].First == p {
		return a
	}
	cut := a.Ranges[i]
	cut.First = p
	a.Ranges = slices.Insert(slices.Clone(a.Ranges), i+1, cut)
	return a
}

// WithMerge returns a copy in which the range that starts at p is joined to the one before it. It returns
// ErrBadRange when p starts no range, or when the owners differ.
func (a Assignment) WithMerge(p Position) (Assignment, error) {
	i := a.Index(p)
	if i == 0 || a.Ranges[i].First != p || a.Ranges[i].Owner != a.Ranges[i-1].Owner {
		return a, eris.Wrapf(ErrBadRange, "range of %s at %s cannot be merged", a.KeySpace, p)
	}
	ranges := slices.Clone(a.Ranges)
	ranges[i-1].Token = max(ranges[i-1].Token, ranges[i].Token)
	ranges[i-1].Handover = ""
	a.Ranges = slices.Delete(ranges, i, i+1)
	return a, nil
}
