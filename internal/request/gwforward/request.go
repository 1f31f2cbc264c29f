package gwforward

import (
	"net/http"
	"net/url"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// Request is one attempt to run a caller's request. Forwarder.Send does not change it.
type Request struct {
	// ID is unique for the attempt; the answer must repeat it.
	ID string
	// CallerID is the caller's own id of the request, for logs; empty when it has none.
	CallerID    string
	OperationID string
	Tenant      gw.TenantName
	Target      gw.Target
	Repeatable  bool
	Limits      gw.ServiceLimits
	// Deadline is when the sender of the request stops waiting for the answer.
	Deadline time.Time
	// Objective, Priority and NoWait are those of gw.SlotRequest.
	Objective time.Time
	Priority  int
	NoWait    bool

	Method string
	// URL holds path and query.
	URL  *url.URL
	Host string
	// Header is as it was received; only end-to-end headers are passed on.
	Header http.Header
	// Body is nil when the request has none.
	Body *Body

	// Address is where the request is sent, over at most Connections connections. Relay is set when a relay
	// listens there and not the server itself.
	Address     string
	Connections int
	Relay       bool
}

// hopMilliseconds is subtracted from the time left for a relay, so that its refusal arrives before the entry
// host's own deadline; remoteHopMilliseconds is used for a relay in another region, which is 20 ms away.
const (
	relayAllowanceMilliseconds       = 2
	remoteRelayAllowanceMilliseconds = 25
)

// timeLeft returns the milliseconds that the receiver may use.
func (r *Request) timeLeft(now time.Time) int64 {
	left := r.Deadline.Sub(now).Milliseconds()
	switch {
	case r.Relay && r.Target.RemoteRegion:
		left -= remoteRelayAllowanceMilliseconds
	case r.Relay:
		left -= relayAllowanceMilliseconds
	}
	return left
}

// DefaultProgressMilliseconds is the longest silence of a server when the service sets none.
const DefaultProgressMilliseconds = 1000

// relayMarginMilliseconds is added to the silence permitted to a relay, so that the relay notices a silent
// server first and the connection to the relay is not suspected.
const relayMarginMilliseconds = 500

// progress returns the longest permitted silence in milliseconds. A relay is also silent while the request
// waits in the queue for a slot.
func (r *Request) maxSilenceMilliseconds() int64 {
	n := r.Limits.ProgressMilliseconds
	if n <= 0 {
		n = DefaultProgressMilliseconds
	}
	if r.Relay {
		n += r.Limits.QueueMilliseconds + relayMarginMilliseconds
	}
	return n
}

// ownHeaders is the number of headers that outgoing adds.
const addedHeaders = 12

// head returns what the receiver is told about the attempt.
func (r *Request) head(left int64) gw.Attempt {
	return gw.Attempt{
		ID: r.ID, OperationID: r.OperationID, Tenant: r.Tenant, Target: r.Target, TimeoutMilliseconds: left,
	}
}

// consentAbove is the size in bytes from which a body waits for the consent of a relay in another region: it takes
// several round trips, and bytes between regions are paid for.
const consentThresholdBytes = 16 << 10

// asksConsent reports whether the receiver is asked for consent before the body is sent, although the caller did
// not ask.
func (r *Request) needsConsent() bool {
	return r.Relay && r.Target.RemoteRegion && r.Body.src == nil && !r.Body.expectsContinue &&
		r.Body.length > consentThresholdBytes
}

// outgoing returns the request to send. It has no GetBody and its body cannot be rewound, so that no layer
// below can send it again.
func (r *Request) outgoing(servers gw.ServerProtocol, left int64, body *attemptBody) *http.Request {
	h := endToEnd(r.Header, addedHeaders)
	delete(h, HeaderIdempotencyKey)
	delete(h, HeaderXIdempotencyKey)
	if _, ok := h["User-Agent"]; !ok {
		// Keeps net/http from adding its own.
		setHeader(h, "User-Agent", "")
	}
	if !r.Relay {
		servers.Encode(h, r.head(left))
	} else {
		NativeServers{}.Encode(h, r.head(left))
		setHeader(h, gw.HeaderService, string(r.Target.Service))
		setHeader(h, gw.HeaderServer, string(r.Target.Server))
		if r.Repeatable {
			setHeader(h, gw.HeaderRepeatable, "true")
		}
		if !r.Objective.IsZero() {
			setHeader(h, gw.HeaderObjective, itoa(time.Until(r.Objective).Milliseconds()))
		}
		if r.Priority > 0 {
			setHeader(h, gw.HeaderPriority, itoa(int64(r.Priority)))
		}
		if r.NoWait {
			setHeader(h, gw.HeaderNoWait, "true")
		}
		if r.CallerID != "" {
			setHeader(h, gw.HeaderCallerID, r.CallerID)
		}
	}
	out := &http.Request{
		Method:     r.Method,
		URL:        &url.URL{Scheme: "http", Host: r.Address, Path: r.URL.Path, RawPath: r.URL.RawPath},
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     h,
		Host:       r.Host,
	}
	out.URL.RawQuery, out.URL.ForceQuery = r.URL.RawQuery, r.URL.ForceQuery
	if body != nil {
		out.Body, out.ContentLength = body, r.Body.length
		if r.needsConsent() {
			setHeader(h, gw.HeaderConsent, "true")
		}
		if r.Body.expectsContinue && r.Body.Replayable() || r.needsConsent() {
			setHeader(h, "Expect", "100-continue")
		}
	}
	return out
}
