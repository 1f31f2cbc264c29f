package gwforward

import (
	"net/http"
	"strconv"

	gw "github.com/geraniumworks/geraniumworks"
)

// NativeCallers is the project's own protocol towards callers. It is also that of a relay towards entry hosts.
type NativeCallers struct{}

// NativeServers is the project's own protocol towards backend servers.
type NativeServers struct{}

var (
	_ gw.CallerProtocol = NativeCallers{}
	_ gw.ServerProtocol = NativeServers{}
)

// Decode implements gw.CallerProtocol.
func (NativeCallers) Decode(h http.Header) (gw.CallerHead, *gw.Refusal) {
	tenant, ok := Single(h, gw.HeaderTenant)
	if !ok {
		return gw.CallerHead{}, gw.Refuse(gw.ReasonBadRequest, "the tenant is given more than once")
	}
	head := gw.CallerHead{Tenant: gw.TenantName(tenant)}
	value, ok := Single(h, gw.HeaderTimeout)
	if !ok {
		return head, gw.Refuse(gw.ReasonBadRequest, "the timeout is given more than once")
	}
	if value == "" {
		return head, nil
	}
	asked, err := strconv.ParseInt(value, 10, 64)
	if err != nil || asked < 0 {
		return head, gw.Refuse(gw.ReasonBadRequest, "the timeout is not a number of milliseconds")
	}
	head.TimeoutMilliseconds, head.HasTimeout = asked, true
	return head, nil
}

// EncodeRefusal implements gw.CallerProtocol.
func (NativeCallers) EncodeRefusal(h http.Header, refusal *gw.Refusal) []byte {
	set(h, "Content-Type", "application/json")
	set(h, "Cache-Control", "no-store")
	set(h, gw.HeaderOutcome, string(refusal.Reason.Outcome()))
	set(h, gw.HeaderReason, string(refusal.Reason))
	if len(refusal.HomeRegions) > 0 {
		set(h, gw.HeaderHomeRegions, joinRegions(refusal.HomeRegions))
	}
	if refusal.RetryAfterSeconds > 0 {
		set(h, "Retry-After", itoa(int64(refusal.RetryAfterSeconds)))
	}
	if refusal.RetryAfterMilliseconds > 0 {
		set(h, gw.HeaderRetryAfter, itoa(refusal.RetryAfterMilliseconds))
	}
	return refusalBody(refusal)
}

// EncodeAnswer implements gw.CallerProtocol.
func (NativeCallers) EncodeAnswer(h http.Header, a gw.AnswerHead) {
	set(h, gw.HeaderOutcome, string(gw.OutcomeAnswered))
	set(h, gw.HeaderRequestID, a.RequestID)
	set(h, gw.HeaderServer, string(a.Server))
	if a.Incarnation != "" {
		set(h, gw.HeaderIncarnation, string(a.Incarnation))
	}
}

// Encode implements gw.ServerProtocol.
func (NativeServers) Encode(h http.Header, a gw.Attempt) {
	set(h, gw.HeaderRequestID, a.ID)
	set(h, gw.HeaderTimeout, itoa(a.TimeoutMilliseconds))
	set(h, gw.HeaderTenant, string(a.Tenant))
	if a.OperationID != "" {
		set(h, gw.HeaderOperationID, a.OperationID)
	}
	if a.Target.HasKey {
		set(h, gw.HeaderPosition, a.Target.Position.String())
		set(h, gw.HeaderToken, strconv.FormatUint(uint64(a.Target.Token), 10))
	}
}

// Decode implements gw.ServerProtocol.
func (NativeServers) Decode(a gw.Attempt, _ http.Header, answer *http.Response) gw.ServerHead {
	return gw.ServerHead{
		Contradiction: contradiction(a.ID, answer), Refusal: serverRefusal(answer), Incarnation: incarnationOf(answer),
	}
}
