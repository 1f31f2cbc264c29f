package gwpool

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// processStart is the origin of the times that are kept in atomics.
var processStart = time.Now()

// sinceStart returns the monotonic time since processStart.
func sinceStart() time.Duration {
	return time.Since(processStart)
}

// wire is the network connection below a Conn. It knows whether a byte of the current request has left.
type wire struct {
	net.Conn
	// progress is when the last byte was sent or received, see sinceStart.
	progress atomic.Int64
	// peerFailed is set when the connection ended or failed before it was sealed.
	peerFailed atomic.Bool

	mu      sync.Mutex
	sealed  bool
	writing bool
	sent    int64
	// writeFailed is set when a write has failed.
	writeFailed bool
	// matched is how many bytes of answerStart the answer has begun with.
	matched int
	// reading is set while net/http waits for bytes, so that it has taken all that arrived before.
	reading bool
	// waiting is closed when reading is set next or the connection is sealed. It is nil when nobody waits.
	waiting chan struct{}
}

// answerStart is what every answer begins with.
const answerStart = "HTTP/"

// restTimeout bounds the wait of rest. net/http closes a connection on which it does not read again after 50 ms.
const restTimeout = 100 * time.Millisecond

var (
	errUnsolicited = errors.New("bytes arrived before a request was sent")
	errNoAnswer    = errors.New("the bytes are no answer")
)

// begin starts the counting for a request.
func (w *wire) begin() {
	w.touch()
	w.mu.Lock()
	w.sent, w.matched = 0, 0
	w.mu.Unlock()
}

// rest ends the counting after a request and reports whether the connection can be used for another one. It waits until
// net/http reads again, which it does only when no byte is left over from the request.
func (w *wire) rest() bool {
	w.mu.Lock()
	w.sent = 0
	if !w.reading && !w.sealed {
		waiting := make(chan struct{})
		w.waiting = waiting
		w.mu.Unlock()
		timer := time.NewTimer(restTimeout)
		defer timer.Stop()
		select {
		case <-waiting:
		case <-timer.C:
		}
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	return w.clean()
}

// clean reports whether the connection is open and nothing arrived on it. The caller holds mu.
func (w *wire) clean() bool {
	return w.reading && !w.sealed && !w.peerFailed.Load()
}

// wake ends the wait of rest. The caller holds mu.
func (w *wire) wake() {
	if w.waiting != nil {
		close(w.waiting)
		w.waiting = nil
	}
}

func (w *wire) touch() {
	w.progress.Store(int64(sinceStart()))
}

// Read reads from the connection. It fails when bytes arrive while no request is under way, and when an answer does not
// begin as one. It returns io.EOF only when the other side has ended the connection in order.
func (w *wire) Read(p []byte) (int, error) {
	w.mu.Lock()
	w.reading = true
	w.wake()
	w.mu.Unlock()
	n, err := w.Conn.Read(p)
	if n > 0 {
		w.touch()
	}
	if err != nil {
		w.failed()
	}
	if errors.Is(err, io.EOF) && !w.endedInOrder() {
		err = io.ErrUnexpectedEOF
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reading = false
	if refused := w.inspect(p[:n]); refused != nil {
		return 0, refused
	}
	return n, err
}

// endedInOrder reports whether a read has met the end of the connection because the other side closed it in order. The
// system reports a reset or a time-out only once: when a write gets the error, the read gets an ordinary end.
func (w *wire) endedInOrder() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	// A write in progress may have got the error and not returned yet.
	return !w.writeFailed && (!w.writing || !hungUp(w.Conn))
}

// inspect checks the beginning of an answer. The caller holds mu.
func (w *wire) inspect(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if w.sent == 0 && !w.writing {
		// No later write may pass, so that the request counts as not sent.
		w.sealed = true
		return errUnsolicited
	}
	n := min(len(p), len(answerStart)-w.matched)
	if string(p[:n]) != answerStart[w.matched:w.matched+n] {
		return errNoAnswer
	}
	w.matched += n
	return nil
}

// Write writes to the connection unless it was sealed.
func (w *wire) Write(p []byte) (int, error) {
	w.mu.Lock()
	if w.sealed {
		w.mu.Unlock()
		return 0, net.ErrClosed
	}
	w.writing = true
	w.mu.Unlock()
	n, err := w.Conn.Write(p)
	if n > 0 {
		w.touch()
	}
	w.mu.Lock()
	w.writing = false
	w.writeFailed = w.writeFailed || err != nil
	w.sent += int64(n)
	w.mu.Unlock()
	if err != nil {
		w.failed()
	}
	return n, err
}

func (w *wire) failed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.sealed {
		w.peerFailed.Store(true)
	}
}

// usable reports whether a connection that rests can still be used: it is neither closed nor failed, and nothing has
// arrived on it.
func (w *wire) usable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clean()
}

// Close closes the connection.
func (w *wire) Close() error {
	w.seal()
	return w.Conn.Close()
}

// reset makes the close of the connection drop what has not been delivered yet, so that a request that was given up
// does not reach a server that a cut or a full queue keeps it from.
func (w *wire) reset() {
	if tcp, ok := w.Conn.(*net.TCPConn); ok {
		// A connection that is already closed has nothing left to drop.
		_ = tcp.SetLinger(0)
	}
}

// seal makes every later write fail and reports whether a byte of the current request has left or may leave.
func (w *wire) seal() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sealed = true
	w.wake()
	return w.sent > 0 || w.writing
}
