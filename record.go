package geraniumworks

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// packedRecord is the first byte of a record that is packed: compressed CBOR. JSON begins with another one.
const packedRecord = 0

// packRangesAbove is the number of ranges from which a record is packed: about 1 KB of JSON.
const packRangesAbove = 8

// recordColumns is an assignment with a column for each field of its ranges. With 1,000 ranges it is read ten times as
// fast as JSON, which every host does at each commit.
type recordColumns struct {
	_        struct{} `cbor:",toarray"`
	KeySpace KeySpace
	Revision Revision
	WriteID  string
	Cells    []Cell
	// Owners are the distinct owners of ranges; OwnerOf holds an index into them for each range.
	Owners    []ServerName
	Firsts    []uint64
	OwnerOf   []int
	Tokens    []Revision
	Handovers []string
}

// EncodeAssignment returns an assignment as the store holds it and as hosts pass it on: as JSON, and packed when it is
// large, since it is written and sent whole at each commit, between regions too.
func EncodeAssignment(a Assignment) ([]byte, error) {
	if len(a.Ranges) <= packRangesAbove {
		data, err := json.Marshal(a)
		return data, eris.Wrapf(err, "encode assignment of %s", a.KeySpace)
	}
	data, err := cbor.Marshal(columnsOf(a))
	if err != nil {
		return nil, eris.Wrapf(err, "encode assignment of %s", a.KeySpace)
	}
	packed, err := pack(data)
	if err != nil {
		return nil, eris.Wrapf(err, "pack assignment of %s", a.KeySpace)
	}
	return append([]byte{packedRecord}, packed...), nil
}

func columnsOf(a Assignment) recordColumns {
	n := len(a.Ranges)
	c := recordColumns{
		KeySpace: a.KeySpace, Revision: a.Revision, WriteID: a.WriteID, Cells: a.Cells,
		Firsts: make([]uint64, n), OwnerOf: make([]int, n), Tokens: make([]Revision, n), Handovers: make([]string, n),
	}
	index := map[ServerName]int{}
	for i, r := range a.Ranges {
		owner, ok := index[r.Owner]
		if !ok {
			owner = len(c.Owners)
			index[r.Owner] = owner
			c.Owners = append(c.Owners, r.Owner)
		}
		c.Firsts[i], c.OwnerOf[i], c.Tokens[i], c.Handovers[i] = uint64(r.First), owner, r.Token, r.Handover
	}
	return c
}

func (c recordColumns) assignment() (Assignment, error) {
	a := Assignment{KeySpace: c.KeySpace, Revision: c.Revision, WriteID: c.WriteID, Cells: c.Cells}
	n := len(c.Firsts)
	if len(c.OwnerOf) != n || len(c.Tokens) != n || len(c.Handovers) != n {
		return a, eris.Wrapf(ErrBadRange, "record of %s has columns of different lengths", c.KeySpace)
	}
	a.Ranges = make([]OwnedRange, n)
	for i := range a.Ranges {
		owner := c.OwnerOf[i]
		if owner < 0 || owner >= len(c.Owners) {
			return a, eris.Wrapf(ErrBadRange, "record of %s names owner %d of %d", c.KeySpace, owner, len(c.Owners))
		}
		a.Ranges[i] = OwnedRange{
			First: Position(c.Firsts[i]), Owner: c.Owners[owner], Token: c.Tokens[i], Handover: c.Handovers[i],
		}
	}
	return a, nil
}

// DecodeAssignment reads an assignment from the store or another host. It returns ErrBadRange for one that does not
// cover its key space.
func DecodeAssignment(data []byte) (Assignment, error) {
	var a Assignment
	if len(data) == 0 || data[0] != packedRecord {
		if err := json.Unmarshal(data, &a); err != nil {
			return Assignment{}, eris.Wrap(err, "decode assignment")
		}
		return a, a.Validate()
	}
	data, err := unpack(data[1:])
	if err != nil {
		return Assignment{}, eris.Wrap(err, "unpack assignment")
	}
	var c recordColumns
	if err := cbor.Unmarshal(data, &c); err != nil {
		return Assignment{}, eris.Wrap(err, "decode assignment")
	}
	if a, err = c.assignment(); err != nil {
		return Assignment{}, err
	}
	return a, a.Validate()
}
