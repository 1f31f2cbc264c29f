package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

const (
	soakTenant = "members"
	soakKeys   = 64
	// soakAnswerTimeout is longer than any deadline of the services, so that a request without an answer is noticed.
	soakAnswerTimeout = 15 * time.Second
	soakDialTimeout   = time.Second
	soakRedialPause   = 50 * time.Millisecond
	// soakStreamed is above the size up to which hosts read a body before they send the request.
	soakStreamed = 600 << 10
)

// soakDeadlines are the deadlines of the services in testdata/soak.
var soakDeadlines = map[string]time.Duration{
	"names": 4 * time.Second, "claims": 6 * time.Second, "documents": 8 * time.Second,
}

// soakKind is a kind of request.
type soakKind struct {
	weight int
	method string
	route  string
	// once is set for requests that must not run more than once.
	once    bool
	bytes   int
	pieces  int
	chunked bool
	// slowHead sends the head in two pieces.
	slowHead bool
}

var soakKinds = []soakKind{
	{weight: 30, method: http.MethodGet, route: "names"},
	{weight: 10, method: http.MethodPut, route: "names", once: true, bytes: 300, pieces: 1},
	{weight: 5, method: http.MethodPut, route: "names", once: true, bytes: 20_000, pieces: 6},
	{weight: 20, method: http.MethodPost, route: "claims", once: true, bytes: 200, pieces: 1},
	{weight: 5, method: http.MethodPost, route: "claims", once: true, bytes: 4000, pieces: 10},
	{weight: 5, method: http.MethodGet, route: "claims", once: true, slowHead: true},
	{weight: 15, method: http.MethodGet, route: "documents"},
	{weight: 4, method: http.MethodPost, route: "documents", once: true, bytes: 30_000, pieces: 8, chunked: true},
	{weight: 3, method: http.MethodPost, route: "documents", once: true, bytes: soakStreamed, pieces: 12},
	{weight: 3, method: http.MethodPost, route: "documents", once: true, bytes: 2000, pieces: 2, slowHead: true},
}

// pickKind draws a kind by weight; the weights add up to 100.
func pickKind(rng *rand.Rand) soakKind {
	n, i := rng.IntN(100)-soakKinds[0].weight, 0
	for ; n >= 0; n -= soakKinds[i].weight {
		i++
	}
	return soakKinds[i]
}

// soakPiece is a part of a request that is written after a pause.
type soakPiece struct {
	pause time.Duration
	data  []byte
}

// soakAttempt is a request and how it ended for its client.
type soakAttempt struct {
	id   string
	host gw.HostName
	kind soakKind
	path string
	// local is the client's address, nth the number of the request on its connection.
	local string
	nth   int

	start time.Time
	// sent is the time at which the last byte was written, zero when not all bytes were.
	sent time.Time
	end  time.Time

	status  int
	outcome gw.Outcome
	reason  gw.Reason
	body    []byte
	// err is set when there was no complete answer.
	err error
}

// String describes the attempt without its times.
func (a soakAttempt) String() string {
	return fmt.Sprintf("%s %s %s (%d bytes) through %s from %s, request %d of its connection: status %d %s %s, error %v",
		a.id, a.kind.method, a.path, a.kind.bytes, a.host, a.local, a.nth, a.status, a.outcome, a.reason, a.err)
}

// soakClient sends requests to one host, over one connection at a time. It never repeats a request, and uses its
// connection until an answer says that it ends, or until it is closed.
type soakClient struct {
	number int
	host   gw.HostEntry
	rng    *rand.Rand
	// pause is the longest pause between two requests.
	pause time.Duration

	conn     net.Conn
	reader   *bufio.Reader
	nth      int
	attempts []soakAttempt
}

// run sends requests until ctx ends. A request in progress is finished.
func (c *soakClient) run(ctx context.Context) {
	defer c.close()
	for n := 0; ctx.Err() == nil; n++ {
		if c.conn == nil && !c.dial(ctx) {
			pauseFor(ctx, soakRedialPause)
			continue
		}
		c.attempts = append(c.attempts, c.send(n))
		pauseFor(ctx, time.Duration(c.rng.Int64N(int64(c.pause)+1)))
	}
}

func pauseFor(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (c *soakClient) dial(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: soakDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.host.CallerAddress)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.nth = conn, bufio.NewReader(conn), 0
	return true
}

func (c *soakClient) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send makes one request. The body is written while the answer is read, which may come first.
func (c *soakClient) send(n int) soakAttempt {
	kind := pickKind(c.rng)
	c.nth++
	a := soakAttempt{
		id: fmt.Sprintf("soak-%d-%d", c.number, n), host: c.host.Name, kind: kind,
		path: fmt.Sprintf("/%s/key-%d", kind.route, c.rng.IntN(soakKeys)), local: c.conn.LocalAddr().String(), nth: c.nth,
	}
	pieces := c.pieces(a)
	a.start = time.Now()
	_ = c.conn.SetDeadline(a.start.Add(soakAnswerTimeout))
	ctx, cancel := context.WithCancel(context.Background())
	type written struct {
		at  time.Time
		err error
	}
	done := make(chan written, 1)
	go func() {
		err := writePieces(ctx, c.conn, pieces)
		done <- written{time.Now(), err}
	}()
	closing := c.readAnswer(&a)
	a.end = time.Now()
	cancel()
	if a.err == nil && closing {
		// Ends a write that the host no longer reads.
		_ = c.conn.SetWriteDeadline(time.Now())
	}
	w := <-done
	if w.err == nil {
		a.sent = w.at
	}
	if a.err != nil || closing || w.err != nil {
		c.close()
	}
	return a
}

