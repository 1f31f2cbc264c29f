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

// bufferBytes is the size of the buffers for answers. Answers up to this size are read completely before their head is
// passed on, so that a lost connection results in a refusal and the server's connection is released at once.
const bufferBytes = 32 << 10

// maxDrainBytes is the largest body of a refusal that is read to its end so that the connection can be reused.
const maxDrainBytes = 8 << 10

// drainTimeout is how long the body of a refusal is waited for. It usually arrives with the head.
const drainTimeout = 20 * time.Millisecond

var buffers = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

// Answer is the answer of a backend server. It must not be used by several goroutines at the same time.
type Answer struct {
	Status int
	// Header holds the end-to-end headers of the answer.
	Header      http.Header
	Server      gw.ServerName
	Incarnation gw.Incarnation
	// Leaving and PausedUntil are what the server says about further requests, see gw.AttemptResult.
	Leaving     bool
	PausedUntil time.Time
	// LimitPerSecond is how many requests a second the server takes from all hosts together, zero when it names no limit.
	LimitPerSecond float64
	// Load is the load that the server has reported, nil when it has reported none.
	Load *gw.ServerUtilization
	// Report is what the dispatcher of the server says about it, nil when it says nothing.
	Report *DispatcherReport
	// Served is the time from the sending of the request to the server to the head of the answer. It is zero at a host
	// that has sent the request to a relay, see Report.
	Served time.Duration
	// RequestID is the id of the attempt that was answered.
	RequestID string
	// FirstByte is the time at which the head arrived.
	FirstByte time.Time

	// length is the declared length, -1 when the answer is chunked or is an answer to HEAD without a length.
	length int64
	method string
	r      *Request
	ctx    context.Context
	cancel context.CancelFunc
	conn   *gwpool.Conn
	resp   *http.Response
	// requestBody is the request body as the attempt sends it.
	requestBody *attemptBody
	// buffer holds the complete body of a small answer, filled its length.
	buffer *[bufferBytes]byte
	filled int

	ended    bool
	complete bool
	onEnd    func(a *Answer, complete bool)
}

func newAnswer(ctx context.Context, r *Request, conn *gwpool.Conn, resp *http.Response) *Answer {
	return &Answer{
		Status: resp.StatusCode, Server: r.Target.Server, RequestID: r.ID, FirstByte: time.Now(),
		length: resp.ContentLength, method: r.Method, r: r, ctx: ctx, conn: conn, resp: resp,
	}
}

// OnEnd adds a function that is called once, when the complete answer has arrived or the answer was closed before. If
// the answer has already ended, it is called at once. Functions are called in the order in which they were added.
func (a *Answer) OnEnd(f func(a *Answer, complete bool)) {
	if a.ended {
		f(a, a.complete)
		return
	}
	earlier := a.onEnd
	a.onEnd = func(a *Answer, complete bool) {
		if earlier != nil {
			earlier(a, complete)
		}
		f(a, complete)
	}
}

// prefetch reads a small answer completely.
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

// read reads the next bytes of a streamed answer. It returns io.EOF only when the answer is complete.
func (a *Answer) read(p []byte) (int, error) {
	a.conn.Resume()
	n, err := a.resp.Body.Read(p)
	a.conn.Hold()
	switch err {
	case nil:
		return n, nil
	case io.EOF: // A wrapped EOF is an error and not the regular end.
		a.end(true)
		return n, io.EOF
	default:
		return n, a.fail(err)
	}
}

// end returns the connection to the pool if the answer is complete, the request body was fully sent and the server
// keeps the connection open. Otherwise it closes the connection.
func (a *Answer) end(complete bool) {
	if a.ended {
		return
	}
	a.ended, a.complete = true, complete
	// net/http may still begin to read the body of a request that has been answered.
	_ = a.requestBody.Close()
	// The answer is no longer needed, so an error of Close does not matter.
	_ = a.resp.Body.Close()
	if complete && !a.resp.Close && a.requestBody.sent() {
		a.conn.Release()
	} else {
		a.conn.Discard()
	}
	if a.cancel != nil {
		a.cancel()
	}
	if a.onEnd != nil {
		a.onEnd(a, complete)
	}
}

