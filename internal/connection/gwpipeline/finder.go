package gwpipeline

import (
	"bufio"
	"bytes"
	"net/http"
)

var (
	lineEnd = []byte("\n")
	// fullLineEnd ends a line. net/http also accepts lineEnd alone.
	fullLineEnd = []byte("\r\n")
)

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
	// scanned is the number of bytes of buf in which no head ends.
	scanned int
	// maxLines bounds the lines of a head, maxEmpty the empty lines before one. Zero means no bound.
	maxLines, maxEmpty int
	// blank is set while only empty lines have come since the last request, empty counts them.
	blank bool
	empty int
}

// head is the head of a request as it was sent.
type head []byte

// add takes in what was read next.
func (f *finder) add(data []byte) {
	if f.lost {
		f.countEmpty(data)
		return
	}
	n := min(f.skip, int64(len(data)))
	f.skip -= n
	f.buf = append(f.buf, data[n:]...)
}

// countEmpty counts empty lines before a request.
func (f *finder) countEmpty(data []byte) {
	for i := 0; i < len(data) && f.blank; i++ {
		switch data[i] {
		case '\n':
			f.empty++
		case '\r':
		default:
			f.blank = false
		}
	}
}

// tooManyEmpty reports whether there were more empty lines before a request than permitted.
func (f *finder) tooManyEmpty() bool {
	return f.maxEmpty > 0 && f.empty > f.maxEmpty
}

// lose gives up. net/http goes on with what is unusual.
func (f *finder) lose() {
	f.lost, f.buf = true, nil
}

// next returns the next request and its number on the connection, and false when its head has not arrived.
func (f *finder) next() (int, head, bool) {
	if f.lost || len(f.buf) == 0 {
		return 0, nil, false
	}
	if f.buf[0] == '\r' || f.buf[0] == '\n' {
		f.blank = true
		f.countEmpty(f.buf)
		f.lose()
		return 0, nil, false
	}
	end := f.headEnd()
	if end < 0 {
		if len(f.buf) > maxAheadBytes {
			f.lose()
		}
		return 0, nil, false
	}
	f.scanned = 0
	found := head(bytes.Clone(f.buf[:end]))
	// The request line and the empty line are no header lines.
	if f.maxLines > 0 && bytes.Count(found, lineEnd)-2 > f.maxLines {
		f.lose()
		return 0, nil, false
	}
	f.found++
	length, ok := found.bodyLength()
	if !ok {
		f.lose()
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

// headEnd returns where the first head in buf ends, -1 when it has not arrived. Like net/http it accepts lines that end
// without CR: what follows such a head would otherwise be taken for header lines, and a body for requests.
func (f *finder) headEnd() int {
	for {
		n := bytes.IndexByte(f.buf[f.scanned:], '\n')
		if n < 0 {
			f.scanned = len(f.buf)
			return -1
		}
		next := f.buf[f.scanned+n+1:]
		switch {
		case bytes.HasPrefix(next, lineEnd):
			return f.scanned + n + 1 + len(lineEnd)
		case bytes.HasPrefix(next, fullLineEnd):
			return f.scanned + n + 1 + len(fullLineEnd)
		case len(next) == 0 || len(next) == 1 && next[0] == '\r':
			// Whether the next line is empty is not known.
			f.scanned += n
			return -1
		}
		f.scanned += n + 1
	}
}

// bodyLength returns the length of the body in bytes, and false when the head does not tell it.
func (h head) bodyLength() (int64, bool) {
	if bytes.HasPrefix(h, []byte("GET ")) {
		lower := bytes.ToLower(h)
		if !bytes.Contains(lower, []byte("\ncontent-length:")) && !bytes.Contains(lower, []byte("\ntransfer-encoding:")) {
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

// endsConnection reports whether net/http refuses a head, or answers it and then closes the connection.
func (h head) endsConnection() bool {
	if h == nil {
		return false
	}
	r := h.request()
	return r == nil || r.Close
}
