package gwrelay

import (
	"net/http"
	"sync/atomic"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
)

const (
	// streamedBytes is what a body takes that is not read into memory: the buffers of both connections.
	streamedBytes = 64 << 10
	// bodiesRetryMilliseconds is when a request may return that was refused for want of memory. Bodies are kept until
	// their requests are answered, which takes some 100 ms.
	bodiesRetryMilliseconds = 200
)

// bodies bounds the memory of the bodies that other hosts send here. Each of those hosts bounds what its own callers
// hold, but many may send to one dispatcher.
type bodies struct {
	// limit is in bytes, zero for none.
	limit int64
	held  atomic.Int64
}

// reserve reserves the memory of a request's body until release is called.
func (b *bodies) reserve(in *http.Request) (release func(), refusal *gw.Refusal) {
	release = func() {}
	if b.limit <= 0 || in.ContentLength == 0 {
		return release, nil
	}
	bytes := int64(streamedBytes)
	if n := in.ContentLength; n > 0 && n <= gwforward.MaxBufferedBytes {
		// The buffer has twice the size when it grows.
		bytes = 2 * n
	}
	if b.held.Add(bytes) > b.limit {
		b.held.Add(-bytes)
		refusal = gw.Refuse(gw.ReasonOverloaded, "the memory of this host for request bodies is in use")
		refusal.RetryAfterMilliseconds = bodiesRetryMilliseconds
		return release, refusal
	}
	return func() { b.held.Add(-bytes) }, nil
}
