// Package gwforward sends a request to a server or relay at most once, streams its body and its answer, and classifies
// the outcome.
package gwforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwadapter"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwpool"
)

// Forwarder sends requests to servers and relays.
type Forwarder struct {
	pool    *gwpool.Pool
	servers gw.ServerProtocol
	metrics *metrics
}

// New returns a Forwarder.
func New(opts ...Option) *Forwarder {
	var o Options
	for _, opt := range opts {
		opt(&o)
	}
	if o.Pool == nil {
		o.Pool = gwpool.New()
	}
	if o.Servers == nil {
		o.Servers = NativeServers{}
	}
	return &Forwarder{pool: o.Pool, servers: o.Servers, metrics: newMetrics(o.Registerer)}
}

// Pool returns the connection pool of the forwarder.
func (f *Forwarder) Pool() *gwpool.Pool {
	return f.pool
}

// maxConnectionsTried is the largest number of connections that are tried for one request. Another one is tried only
// when a pooled connection was closed before a byte of the request was sent on it, so that nothing is sent twice.
const maxConnectionsTried = 3

// Failure describes an attempt that got no answer.
type Failure struct {
	*gw.Refusal
	// Status and Incarnation are those of the server's refusal. They are zero when the server sent none.
	Status      int
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
}

// Send sends the request at most once. It returns an answer of which at least the head has arrived, or a failure whose
// reason says what is known about the outcome. A small answer has arrived completely. A larger one is read by
// Answer.Write. The answer must be closed.
func (f *Forwarder) Send(ctx context.Context, r *Request) (*Answer, *Failure) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	var answer *Answer
	var failed *Failure
	for range maxConnectionsTried {
		var again bool
		if answer, failed, again = f.sendOnConnection(ctx, r); !again {
			break
		}
		f.metrics.stale.Inc()
	}
	if failed != nil {
		cancel()
		f.metrics.count(r, failed.Reason)
		return nil, failed
	}
	answer.cancel = cancel
	if refusal := answer.prefetch(); refusal != nil {
		f.metrics.count(r, refusal.Reason)
		return nil, &Failure{Refusal: refusal}
	}
	f.metrics.answered.Inc()
	return answer, nil
}

// sendOnConnection sends the request on one connection. It reports true when another connection may be tried: this one
// was closed before a byte of the request was sent, and the body can be sent from its first byte.
func (f *Forwarder) sendOnConnection(ctx context.Context, r *Request) (*Answer, *Failure, bool) {
	conn, err := f.pool.Acquire(ctx, r.Address, r.Connections)
	if err != nil {
		return nil, &Failure{Refusal: acquireRefusal(ctx, err)}, false
	}
	if !r.Relay && conn.HasRefused(r.CallerID) {
		conn.Discard()
		refusal := gw.Refuse(gw.ReasonNoServer, "the server has refused the request on each of its connections")
		return nil, &Failure{Refusal: refusal}, true
	}
	left := r.timeLeft(time.Now())
	if left <= 0 {
		conn.Release()
		refusal := gw.Refuse(gw.ReasonDeadlineTooShort, "the time left is too short to send the request")
		return nil, &Failure{Refusal: refusal}, false
	}
	body := r.Body.open(conn)
	out := r.outgoing(f.servers, left, body).WithContext(ctx)
	resp, err := conn.RoundTrip(out, r.maxSilenceMilliseconds()) //nolint:bodyclose // Answer.end closes it.
	if err != nil {
		sent := conn.Discard()
		_ = body.Close()
		failed := &Failure{Refusal: classifyFailure(ctx, r, conn, sent, err)}
		return nil, failed, !sent && ctx.Err() == nil && r.Body.Replayable()
	}
	answer := newAnswer(ctx, r, conn, resp)
	answer.requestBody = body
	if refusal := answer.check(f.servers, r.head(left)); refusal != nil {
		return nil, &Failure{
			Refusal: refusal, Status: answer.Status, Incarnation: answer.Incarnation,
			Leaving: answer.Leaving, PausedUntil: answer.PausedUntil, LimitPerSecond: answer.LimitPerSecond,
			Load: answer.Load, Report: answer.Report,
		}, false
	}
	return answer, nil, false
}

func acquireRefusal(ctx context.Context, err error) *gw.Refusal {
	switch {
	case ctx.Err() != nil:
		return gw.Refuse(gw.ReasonDeadlineTooShort, "no connection became free or was established before the deadline")
	case errors.Is(err, gwpool.ErrClosed):
		return gw.Refuse(gw.ReasonStopping, "this host is stopping")
	default:
		return gw.Refuse(gw.ReasonNoServer, "no connection could be established")
	}
}

