package gwpipeline

import (
	"bufio"
	"bytes"
	"net/http"
)

// headEnd ends the head of a request.
var headEnd = []byte("\r\n\r\n")

// finder finds the heads of requests in the bytes of a connection. net/http reads and checks the same bytes again
// when the turn of a request comes; what is unusual is left to it.
type finder struct {
	// buf holds bytes that have not been looked at.
	buf []byte
	// skip is the number of bytes of a body that have not arrived.
	skip int64
	// found counts the requests.
	found int
	// lost is set when the next request cannot be told from what is before it.
	lost bool
}

// head is the head of a request as it was sent.
type head []byte

// add takes in what was read next.
func (f *finder) add(data []byte) {
	if f.lost {
		return
	}
	n := min(f.skip, int64(len(data)))
	f.skip -= n
	f.buf = append(f.buf, data[n:]...)
}

// next returns the next request and its number on the connection, and false when its head has not arrived.
func (f *finder) next() (int, head, bool) {
	if f.lost || len(f.buf) == 0 {
		return 0, nil, false
	}
	end := bytes.Index(f.buf, headEnd)
	if end < 0 {
		f.lost = len(f.buf) > maxAheadBytes
		return 0, nil, false
	}
	found := head(bytes.Clone(f.buf[:end+len(headEnd)]))
	f.found++
	length, ok := found.bodyLength()
	if !ok {
		f.lost, f.buf = true, nil
		return f.found, found, true
	}
	rest := f.buf[len(found):]
	n := min(length, int64(len(rest)))
	f.skip = length - n
	if rest = rest[n:]; len(rest) == 0 {
		f.buf = f.buf[:0]
	} else {
		f.buf = rest
	}
	return f.found, found, true
}

// bodyLength returns the length of the body in bytes, and false when the head does not tell it.
func (h head) bodyLength() (int64, bool) {
	if bytes.HasPrefix(h, []byte("GET ")) {
		lower := bytes.ToLower(h)
		if !bytes.Contains(lower, []byte("\r\ncontent-length:")) && !bytes.Contains(lower, []byte("\r\ntransfer-encoding:")) {
			return 0, true
		}
	}
	r := h.request()
	if r == nil || r.ContentLength < 0 {
		return 0, false
	}
	return r.ContentLength, true
}

// request returns the decoded head, nil when it is none.
func (h head) request() *http.Request {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(h)))
	if err != nil {
		return nil
	}
	return r
}
