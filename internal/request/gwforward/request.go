package gwforward

import (
	"net/http"
	"net/url"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// Request describes one attempt at a request of a caller. Forwarder.Send does not change it.
type Request struct {
	// ID is unique for the attempt. The answer must repeat it.
	ID string
	// CallerID is the request id that the caller has set, for logs. It is empty when there is none.
	CallerID    string
	OperationID string
	Tenant      gw.TenantName
	Target      gw.Target
	Repeatable  bool
	Limits      gw.ServiceLimits
	// Deadline is the time at which the sender of the request stops waiting for the answer.
	Deadline time.Time
	// Objective, Priority and NoWait have the meaning of those in gw.SlotRequest.
	Objective time.Time
	Priority  int
	NoWait    bool
	// Class is the cost class of the request, empty when the service is not cost-aware.
	Class gw.CostClass
	// Regions are the only ones in which the request may be served, empty for all.
	Regions []gw.RegionName

	Method string
	// URL has the path and the query of the request. Path is the path as it was received, empty for that of URL.
	URL  *url.URL
	Path string
	Host string
	// Header holds the headers as received. Only end-to-end headers are passed on.
	Header http.Header
	// Body is nil when the request has no body.
	Body *Body

	// Address is the address to which the request is sent, over at most Connections connections. Relay is set when it
	// is the address of a relay and not of the server itself.
	Address     string
	Connections int
	Relay       bool
}

// relayAllowanceMilliseconds is subtracted from the time left when the request is sent to a relay, so that a refusal
// of the relay arrives before the entry host's own deadline. remoteRelayAllowanceMilliseconds is used for a relay in
// another region, which is 20 ms away.
const (
	relayAllowanceMilliseconds       = 2
	remoteRelayAllowanceMilliseconds = 25
)

// timeLeft returns the milliseconds that the receiver of the request may use.
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

// DefaultProgressMilliseconds is the longest permitted silence of a server when the service sets no limit.
const DefaultProgressMilliseconds = 1000

// relayMarginMilliseconds is added to the permitted silence of a relay, so that the relay detects a silent server first
// and the connection to the relay is not treated as faulty.
const relayMarginMilliseconds = 500

// maxSilenceMilliseconds returns the longest permitted silence of the receiver. A relay is also silent while the
// request waits in the queue for a slot.
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

// addedHeaders is the largest number of headers that outgoing adds.
const addedHeaders = 13

// head returns the data about the attempt that is sent to the receiver.
func (r *Request) head(left int64) gw.Attempt {
	return gw.Attempt{
		ID: r.ID, OperationID: r.OperationID, Tenant: r.Tenant, Target: r.Target, TimeoutMilliseconds: left,
	}
}

// consentThresholdBytes is the size above which a body is sent to a relay in another region only after its consent: the
// body takes several round trips, and bytes between regions are paid for.
const consentThresholdBytes = 16 << 10

// probeThresholdBytes is the same for a request that only asks for a free slot. When servers are busy most such
// requests are refused, and each would take its body to another data centre in vain.
const probeThresholdBytes = 2 << 10

// needsConsent reports whether this host asks the receiver for consent before it sends the body, although the caller
// did not ask for it.
func (r *Request) needsConsent() bool {
	if !r.Relay || r.Body.src != nil || r.Body.expectsContinue {
		return false
	}
	n := r.Body.length
	return r.NoWait && n > probeThresholdBytes || r.Target.RemoteRegion && n > consentThresholdBytes
}

// outgoing returns the HTTP request to send. It has no GetBody and its body cannot be rewound, so that no lower layer
// can resend it.
func (r *Request) outgoing(servers gw.ServerProtocol, left int64, body *attemptBody) *http.Request {
	h := endToEnd(r.Header, addedHeaders)
	delete(h, HeaderIdempotencyKey)
	delete(h, HeaderXIdempotencyKey)
	if _, ok := h["User-Agent"]; !ok {
		// Keeps net/http from adding its own User-Agent.
		setHeader(h, "User-Agent", "")
	}
	if !r.Relay {
		servers.Encode(h, r.head(left))
	} else {
		NativeServers{}.Encode(h, r.head(min(left, MaxTimeoutMilliseconds)))
		setHeader(h, gw.HeaderTenant, EncodeName(string(r.Tenant)))
		setHeader(h, gw.HeaderService, EncodeName(string(r.Target.Service)))
		setHeader(h, gw.HeaderServer, EncodeName(string(r.Target.Server)))
		if r.Repeatable {
			setHeader(h, gw.HeaderRepeatable, "true")
		}
		if !r.Objective.IsZero() {
			objective := time.Until(r.Objective).Milliseconds()
			setHeader(h, gw.HeaderObjective, itoa(min(max(objective, -MaxTimeoutMilliseconds), MaxTimeoutMilliseconds)))
		}
		if r.Priority > 0 {
			setHeader(h, gw.HeaderPriority, itoa(int64(r.Priority)))
		}
		if r.NoWait {
			setHeader(h, gw.HeaderNoWait, "true")
		}
		if r.Class != "" {
			setHeader(h, gw.HeaderCostClass, EncodeName(string(r.Class)))
		}
		if len(r.Regions) > 0 {
			setHeader(h, gw.HeaderRegions, EncodeRegions(r.Regions))
		}
		if r.CallerID != "" {
			setHeader(h, gw.HeaderCallerID, r.CallerID)
		}
	}
	out := &http.Request{
		Method: r.Method,
		URL: withPath(url.URL{
			Scheme: "http", Host: r.Address, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery,
			ForceQuery: r.URL.ForceQuery,
		}, r.Path),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     h,
		Host:       r.Host,
	}
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
