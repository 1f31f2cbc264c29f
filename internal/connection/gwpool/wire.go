package gwpool

import (
	"errors"
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
	// matched is how many bytes of answerStart the answer has begun with.
	matched int
}

// answerStart is what every answer begins with.
const answerStart = "HTTP/"

var errNoAnswer = errors.New("the bytes are no answer")

// begin starts the counting for a request.
func (w *wire) begin() {
	w.touch()
	w.mu.Lock()
	w.sent, w.matched = 0, 0
	w.mu.Unlock()
}

func (w *wire) touch() {
	w.progress.Store(int64(sinceStart()))
}

// Read reads from the connection. It fails when an answer does not begin as one.
func (w *wire) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	if n > 0 {
		w.touch()
	}
	if err != nil {
		w.failed()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if refused := w.inspect(p[:n]); refused != nil {
		return 0, refused
	}
	return n, err
}

// inspect checks the beginning of an answer. The caller holds mu.
func (w *wire) inspect(p []byte) error {
	if len(p) == 0 {
		return nil
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

// usable reports whether the connection is neither closed nor failed.
func (w *wire) usable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.sealed && !w.peerFailed.Load()
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
	return w.sent > 0 || w.writing
}
