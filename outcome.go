package geraniumworks

import "net/http"

// Outcome says whether a request ran on a backend server.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeNotRun means that no part of the request was run and that it will not run later.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run, or may still run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeAnswered means that the answer is the backend server's own.
	OutcomeAnswered Outcome = "answered"
)

// Headers that the system adds to requests and answers.
const (
	// HeaderOutcome carries the Outcome of the request on every answer.
	HeaderOutcome = "Gw-Outcome"
	// HeaderReason carries the Reason on every refusal.
	HeaderReason = "Gw-Reason"
	// HeaderRequestID carries an id that is unique for one attempt at a server; the answer repeats it.
	HeaderRequestID = "Gw-Request-Id"
	// HeaderOperationID carries the caller's idempotency key to the server.
	HeaderOperationID = "Gw-Operation-Id"
	// HeaderTimeout carries the time that is left for the request, in milliseconds.
	HeaderTimeout = "Gw-Timeout-Milliseconds"
	// HeaderPosition carries the Position of the request's key.
	HeaderPosition = "Gw-Position"
	// HeaderToken carries the fencing token of the range, a decimal revision.
	HeaderToken = "Gw-Token"
	// HeaderIncarnation carries the incarnation of the server that answered.
	HeaderIncarnation = "Gw-Incarnation"
	// HeaderServer names the backend server from an entry host to a dispatcher, and on the answer.
	HeaderServer = "Gw-Server"
	// HeaderTenant names the tenant of a request.
	HeaderTenant = "Gw-Tenant"
	// HeaderService names the service from an entry host to a dispatcher.
	HeaderService = "Gw-Service"
	// HeaderRepeatable is "true" from an entry host to a dispatcher when the request may be repeated.
	HeaderRepeatable = "Gw-Repeatable"
	// HeaderRetryAfter carries Refusal.RetryAfterMilliseconds.
	HeaderRetryAfter = "Gw-Retry-After-Milliseconds"
	// HeaderObjective carries the milliseconds until the objective of the request, HeaderPriority its rank, and
	// HeaderNoWait is "true" when the request must not wait for a slot; from an entry host to a dispatcher.
	HeaderObjective = "Gw-Objective-Milliseconds"
	HeaderPriority  = "Gw-Priority"
	HeaderNoWait    = "Gw-No-Wait"
	// HeaderCostClass carries the CostClass of the request from an entry host to a dispatcher.
	HeaderCostClass = "Gw-Cost-Class"
	// HeaderWait carries the milliseconds that a further request would wait for a slot, from a dispatcher to an entry
	// host.
	HeaderWait = "Gw-Wait-Milliseconds"
	// HeaderServed carries the milliseconds from the sending of the request to the server to the head of its answer, from
	// a dispatcher to an entry host.
	HeaderServed = "Gw-Served-Milliseconds"
	// HeaderConsent is "true" from an entry host to a dispatcher when the entry host, and not the caller, waits for
	// consent before it sends the body.
	HeaderConsent = "Gw-Consent"
	// HeaderCallerID carries the caller's own id of the request between hosts, for their logs.
	HeaderCallerID = "Gw-Caller-Id"
	// HeaderRegions lists the regions in which the request may be served, from an entry host to a dispatcher, where keys
	// are required and not all regions are permitted.
	HeaderRegions = "Gw-Regions"
	// HeaderHomeRegions lists the home regions of the tenant on a wrong-region refusal.
	HeaderHomeRegions = "Gw-Home-Regions"
)

// Reason is the machine-readable reason of a refusal.
type Reason string

