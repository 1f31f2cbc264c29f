package geraniumworks

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// Topic names an item that is passed on to every host.
type Topic string

// Item is a versioned value that is passed on to every host.
type Item struct {
	Topic   Topic       `json:"topic"`
	Version ItemVersion `json:"version"`
	// Data is the value as JSON, empty when the value is packed.
	Data json.RawMessage `json:"data,omitempty"`
	// Packed is the compressed JSON of a large value.
	Packed []byte `json:"packed,omitempty"`
	// Record is an assignment as EncodeAssignment returns it, and StoreVersion its version in the store. The value is
	// then empty.
	Record       []byte       `json:"record,omitempty"`
	StoreVersion StoreVersion `json:"store-version,omitempty"`
	// Change turns the assignment of version Base into that of Version. Record is then empty.
	Change []byte       `json:"change,omitempty"`
	Base   *ItemVersion `json:"base,omitempty"`
	// Assignment is the decoded assignment, within a process only.
	Assignment *Assignment `json:"-"`
}

const (
	// packAbove is the size in bytes from which a value is compressed: an assignment of 100 ranges has 8 KB, and is sent
	// to every host at each change, between regions too.
	packAbove = 1 << 10
	// unpackMost bounds a value before it is packed, in bytes. A configuration repeats the names of fields for each route,
	// which makes it some times as large as the operators' document of up to MaxValueBytes.
	unpackMost = 32 * MaxValueBytes
)

var packers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		// The level is a constant of the library.
		panic(err)
	}
	return w
}}

// NewItem returns an item with a value, packed when it is large. It returns ErrValueTooLarge for a value that Decode
// would not unpack.
func NewItem(topic Topic, version ItemVersion, value any) (Item, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return Item{}, eris.Wrapf(err, "encode item %s", topic)
	}
	item := Item{Topic: topic, Version: version}
	if len(data) <= packAbove {
		item.Data = data
		return item, nil
	}
	item.Packed, err = pack(data)
	return item, eris.Wrapf(err, "pack item %s", topic)
}

// pack compresses data. It refuses what unpack would not return.
func pack(data []byte) ([]byte, error) {
	if len(data) > unpackMost {
		return nil, eris.Wrapf(ErrValueTooLarge, "%d bytes before they are packed", len(data))
	}
	var buf bytes.Buffer
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	w.Reset(&buf)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// unpack returns what was packed.
func unpack(packed []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), unpackMost+1))
	if err == nil && len(data) > unpackMost {
		err = eris.Wrapf(ErrValueTooLarge, "more than %d bytes after they are unpacked", unpackMost)
	}
	return data, err
}

// Decode reads the value of the item.
func (i Item) Decode(value any) error {
	data := []byte(i.Data)
	if len(i.Packed) > 0 {
		var err error
		if data, err = unpack(i.Packed); err != nil {
			return eris.Wrapf(err, "unpack item %s", i.Topic)
		}
	}
	return eris.Wrapf(json.Unmarshal(data, value), "decode item %s", i.Topic)
}