// classifyFailure returns the refusal for an attempt that got no answer or only a part of it.
func classifyFailure(ctx context.Context, r *Request, conn *gwpool.Conn, sent bool, err error) *gw.Refusal {
	bodyErr := r.Body.readError()
	if !sent {
		switch {
		case errors.Is(bodyErr, ErrBodyTooLarge):
			return gw.Refuse(gw.ReasonBodyTooLarge, "the request body is larger than the service permits")
		case errors.Is(bodyErr, ErrBodyFailed):
			return gw.Refuse(gw.ReasonBadRequest, "the request body ended early or could not be read")
		case ctx.Err() != nil:
			return gw.Refuse(gw.ReasonDeadlineTooShort, "the deadline passed before the request was sent")
		default:
			return gw.Refuse(gw.ReasonNoServer, "the connection was closed before the request was sent")
		}
	}
	switch {
	case errors.Is(err, gwadapter.ErrBadHead):
		return gw.Refuse(gw.ReasonBadAnswer, "the head of the server's answer does not follow HTTP")
	case conn.Silent():
		return gw.Refuse(gw.ReasonNoProgress, "the server sent nothing for longer than the service permits")
	case errors.Is(ctx.Err(), context.DeadlineExceeded) || !time.Now().Before(r.Deadline):
		return gw.Refuse(gw.ReasonDeadlineExceeded, "the answer did not arrive before the deadline")
	case errors.Is(bodyErr, ErrBodyTooLarge):
		return gw.Refuse(gw.ReasonConnectionLost, "the request body exceeded the limit of the service and was cut off")
	case errors.Is(bodyErr, ErrBodyFailed):
		return gw.Refuse(gw.ReasonConnectionLost, "the request body ended early or could not be read and was cut off")
	case ctx.Err() != nil:
		return gw.Refuse(gw.ReasonConnectionLost, "the request was cancelled")
	case conn.PeerFailed() || errors.Is(err, io.ErrUnexpectedEOF):
		return gw.Refuse(gw.ReasonConnectionLost, "the connection was lost before the whole answer arrived")
	default:
		return gw.Refuse(gw.ReasonBadAnswer, "the server sent no valid answer")
	}
}

// check checks the head of the answer. When it returns a refusal, the answer is closed.
func (a *Answer) check(servers gw.ServerProtocol, attempt gw.Attempt) *gw.Refusal {
	var head gw.ServerHead
	if a.r.Relay {
		head = relayHead(servers, attempt, a.resp)
	} else {
		head = servers.Decode(attempt, a.resp.Request.Header, a.resp)
	}
	if head.Contradiction != "" {
		a.end(false)
		return gw.Refuse(gw.ReasonBadAnswer, head.Contradiction)
	}
	refusal := head.Refusal
	if refusal != nil {
		a.conn.NoteRefused(a.r.CallerID)
	}
	a.Incarnation, a.Leaving, a.LimitPerSecond = head.Incarnation, head.Leaving, head.LimitPerSecond
	a.Load = head.Load
	if a.r.Relay {
		a.Report = decodeReport(a.resp.Header, a.FirstByte)
	}
	if head.PauseMilliseconds > 0 {
		a.PausedUntil = a.FirstByte.Add(time.Duration(head.PauseMilliseconds) * time.Millisecond)
	}
	switch {
	case refusal == nil:
		a.Header = endToEnd(a.resp.Header, addedHeaders)
	case refusal.Reason == gw.ReasonBadAnswer || !a.requestBody.sent():
		a.end(false)
	default:
		a.drain()
	}
	return refusal
}

// relayHead decodes the head of a relay's answer, which may be that of a server.
func relayHead(servers gw.ServerProtocol, attempt gw.Attempt, resp *http.Response) gw.ServerHead {
	head := gw.ServerHead{Contradiction: contradiction(attempt.ID, resp), Refusal: relayRefusal(resp)}
	if head.Contradiction == "" && len(resp.Header[gw.HeaderRequestID]) == 0 {
		head.Contradiction = "the answer of the relay has no request id"
	}
	head.Incarnation = incarnationOf(resp)
	if head.Contradiction == "" && head.Refusal == nil {
		head.Leaving = servers.Leaving(resp.Header)
	}
	return head
}

func incarnationOf(resp *http.Response) gw.Incarnation {
	incarnation, _ := SingleValue(resp.Header, gw.HeaderIncarnation)
	return gw.Incarnation(incarnation)
}

// contradiction returns why an answer cannot belong to the request, or an empty string.
func contradiction(requestID string, resp *http.Response) string {
	for _, id := range resp.Header[gw.HeaderRequestID] {
		if id != requestID {
			return "the answer belongs to another request"
		}
	}
	if !Delimited(resp) {
		return "the answer has neither a declared length nor chunked encoding, so that its end cannot be told from a cut"
	}
	return ""
}

// Delimited reports whether the end of an answer can be told from a lost connection: it has a length, chunked
// encoding or no body.
func Delimited(resp *http.Response) bool {
	if resp.ContentLength >= 0 || resp.Body == http.NoBody || len(resp.TransferEncoding) > 0 {
		return true
	}
	return resp.Request != nil && resp.Request.Method == http.MethodHead
}
