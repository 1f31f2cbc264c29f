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
	// ErrBodyTooLarge reports a request body above its limit.
	ErrBodyTooLarge = errors.New("request body is too large")
	// ErrBodyFailed reports that a request body did not arrive whole.
	ErrBodyFailed = errors.New("request body did not arrive whole")
	// errBodyEnded reports a read after the end of the attempt.
	errBodyEnded = errors.New("attempt has ended")
)

// Body is the body of a request. It outlives the attempts that send it.
type Body struct {
	// length is the declared length in bytes, -1 when none was declared.
	length int64
	// data is the whole body when it was buffered; src is nil then.
	data []byte
	src  io.Reader
	// limit is the largest permitted length in bytes.
	limit int64
	// expects is set when the sender waits for consent before it sends the body.
	expects bool

	mu      sync.Mutex
	read    int64
	touched bool
	whole   bool
	err     error
	// reading is closed when the read in progress ends; nil when there is none.
	reading chan struct{}
}

// Buffered returns a body that can be sent any number of times.
func Buffered(data []byte) *Body {
	return &Body{length: int64(len(data)), data: data}
}

// Streamed returns a body that can be sent once. A length of -1 means that none was declared. When expects is
// set, the sender waits for consent before it sends the body.
func Streamed(src io.Reader, length, limit int64, expects bool) *Body {
	return &Body{length: length, src: src, limit: limit, expects: expects}
}

// Replayable reports whether an attempt may send the body from its first byte.
func (b *Body) Replayable() bool {
	if b == nil || b.src == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.touched
}

// Size returns the declared length in bytes, -1 when none was declared.
func (b *Body) Size() int64 {
	if b == nil {
		return 0
	}
	return b.length
}

// Whole reports whether the body was read to its end, so that its connection can take another request.
func (b *Body) Whole() bool {
	if b == nil || b.src == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.whole
}

// failure returns ErrBodyTooLarge or ErrBodyFailed when the body could not be read to its end.
func (b *Body) failure() error {
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

// linger is how long the rest of an unread body is read and dropped after the answer was sent. Closing the
// connection at once would reset it, and the sender could lose the answer.
const linger = 500 * time.Millisecond

// Finish ends a read of the body that is still in progress, and must be called before a handler returns, because
// no attempt may read the body afterwards.
func (b *Body) Finish(rc *http.ResponseController) {
	if b == nil || b.src == nil {
		return
	}
	b.mu.Lock()
	reading := b.reading
	if b.err == nil {
		// No attempt may start another read.
		b.err = errBodyEnded
	}
	whole := b.whole
	b.mu.Unlock()
	if reading != nil && rc.SetReadDeadline(time.Unix(1, 0)) == nil {
		<-reading
	}
	if !whole {
		Linger(rc)
	}
}

// Linger bounds the reading of a body that the handler leaves unread.
func Linger(rc *http.ResponseController) {
	// A writer without deadlines, as in tests, has no connection to bound.
	_ = rc.SetReadDeadline(time.Now().Add(linger))
}

// readSource reads from the source for one attempt.
func (b *Body) readSource(p []byte) (int, error) {
	b.mu.Lock()
	if b.err != nil || b.reading != nil {
		b.mu.Unlock()
		return 0, eris.Wrap(errBodyEnded, "read")
	}
	b.touched = true
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
		b.whole = true
		return n, io.EOF
	case err != nil:
		b.err = eris.Wrapf(ErrBodyFailed, "%v", err)
		return n, b.err
	}
	b.whole = b.read == b.length
	return n, nil
}

// attemptBody is the body as one attempt reads it. It cannot be rewound.
type attemptBody struct {
	body *Body
	conn *gwpool.Conn
	// buffered is the rest of a body that was buffered.
	buffered *bytes.Reader

	mu    sync.Mutex
	read  int64
	ended bool
	done  bool
}

// open returns the body for one attempt, nil when the request has none.
func (b *Body) open(conn *gwpool.Conn) *attemptBody {
	if b == nil || b.length == 0 {
		return nil
	}
	a := &attemptBody{body: b, conn: conn}
	if b.src == nil {
		a.buffered = bytes.NewReader(b.data)
	}
	return a
}

// Read reads the next bytes. While it waits for the sender of the body, the silence of the server does not
// count.
func (a *attemptBody) Read(p []byte) (int, error) {
	a.mu.Lock()
	ended, done := a.ended, a.done
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
		n, err = a.body.readSource(p)
		a.conn.Resume()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.read += int64(n)
	a.done = errors.Is(err, io.EOF) || a.read == a.body.length
	return n, err
}

// Close ends the reading for this attempt. It does not wait for a read in progress.
func (a *attemptBody) Close() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	return nil
}

// sent reports whether the whole body was read for this attempt.
func (a *attemptBody) sent() bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.done
}
