package gwforward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwpipeline"
)

// MaxBufferedBytes is the size up to which request bodies are read into memory before the request is sent. Such a
// request can be sent again, and a slow sender does not occupy a slot. The server of net/http also notices when the
// sender closes the connection, which it does only after the end of the body. Twenty bodies of this size take 10 MB.
const MaxBufferedBytes = 512 << 10

// initialBufferBytes is the size of the buffer for a body before any of it has arrived.
const initialBufferBytes = 4 << 10

// BodyMode says when a request may be answered in relation to the end of its body.
type BodyMode int

// Modes of bodies.
const (
	// FullDuplex means that an answer may be sent before the end of the body, so that chunked bodies are not buffered.
	FullDuplex BodyMode = iota
	// HalfDuplex means that the body is sent completely before the answer.
	HalfDuplex
)

// AsksConsent reports whether an entry host waits for the consent of the relay (a 100 Continue) before it sends the
// body of a request.
func AsksConsent(in *http.Request) bool {
	return in.Header.Get(gw.HeaderConsent) == "true"
}

// heldReader reads the body of a request into a buffer and reports the size of the buffer when it has grown.
type heldReader struct {
	in   *http.Request
	buf  *bytes.Buffer
	held int
}

// Read implements io.Reader.
func (r *heldReader) Read(p []byte) (int, error) {
	if n := r.buf.Cap(); n != r.held {
		r.held = n
		gwpipeline.HoldBody(r.in.Context(), int64(n))
	}
	return r.in.Body.Read(p)
}

// Receive reads a small body of a request into memory and prepares larger ones for streaming. It returns nil for a
// request without a body, ErrBodyTooLarge for a body above limit, and ErrBodyFailed when the body does not arrive.
func Receive(in *http.Request, limit int64, mode BodyMode) (*Body, error) {
	n := in.ContentLength
	expects := strings.EqualFold(in.Header.Get("Expect"), "100-continue") && !AsksConsent(in)
	switch {
	case n == 0:
		return nil, nil
	case n > limit:
		return nil, eris.Wrapf(ErrBodyTooLarge, "%d bytes are declared", n)
	case expects || n > MaxBufferedBytes || n < 0 && mode != HalfDuplex:
		return Streamed(in.Body, n, limit, expects), nil
	}
	first := int64(initialBufferBytes)
	if n > 0 {
		first = min(n, first)
	}
	// The buffer grows as data arrives, so that a body that is declared and not sent occupies no memory.
	buf := bytes.NewBuffer(make([]byte, 0, first+bytes.MinRead))
	_, err := io.CopyN(buf, &heldReader{in: in, buf: buf}, MaxBufferedBytes+1)
	switch {
	case err == nil:
		return Streamed(io.MultiReader(bytes.NewReader(buf.Bytes()), in.Body), n, limit, false), nil
	case !errors.Is(err, io.EOF) || n > 0 && int64(buf.Len()) < n:
		return nil, eris.Wrapf(ErrBodyFailed, "%v", err)
	case int64(buf.Len()) > limit:
		return nil, eris.Wrap(ErrBodyTooLarge, "chunked body")
	}
	return Buffered(buf.Bytes()), nil
}