func (a *Answer) fail(err error) *gw.Refusal {
	refusal := classifyFailure(a.ctx, a.r, a.conn, true, err)
	a.end(false)
	return refusal
}

// drain reads the rest of a short answer so that its connection can be reused. It closes the connection when the rest
// does not arrive at once, because the head already says all.
func (a *Answer) drain() {
	if a.length > maxDrainBytes {
		a.end(false)
		return
	}
	timer := time.AfterFunc(drainTimeout, a.conn.Interrupt)
	_, err := io.CopyN(io.Discard, a.resp.Body, maxDrainBytes)
	// Once the timer has fired, the connection is or will be closed, so it must not get another request.
	a.end(timer.Stop() && errors.Is(err, io.EOF))
}

// Close ends the answer and discards the part that was not read.
func (a *Answer) Close() {
	a.end(false)
	if a.buffer != nil {
		buffers.Put(a.buffer)
		a.buffer = nil
	}
}

// Streamed reports whether a part of the answer is still to be read, so that it can still be cut off.
func (a *Answer) Streamed() bool {
	return !a.ended
}

// LengthKnown reports whether the length of the answer is known before its end.
func (a *Answer) LengthKnown() bool {
	return a.length >= 0 || a.ended
}

// Length returns the declared length of the answer's body in bytes, -1 when none was declared.
func (a *Answer) Length() int64 {
	return a.length
}

// CloseExpired closes an answer whose body is still arriving although the deadline has passed, and returns the refusal
// that takes its place. It returns nil for an answer that can be written.
func (a *Answer) CloseExpired(now time.Time) *gw.Refusal {
	if a.ended || now.Before(a.r.Deadline) {
		return nil
	}
	a.Close()
	return gw.Refuse(gw.ReasonDeadlineExceeded, "the answer did not arrive completely before the deadline")
}

// writeDeadline returns until when the answer may be written. A reader that is slow or unreachable must not occupy a
// slot beyond the deadline of the request. A complete answer occupies none, so it is delivered after the deadline too.
func (a *Answer) writeDeadline(now time.Time) time.Time {
	if a.ended {
		return now.Add(WriteTimeout)
	}
	return a.r.Deadline
}

// Write writes the answer to w and closes it. After an error the head may already have been sent, so that the caller's
// connection must be aborted.
func (a *Answer) Write(w http.ResponseWriter, callers gw.CallerProtocol) error {
	defer a.Close()
	h := w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// Keeps net/http from detecting a content type.
		h["Content-Type"] = nil
	}
	rc := http.NewResponseController(w)
	// Writers without deadline support occur in tests only and have no slow reader.
	_ = rc.SetWriteDeadline(a.writeDeadline(time.Now()))
	callers.EncodeAnswer(h, gw.AnswerHead{RequestID: a.RequestID, Server: a.Server, Incarnation: a.Incarnation})
	if a.length >= 0 && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		setHeader(h, "Content-Length", itoa(a.length))
	}
	w.WriteHeader(a.Status)
	if !a.ended {
		return a.stream(w, rc)
	}
	if a.filled > 0 {
		if _, err := w.Write(a.buffer[:a.filled]); err != nil {
			return err
		}
	}
	// Without the flush net/http sends a small answer only after the handler has returned, and drops the error.
	if err := rc.Flush(); !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}

// stream copies the body to w as it arrives. A chunked answer is flushed after each read, because the server may
// produce it slowly.
func (a *Answer) stream(w http.ResponseWriter, rc *http.ResponseController) error {
	buffer := buffers.Get().(*[bufferBytes]byte)
	defer buffers.Put(buffer)
	// The head is sent before the body is read. Otherwise, if the body failed before its first byte, the caller would see
	// a connection that was closed without an answer, and many HTTP clients resend a request in this case.
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
