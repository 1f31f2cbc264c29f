package geraniumworks

import (
	"encoding/json"
	"strings"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// packedRecord is the first byte of a record that is packed: compressed CBOR. JSON begins with another one.
const packedRecord = 0

// packRangesAbove is the number of ranges from which a record is packed: about 1 KB of JSON.
const packRangesAbove = 8

const (
	// MaxHandoverBytes bounds what a server may hand over with a range, in bytes.
	MaxHandoverBytes = 1 << 10
	// maxRecordRanges bounds the ranges of an assignment that is encoded, and the elements of an array that is decoded.
	maxRecordRanges = 1 << 17
)

// recordDecoder decodes CBOR. It accepts text that is no UTF-8, so that such text costs its field and not the record:
// hosts of earlier versions have written handovers that way.
var recordDecoder = newRecordDecoder()

func newRecordDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid, MaxArrayElements: maxRecordRanges}.DecMode()
	if err != nil {
		// The options are constants of the library.
		panic(err)
	}
	return mode
}

// ValidHandover reports whether a record can hold what a server hands over, and a grant can carry it: as text in UTF-8
// of at most MaxHandoverBytes.
func ValidHandover(handover string) bool {
	return len(handover) <= MaxHandoverBytes && utf8.ValidString(handover)
}

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
//
// DecodeAssignment returns the same assignment again. What it would not is refused: with ErrBadRange when the ranges do
// not cover the key space, with ErrBadText for a text that is no UTF-8 or a handover above MaxHandoverBytes, and with
// ErrValueTooLarge.
func EncodeAssignment(a Assignment) ([]byte, error) {
	if err := a.checkEncodable(); err != nil {
		return nil, err
	}
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

// checkEncodable returns an error unless the assignment can be decoded again after it has been encoded.
func (a Assignment) checkEncodable() error {
	if err := a.Validate(); err != nil {
		return err
	}
	if len(a.Ranges) > maxRecordRanges {
		return eris.Wrapf(ErrValueTooLarge, "key space %s has %d ranges", a.KeySpace, len(a.Ranges))
	}
	texts := []string{string(a.KeySpace.Service), string(a.KeySpace.Region), a.WriteID}
	for _, c := range a.Cells {
		texts = append(texts, string(c.DataCentre), string(c.Controller), string(c.Host))
	}
	for _, text := range texts {
		if !utf8.ValidString(text) {
			return eris.Wrapf(ErrBadText, "key space %q: %.100q", a.KeySpace, text)
		}
	}
	for _, r := range a.Ranges {
		if !utf8.ValidString(string(r.Owner)) || !ValidHandover(r.Handover) {
			return eris.Wrapf(ErrBadText, "key space %s: owner %.100q or handover of %d bytes at %s",
				a.KeySpace, r.Owner, len(r.Handover), r.First)
		}
	}
	return nil
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
// cover its key space. Fields that cannot be read are repaired, see RepairAssignment.
func DecodeAssignment(data []byte) (Assignment, error) {
	a, _, err := RepairAssignment(data)
	return a, err
}

// RepairAssignment reads an assignment as DecodeAssignment does, and returns how many of its fields could not be read.
// A handover among these is dropped: its range is then served as without one. Of other texts, bytes that are no UTF-8
// are replaced by U+FFFD, as in JSON.
func RepairAssignment(data []byte) (Assignment, int, error) {
	var a Assignment
	if len(data) == 0 || data[0] != packedRecord {
		if err := json.Unmarshal(data, &a); err != nil {
			return Assignment{}, 0, eris.Wrap(err, "decode assignment")
		}
	} else {
		data, err := unpack(data[1:])
		if err != nil {
			return Assignment{}, 0, eris.Wrap(err, "unpack assignment")
		}
		var c recordColumns
		if err := recordDecoder.Unmarshal(data, &c); err != nil {
			return Assignment{}, 0, eris.Wrap(err, "decode assignment")
		}
		if a, err = c.assignment(); err != nil {
			return Assignment{}, 0, err
		}
	}
	repaired := repairAssignment(&a)
	return a, repaired, a.Validate()
}

// repairAssignment replaces the fields that EncodeAssignment would refuse, and returns their number. It changes the
// ranges and cells in place.
func repairAssignment(a *Assignment) int {
	repaired := repairText(&a.KeySpace.Service) + repairText(&a.KeySpace.Region) + repairText(&a.WriteID)
	for i := range a.Cells {
		c := &a.Cells[i]
		repaired += repairText(&c.DataCentre) + repairText(&c.Controller) + repairText(&c.Host)
	}
	for i := range a.Ranges {
		r := &a.Ranges[i]
		repaired += repairText(&r.Owner)
		if !ValidHandover(r.Handover) {
			r.Handover = ""
			repaired++
		}
	}
	return repaired
}

// repairText makes a text valid UTF-8 and returns the number of texts that it has changed.
func repairText[T ~string](text *T) int {
	if utf8.ValidString(string(*text)) {
		return 0
	}
	*text = T(strings.ToValidUTF8(string(*text), string(utf8.RuneError)))
	return 1
}
