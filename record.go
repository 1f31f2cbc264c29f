package geraniumworks

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// packedRecord is the first byte of a record that is compressed. JSON begins with another one.
const packedRecord = 0

// EncodeAssignment returns an assignment as the store holds it: as JSON, compressed when it is large. It is written
// whole at each commit, from other regions too.
func EncodeAssignment(a Assignment) ([]byte, error) {
	data, err := json.Marshal(a)
	if err != nil {
		return nil, eris.Wrapf(err, "encode assignment of %s", a.KeySpace)
	}
	if len(data) <= packAbove {
		return data, nil
	}
	packed, err := pack(data)
	if err != nil {
		return nil, eris.Wrapf(err, "pack assignment of %s", a.KeySpace)
	}
	return append([]byte{packedRecord}, packed...), nil
}

// DecodeAssignment reads an assignment from the store. It returns ErrBadRange for one that does not cover its key space.
func DecodeAssignment(data []byte) (Assignment, error) {
	if len(data) > 0 && data[0] == packedRecord {
		var err error
		if data, err = unpack(data[1:]); err != nil {
			return Assignment{}, eris.Wrap(err, "unpack assignment")
		}
	}
	var a Assignment
	if err := json.Unmarshal(data, &a); err != nil {
		return Assignment{}, eris.Wrap(err, "decode assignment")
	}
	return a, a.Validate()
}
