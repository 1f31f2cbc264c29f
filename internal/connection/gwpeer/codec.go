package gwpeer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/net/http/httpguts"
)

// lengthField is the field of the head that holds the length of the object in bytes.
const lengthField = "Content-Length"

const (
	// maxHeadLines bounds the lines before an object. A line is bounded by the buffer of the stream, 4 KiB.
	maxHeadLines = 8
	// maxObjectBytes bounds an object. Items come from the store, whose lists have the same bound.
	maxObjectBytes = 64 << 20
)

var errBadObject = errors.New("bad object from a peer")

// boundedCodec is jsonrpc2.VSCodeObjectCodec with bounds on what it reads.
type boundedCodec struct {
	jsonrpc2.VSCodeObjectCodec
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	length, err := readHead(stream)
	if err != nil {
		return err
	}
	return json.NewDecoder(io.LimitReader(stream, length)).Decode(v)
}

// readHead reads the lines before an object and returns its length.
func readHead(stream *bufio.Reader) (int64, error) {
	var length int64
	for range maxHeadLines {
		line, err := stream.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			return 0, eris.Wrap(errBadObject, "a line of the head is too long")
		}
		if err != nil {
			return 0, err
		}
		line, ok := bytes.CutSuffix(line, []byte("\r\n"))
		switch {
		case !ok:
			return 0, eris.Wrap(errBadObject, "a line of the head does not end in CR and LF")
		case len(line) == 0 && length == 0:
			return 0, eris.Wrap(errBadObject, "no length")
		case len(line) == 0:
			return length, nil
		}
		if length, err = parseField(line, length); err != nil {
			return 0, err
		}
	}
	return 0, eris.Wrap(errBadObject, "the head has too many lines")
}

// parseField parses a line of the head. It returns the length of the object, which is zero while no line has named it;
// length is that of the lines before.
func parseField(line []byte, length int64) (int64, error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	switch {
	case !ok || !httpguts.ValidHeaderFieldName(string(name)):
		return 0, eris.Wrapf(errBadObject, "line %.40q of the head is no field", line)
	case string(name) != lengthField:
		return length, nil
	case length != 0:
		return 0, eris.Wrap(errBadObject, "several lengths")
	}
	length, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err != nil || length <= 0 || length > maxObjectBytes {
		return 0, eris.Wrapf(errBadObject, "length %.20q", value)
	}
	return length, nil
}
