package gwforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwpool"
)

// bufferBytes is the size of the buffers for answers. Answers up to this size are read whole before their head
// is passed on, so that a cut becomes a refusal and the server's connection is free at once.
const bufferBytes = 32 << 10

// maxDrainBytes is how much of a refusal is read so that its connection can be used again.
const maxDrainBytes = 8 << 10

var buffers = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

// Answer is the answer of a backend server. It is used by one goroutine.
type Answer struct {
	Status int
	// Header holds the end-to-end headers of the answer.
	Header      http.Header
	Server      gw.ServerName
	Incarnation gw.Incarnation
	// RequestID is the id of the attempt that was answered.
	RequestID string
	// FirstByte is when the head arrived.
	FirstByte time.Time

	// length is the declared length, -1 when the answer is chunked or is one to HEAD without a length.
	length int64
	method string
	r      *Request
	ctx    context.Context
	cancel context.CancelFunc
	conn   *gwpool.Conn
	resp   *http.Response
	// request is the request body of the attempt.
	request *attemptBody
	// buffer holds the whole body of a small answer.
	buffer *[bufferBytes]byte
	filled int

	ended bool
	whole bool
	onEnd func(a *Answer, whole bool)
}

func newAnswer(ctx context.Context, r *Request, conn *gwpool.Conn, resp *http.Response) *Answer {
	return &Answer{
		Status: resp.StatusCode, Server: r.Target.Server, RequestID: r.ID, FirstByte: time.Now(),
		length: resp.ContentLength, method: r.Method, r: r, ctx: ctx, conn: conn, resp: resp,
	}
}

// OnEnd adds a function that is called once, when the answer has arrived whole or was given up. It is called
// at once when that was before. Functions are called in the order in which they were added.
func (a *Answer) OnEnd(f func(a *Answer, whole bool)) {
	if a.ended {
		f(a, a.whole)
		return
	}
	earlier := a.onEnd
	a.onEnd = func(a *Answer, whole bool) {
		if earlier != nil {
			earlier(a, whole)
		}
		f(a, whole)
	}
}

// prefetch reads a small answer whole.
func (a *Answer) prefetch() *gw.Refusal {
	switch {
	case a.method == http.MethodHead || a.resp.Body == http.NoBody || a.length == 0:
		_, err := a.resp.Body.Read(make([]byte, 1))
		a.end(errors.Is(err, io.EOF))
		return nil
	case a.length < 0 || a.length > bufferBytes:
		a.conn.Hold()
		return nil
	}
	buffer := buffers.Get().(*[bufferBytes]byte)
	n, err := io.ReadFull(a.resp.Body, buffer[:a.length])
	if err != nil {
		buffers.Put(buffer)
		return a.fail(err)
	}
	a.buffer, a.filled = buffer, n
	a.end(true)
	return nil
}

// read reads the next bytes of a streamed answer. It returns io.EOF only when the answer is whole.
func (a *Answer) read(p []byte) (int, error) {
	a.conn.Resume()
	n, err := a.resp.Body.Read(p)
	a.conn.Hold()
	switch err {
	case nil:
		return n, nil
	case io.EOF: // A wrapped EOF is not a regular end.
		a.end(true)
		return n, io.EOF
	default:
		return n, a.fail(err)
	}
}

// end gives up the connection: back to the pool when the answer is whole and nothing else is wrong with it.
func (a *Answer) end(whole bool) {
	if a.ended {
		return
	}
	a.ended, a.whole = true, whole
	// Closing an answer cannot fail in a way that matters after its last byte.
	_ = a.resp.Body.Close()
	if whole && !a.resp.Close && a.request.sent() {
		a.conn.Release()
	} else {
		a.conn.Discard()
	}
	if a.cancel != nil {
		a.cancel()
	}
	if a.onEnd != nil {
		a.onEnd(a, whole)
	}
}

func (a *Answer) fail(err error) *gw.Refusal {
	refusal := failure(a.ctx, a.r, a.conn, true, err)
	a.end(false)
	return refusal
}

// drain reads the rest of a short answer so that its connection can be used again.
func (a *Answer) drain() {
	_, err := io.CopyN(io.Discard, a.resp.Body, maxDrainBytes)
	a.end(errors.Is(err, io.EOF))
}

// Close gives up what was not read of the answer.
func (a *Answer) Close() {
	a.end(false)
	if a.buffer != nil {
		buffers.Put(a.buffer)
		a.buffer = nil
	}
}

// Streamed reports whether the answer is not yet whole, so that it can still be cut.
func (a *Answer) Streamed() bool {
	return !a.ended
}

// Declared reports whether the length of the answer is known before its end.
func (a *Answer) Declared() bool {
	return a.length >= 0 || a.ended
}

// Write passes on the answer and closes it. When it fails, the head may have been passed on and the caller's
// connection must be aborted.
func (a *Answer) Write(w http.ResponseWriter, callers gw.CallerProtocol) error {
	defer a.Close()
	h := w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// Keeps net/http from guessing one.
		h["Content-Type"] = nil
	}
	callers.EncodeAnswer(h, gw.AnswerHead{RequestID: a.RequestID, Server: a.Server, Incarnation: a.Incarnation})
	if a.length >= 0 && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		set(h, "Content-Length", itoa(a.length))
	}
	w.WriteHeader(a.Status)
	if a.ended {
		if a.filled == 0 {
			return nil
		}
		_, err := w.Write(a.buffer[:a.filled])
		return err
	}
	return a.stream(w)
}

// stream passes on the body as it arrives. A chunked answer is flushed after each read, because its sender may
// produce it slowly.
func (a *Answer) stream(w http.ResponseWriter) error {
	buffer := buffers.Get().(*[bufferBytes]byte)
	defer buffers.Put(buffer)
	rc := http.NewResponseController(w)
	// The head leaves before the body is read. If the body fails before any byte was passed on, the caller would
	// see a connection closed without an answer, and many HTTP clients resend such a request by themselves.
	if err := rc.Flush(); err != nil {
		return err
	}
	for {
		n, err := a.read(buffer[:])
		if n > 0 {
			if _, werr := w.Write(buffer[:n]); werr != nil {
				return werr
			}
			if a.length < 0 {
				if ferr := rc.Flush(); ferr != nil {
					return ferr
				}
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}