// Reasons of refusals.
const (
	ReasonBadRequest       Reason = "bad-request"
	ReasonUnknownTenant    Reason = "unknown-tenant"
	ReasonUnauthenticated  Reason = "unauthenticated"
	ReasonNoRoute          Reason = "no-route"
	ReasonBodyTooLarge     Reason = "body-too-large"
	ReasonWrongRegion      Reason = "wrong-region"
	ReasonTenantLimit      Reason = "tenant-limit"
	ReasonOverloaded       Reason = "overloaded"
	ReasonShed             Reason = "shed"
	ReasonNoOwner          Reason = "no-owner"
	ReasonNoServer         Reason = "no-server"
	ReasonDeadlineTooShort Reason = "deadline-too-short"
	ReasonStopping         Reason = "stopping"
	ReasonNotReady         Reason = "not-ready"
	ReasonConnectionLost   Reason = "connection-lost"
	ReasonBadAnswer        Reason = "bad-answer"
	ReasonDeadlineExceeded Reason = "deadline-exceeded"
	ReasonNoProgress       Reason = "no-progress"
)

var reasonStatus = map[Reason]int{
	ReasonBadRequest:       http.StatusBadRequest,
	ReasonUnknownTenant:    http.StatusForbidden,
	ReasonUnauthenticated:  http.StatusUnauthorized,
	ReasonNoRoute:          http.StatusNotFound,
	ReasonBodyTooLarge:     http.StatusRequestEntityTooLarge,
	ReasonWrongRegion:      http.StatusMisdirectedRequest,
	ReasonTenantLimit:      http.StatusTooManyRequests,
	ReasonOverloaded:       http.StatusServiceUnavailable,
	ReasonShed:             http.StatusServiceUnavailable,
	ReasonNoOwner:          http.StatusServiceUnavailable,
	ReasonNoServer:         http.StatusServiceUnavailable,
	ReasonDeadlineTooShort: http.StatusServiceUnavailable,
	ReasonStopping:         http.StatusServiceUnavailable,
	ReasonNotReady:         http.StatusServiceUnavailable,
	ReasonConnectionLost:   http.StatusBadGateway,
	ReasonBadAnswer:        http.StatusBadGateway,
	ReasonDeadlineExceeded: http.StatusGatewayTimeout,
	ReasonNoProgress:       http.StatusGatewayTimeout,
}

// Status returns the HTTP status of a refusal for the reason.
func (r Reason) Status() int {
	if status, ok := reasonStatus[r]; ok {
		return status
	}
	return http.StatusBadGateway
}

// Outcome returns what a refusal for the reason promises: 502 and 504 are unknown, all others not-run.
func (r Reason) Outcome() Outcome {
	switch r.Status() {
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return OutcomeUnknown
	default:
		return OutcomeNotRun
	}
}

// Refusal is an answer of the system's own. It is an error, so that request code can return it.
type Refusal struct {
	Reason Reason `json:"reason"`
	// Detail is a sentence for people. It holds no key, path or body of the request.
	Detail string `json:"detail"`
	// HomeRegions is set on ReasonWrongRegion.
	HomeRegions []RegionName `json:"home-regions,omitempty"`
	// RetryAfterSeconds is set when a later attempt is likely to be accepted.
	RetryAfterSeconds int `json:"retry-after-seconds,omitempty"`
	// RetryAfterMilliseconds says the same more precisely, zero when RetryAfterSeconds is all that is known.
	RetryAfterMilliseconds int64 `json:"retry-after-milliseconds,omitempty"`
}

// WithRetryAfter returns a copy that asks the caller to come back after a time in milliseconds.
func (r Refusal) WithRetryAfter(milliseconds int64) *Refusal {
	r.RetryAfterMilliseconds = milliseconds
	r.RetryAfterSeconds = int((milliseconds + millisecondsPerSecond - 1) / millisecondsPerSecond)
	return &r
}

const millisecondsPerSecond = 1000

// Refuse returns a refusal for the reason.
func Refuse(reason Reason, detail string) *Refusal {
	return &Refusal{Reason: reason, Detail: detail}
}

// Error returns reason and detail.
func (r *Refusal) Error() string {
	return string(r.Reason) + ": " + r.Detail
}
