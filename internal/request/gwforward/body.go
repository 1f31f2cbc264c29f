package gwforward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumworks/geraniumworks/internal/connection/gwpool"
)

var (
	// ErrBodyTooLarge reports a request body that exceeds the limit of its service.
	ErrBodyTooLarge = errors.New("request body is larger than the service permits")
	// ErrBodyFailed reports a request body that ended early or could not be read.
	ErrBodyFailed = errors.New("request body ended early or could not be read")
	// errBodyEnded reports a read of the request body after the end of the attempt.
	errBodyEnded = errors.New("request body is read after the end of the attempt")
)

// Body is the body of a request. It is shared by all attempts of the request.
type Body struct {
	// length is the declared length in bytes, -1 when none was declared.
	length int64
	// data is the complete body when it was buffered; src is nil then.
	data []byte
	src  io.Reader
	// limit is the largest permitted length in bytes.
	limit int64
	// expectsContinue is set when the sender waits for a 100 Continue before it sends the body.
	expectsContinue bool

	mu       sync.Mutex
	read     int64
	started  bool
	complete bool
	err      error
	// reader is the attempt that may read the body, nil when none may.
	reader *attemptBody
	// reading is closed when the read in progress ends. It is nil when there is none.
	reading chan struct{}
}

// Buffered returns a body in memory, which can be sent any number of times.
func Buffered(data []byte) *Body {
	return &Body{length: int64(len(data)), data: data}
}

// Streamed returns a body that is read from src and can be sent once. A length of -1 means that none was declared. When
// expects is set, the sender waits for a 100 Continue before it sends the body.
func Streamed(src io.Reader, length, limit int64, expects bool) *Body {
	return &Body{length: length, src: src, limit: limit, expectsContinue: expects}
}

// Replayable reports whether an attempt may send the body from its first byte.
func (b *Body) Replayable() bool {
	if b == nil || b.src == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.started
}

// Size returns the declared length in bytes, -1 when none was declared.
func (b *Body) Size() int64 {
	if b == nil {
		return 0
	}
	return b.length
}

// Complete reports whether the body was read to its end, so that the connection can be used for the next request.
func (b *Body) Complete() bool {
	if b == nil || b.src == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.complete
}

// readError returns the error that ended the reading of the body, such as ErrBodyTooLarge or ErrBodyFailed, or nil.
func (b *Body) readError() error {
	if b == nil || b.src == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// Concurrent reports whether several attempts may send the body at the same time.
func (b *Body) Concurrent() bool {
	return b == nil || b.src == nil
}

// lingerTimeout is how long the rest of an unread body is read and discarded after the answer was sent. Closing the
// connection at once would reset it, and the sender could lose the answer.
const lingerTimeout = 500 * time.Millisecond

// Finish ends a read of the body that is still in progress. A handler must call it before it returns, because no
// attempt may read the body afterwards.
func (b *Body) Finish(rc *http.ResponseController) {
	if b == nil || b.src == nil {
		return
	}
	b.mu.Lock()
	reading := b.reading
	if b.err == nil {
		// Prevents attempts from starting another read.
		b.err = errBodyEnded
	}
	complete := b.complete
	b.mu.Unlock()
	if reading != nil && rc.SetReadDeadline(time.Unix(1, 0)) == nil {
		<-reading
	}
	if !complete {
		Linger(rc)
	}
}

// Linger limits the time for which net/http reads the rest of a body that the handler has not read.
func Linger(rc *http.ResponseController) {
	// Writers without deadline support occur in tests only and have no connection.
	_ = rc.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// readSource reads the next bytes of a streamed body for an attempt.
func (b *Body) readSource(a *attemptBody, p []byte) (int, error) {
	b.mu.Lock()
	if b.err != nil || b.reading != nil || b.reader != a {
		b.mu.Unlock()
		return 0, eris.Wrap(errBodyEnded, "read")
	}
	b.started = true
	done := make(chan struct{})
	b.reading = done
	b.mu.Unlock()

	n, err := b.src.Read(p)

	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading = nil
	close(done)
	b.read += int64(n)
	switch {
	case b.read > b.limit:
		b.err = ErrBodyTooLarge
		return 0, b.err
	case err == io.EOF:
		b.complete = true
		return n, io.EOF
	case err != nil:
		b.err = eris.Wrapf(ErrBodyFailed, "%v", err)
		return n, b.err
	}
	b.complete = b.read == b.length
	return n, nil
}

// attemptBody reads the body of a request for one attempt. It cannot be rewound.
type attemptBody struct {
	body *Body
	conn *gwpool.Conn
	// buffered reads a body in memory. It is nil for a streamed body.
	buffered *bytes.Reader

	mu       sync.Mutex
	read     int64
	ended    bool
	complete bool
}

// open returns the reader of the body for one attempt, nil when the request has no body.
func (b *Body) open(conn *gwpool.Conn) *attemptBody {
	if b == nil || b.length == 0 {
		return nil
	}
	a := &attemptBody{body: b, conn: conn}
	if b.src == nil {
		a.buffered = bytes.NewReader(b.data)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reader = a
	return a
}

// Read reads the next bytes. The time for which it waits for the sender of the body does not count as silence of the
// server.
func (a *attemptBody) Read(p []byte) (int, error) {
	a.mu.Lock()
	ended, done := a.ended, a.complete
	a.mu.Unlock()
	switch {
	case done:
		return 0, io.EOF
	case ended:
		return 0, eris.Wrap(errBodyEnded, "read")
	}
	var n int
	var err error
	if a.buffered != nil {
		n, err = a.buffered.Read(p)
	} else {
		a.conn.Hold()
		n, err = a.body.readSource(a, p)
		a.conn.Resume()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.read += int64(n)
	a.complete = errors.Is(err, io.EOF) || a.read == a.body.length
	return n, err
}

// Close ends the reading by this attempt. It does not wait for a read in progress. After Close, no read begins, so that
// Body.Replayable stays true if it is true.
func (a *attemptBody) Close() error {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	a.ended = true
	a.mu.Unlock()
	a.body.mu.Lock()
	defer a.body.mu.Unlock()
	if a.body.reader == a {
		a.body.reader = nil
	}
	return nil
}

// sent reports whether this attempt has read the complete body.
func (a *attemptBody) sent() bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.complete
}
