package gwentry

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwpipeline"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
)

// pendingCall is a call that was begun before its turn, because its caller sent it behind another one on the same
// connection. Its deadline counts from its arrival.
type pendingCall struct {
	*call
	cancel context.CancelFunc
	leave  func()
	// ended is closed once answer or refusal is set.
	ended   chan struct{}
	answer  *gwforward.Answer
	refusal *gw.Refusal
	// claimed is set by whoever delivers the answer or gives it up.
	claimed atomic.Bool
}

// StartPipelined is the gwpipeline.Starter of the handler. It begins requests that may be repeated and have no body:
// they run again if the connection ends before their turn. Others wait, and so do all while the host stops.
func (h *Handler) StartPipelined(ctx context.Context, r *http.Request) gwpipeline.Pending {
	x := h.currentIndex()
	if x == nil || r.ContentLength != 0 || r.Close || r.Header.Get("Expect") != "" || !h.gate.Enter() {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	c := h.newCall(r.WithContext(ctx), x)
	if refusal := c.readHead(x, c.started); refusal != nil || !c.repeatable {
		cancel()
		h.gate.Leave()
		return nil
	}
	leave, refusal := h.admit(ctx, c)
	if refusal != nil {
		cancel()
		h.gate.Leave()
		return nil
	}
	p := &pendingCall{call: c, cancel: cancel, leave: leave, ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		p.answer, p.refusal = h.attempt(ctx, c)
	}()
	return p
}

// matches reports whether the request whose turn has come is the one that was begun. All of the head has to be the
// same: net/http may count the requests of a connection in another way than gwpipeline when their heads are unusual.
func (p *pendingCall) matches(r *http.Request) bool {
	return r.Method == p.in.Method && r.RequestURI == p.in.RequestURI && r.Host == p.in.Host &&
		r.Proto == p.in.Proto && r.ContentLength == 0 && maps.EqualFunc(r.Header, p.in.Header, slices.Equal)
}

// deliver passes the answer of a call on that was begun before its turn.
func (h *Handler) deliver(w http.ResponseWriter, rc *http.ResponseController, p *pendingCall) {
	p.claimed.Store(true)
	defer p.release()
	<-p.ended
	p.rc = rc
	h.write(w, p.call, p.answer, p.refusal)
}

// Abandon implements gwpipeline.Pending.
func (p *pendingCall) Abandon() {
	if p.claimed.Swap(true) {
		return
	}
	p.cancel()
	go func() {
		defer p.release()
		<-p.ended
		if p.answer != nil {
			p.answer.Close()
		}
	}()
}

// release frees what the call holds.
func (p *pendingCall) release() {
	p.finish()
	p.cancel()
	p.leave()
	p.handler.gate.Leave()
}
