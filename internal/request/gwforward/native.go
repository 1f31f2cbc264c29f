package gwforward

import (
	"net/http"
	"strconv"

	gw "github.com/geraniumworks/geraniumworks"
)

// NativeCallers is the project's own protocol for callers. Relays use it for entry hosts too.
type NativeCallers struct{}

// NativeServers is the project's own protocol for backend servers.
type NativeServers struct{}

var (
	_ gw.CallerProtocol = NativeCallers{}
	_ gw.ServerProtocol = NativeServers{}
)

// Decode implements gw.CallerProtocol.
func (NativeCallers) Decode(h http.Header) (gw.CallerHead, *gw.Refusal) {
	tenant, ok := SingleValue(h, gw.HeaderTenant)
	if !ok {
		return gw.CallerHead{}, gw.Refuse(gw.ReasonBadRequest, "the tenant header occurs more than once")
	}
	head := gw.CallerHead{Tenant: gw.TenantName(tenant), Credential: BearerCredential(h)}
	value, ok := SingleValue(h, gw.HeaderTimeout)
	if !ok {
		return head, gw.Refuse(gw.ReasonBadRequest, "the timeout header occurs more than once")
	}
	if value == "" {
		return head, nil
	}
	asked, err := strconv.ParseInt(value, 10, 64)
	if err != nil || asked < 0 {
		return head, gw.Refuse(gw.ReasonBadRequest, "the timeout is not a valid number of milliseconds")
	}
	head.TimeoutMilliseconds, head.HasTimeout = asked, true
	return head, nil
}

// IdentityHeaders implements gw.CallerProtocol.
func (NativeCallers) IdentityHeaders() []string {
	return []string{"Authorization", gw.HeaderTenant}
}

// EncodeRefusal implements gw.CallerProtocol.
func (NativeCallers) EncodeRefusal(h http.Header, refusal *gw.Refusal) []byte {
	setHeader(h, "Content-Type", "application/json")
	setHeader(h, "Cache-Control", "no-store")
	setHeader(h, gw.HeaderOutcome, string(refusal.Reason.Outcome()))
	setHeader(h, gw.HeaderReason, string(refusal.Reason))
	if len(refusal.HomeRegions) > 0 {
		setHeader(h, gw.HeaderHomeRegions, joinRegions(refusal.HomeRegions))
	}
	if refusal.RetryAfterSeconds > 0 {
		setHeader(h, "Retry-After", itoa(int64(refusal.RetryAfterSeconds)))
	}
	if refusal.RetryAfterMilliseconds > 0 {
		setHeader(h, gw.HeaderRetryAfter, itoa(refusal.RetryAfterMilliseconds))
	}
	return refusalBody(refusal)
}

// EncodeAnswer implements gw.CallerProtocol.
func (NativeCallers) EncodeAnswer(h http.Header, a gw.AnswerHead) {
	setHeader(h, gw.HeaderOutcome, string(gw.OutcomeAnswered))
	setHeader(h, gw.HeaderRequestID, a.RequestID)
	setHeader(h, gw.HeaderServer, string(a.Server))
	if a.Incarnation != "" {
		setHeader(h, gw.HeaderIncarnation, string(a.Incarnation))
	}
}

// Encode implements gw.ServerProtocol.
func (NativeServers) Encode(h http.Header, a gw.Attempt) {
	setHeader(h, gw.HeaderRequestID, a.ID)
	setHeader(h, gw.HeaderTimeout, itoa(a.TimeoutMilliseconds))
	setHeader(h, gw.HeaderTenant, string(a.Tenant))
	if a.OperationID != "" {
		setHeader(h, gw.HeaderOperationID, a.OperationID)
	}
	if a.Target.HasKey {
		setHeader(h, gw.HeaderPosition, a.Target.Position.String())
		setHeader(h, gw.HeaderToken, strconv.FormatUint(uint64(a.Target.Token), 10))
	}
}

// Decode implements gw.ServerProtocol.
func (NativeServers) Decode(a gw.Attempt, _ http.Header, answer *http.Response) gw.ServerHead {
	return gw.ServerHead{
		Contradiction: contradiction(a.ID, answer), Refusal: serverRefusal(answer), Incarnation: incarnationOf(answer),
	}
}

// Leaving implements gw.ServerProtocol. Servers that speak it are drained through their control calls.
func (NativeServers) Leaving(http.Header) bool {
	return false
}
