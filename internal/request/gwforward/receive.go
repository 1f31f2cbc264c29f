package gwforward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
)

// MaxBufferedBytes is the size up to which request bodies are read before the request is sent. The request can
// then be sent again, a slow sender does not occupy a slot, and the server of net/http notices a sender that
// leaves, which it does only after the end of the body. Twenty bodies of this size are 10 MB.
const MaxBufferedBytes = 512 << 10

// firstBufferBytes is what a body occupies before anything of it has arrived.
const initialBufferBytes = 4 << 10

// BodyUse says what may be assumed of a request's body.
type BodyMode int

// Uses of bodies.
const (
	// Duplex bodies may be answered before their end, so that chunked ones are not read whole.
	FullDuplex BodyMode = iota
	// Whole bodies are sent before the answer.
	HalfDuplex
)

// AsksConsent reports whether an entry host waits for consent before it sends the body of a request.
func AsksConsent(in *http.Request) bool {
	return in.Header.Get(gw.HeaderConsent) == "true"
}

// Receive reads the body of a request whole when it is small, and prepares the streaming of others. It returns nil
// for a request without body, ErrBodyTooLarge for a body above limit, and ErrBodyFailed when the body does not
// arrive.
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
	// The buffer grows with what arrives, so that a body that is declared and not sent occupies no memory.
	buf := bytes.NewBuffer(make([]byte, 0, first+bytes.MinRead))
	_, err := io.CopyN(buf, in.Body, MaxBufferedBytes+1)
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