// readAnswer reads a whole answer and reports whether the connection ends with it.
func (c *soakClient) readAnswer(a *soakAttempt) (closing bool) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: a.kind.method})
	if err != nil {
		a.err = err
		return true
	}
	defer func() { _ = resp.Body.Close() }()
	a.status = resp.StatusCode
	a.outcome, a.reason = gw.Outcome(resp.Header.Get(gw.HeaderOutcome)), gw.Reason(resp.Header.Get(gw.HeaderReason))
	body, err := io.ReadAll(resp.Body)
	a.body, a.err = bytes.TrimSpace(body), err
	return resp.Close
}

func writePieces(ctx context.Context, conn net.Conn, pieces []soakPiece) error {
	for _, p := range pieces {
		pauseFor(ctx, p.pause)
		if err := ctx.Err(); err != nil {
			return err
		}
		if _, err := conn.Write(p.data); err != nil {
			return err
		}
	}
	return nil
}

// pieces returns the bytes of a request. It is sent without gaps unless its kind says otherwise.
func (c *soakClient) pieces(a soakAttempt) []soakPiece {
	k := a.kind
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nIdempotency-Key: %s\r\n",
		k.method, a.path, c.host.CallerAddress, gw.HeaderTenant, soakTenant, a.id)
	switch {
	case k.chunked:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case k.pieces > 0:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", k.bytes)
	}
	head.WriteString("\r\n")
	pieces := []soakPiece{{data: head.Bytes()}}
	if k.slowHead {
		cut := 1 + c.rng.IntN(head.Len()-1)
		pieces = []soakPiece{
			{data: head.Bytes()[:cut]},
			{pause: time.Duration(c.rng.IntN(500)) * time.Millisecond, data: head.Bytes()[cut:]},
		}
	}
	for i := range k.pieces {
		data := bytes.Repeat([]byte{'x'}, k.bytes*(i+1)/k.pieces-k.bytes*i/k.pieces)
		if k.chunked {
			data = fmt.Appendf(nil, "%x\r\n%s\r\n", len(data), data)
			if i == k.pieces-1 {
				data = append(data, "0\r\n\r\n"...)
			}
		}
		if k.pieces == 1 {
			pieces[len(pieces)-1].data = append(pieces[len(pieces)-1].data, data...)
			break
		}
		pieces = append(pieces, soakPiece{pause: time.Duration(c.rng.IntN(150)) * time.Millisecond, data: data})
	}
	return pieces
}

// soakSlack is the time after the last byte of a request within which its connection may end without an answer,
// because the host closed it before it saw the request.
const soakSlack = 200 * time.Millisecond

// soakLate is how long after its deadline a request may be answered.
const soakLate = time.Second

var (
	errCrossed = errors.New("the request crossed the close of its connection")
	errUnsent  = errors.New("the connection ended before all bytes were written")
)

// check returns what is wrong with the way the attempt ended. ran is how often it ran on any server.
func (a soakAttempt) check(ran int) error {
	if a.kind.once && ran > 1 {
		return fmt.Errorf("ran %d times", ran)
	}
	if a.err != nil {
		return a.checkCut(ran)
	}
	deadline := soakDeadlines[a.kind.route]
	took := a.end.Sub(a.start)
	if took > deadline+soakLate {
		return fmt.Errorf("answered after %v, the deadline is %v", took, deadline)
	}
	var own struct {
		Key    string    `json:"key"`
		Bytes  int       `json:"bytes"`
		Reason gw.Reason `json:"reason"`
	}
	if err := json.Unmarshal(a.body, &own); err != nil {
		return fmt.Errorf("body %q: %w", a.body, err)
	}
	switch a.outcome {
	case gw.OutcomeAnswered:
		if a.status != http.StatusOK || own.Key != a.path || ran == 0 || a.kind.pieces > 0 && own.Bytes != a.kind.bytes {
			return fmt.Errorf("answered with the key %q and a body of %d bytes, ran %d times", own.Key, own.Bytes, ran)
		}
	case gw.OutcomeNotRun:
		if ran != 0 || own.Reason != a.reason || a.reason == "" {
			return fmt.Errorf("refused as not-run with the body %q, ran %d times", a.body, ran)
		}
	case gw.OutcomeUnknown:
		if a.reason != gw.ReasonDeadlineExceeded || took < deadline*9/10 {
			return fmt.Errorf("broken off after %v though no server failed, ran %d times: %s", took, ran, a.body)
		}
	default:
		return fmt.Errorf("unknown outcome %q", a.outcome)
	}
	return nil
}

// checkCut checks an attempt whose connection ended without a complete answer.
func (a soakAttempt) checkCut(ran int) error {
	switch {
	case a.status != 0:
		return errors.New("lost: the answer is not complete")
	case ran > 0:
		return errors.New("lost: passed on to a server, and the connection ended without an answer")
	case a.sent.IsZero():
		return errUnsent
	case a.end.Sub(a.sent) > soakSlack:
		return fmt.Errorf("lost: the connection ended without an answer %v after the last byte", a.end.Sub(a.sent))
	}
	return errCrossed
}
