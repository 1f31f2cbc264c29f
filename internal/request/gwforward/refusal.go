package gwforward

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"

	gw "github.com/geraniumworks/geraniumworks"
)

// refusalJSON is the body of an answer with a refusal.
type refusalJSON struct {
	*gw.Refusal
	Outcome gw.Outcome `json:"outcome"`
}

func refusalBody(refusal *gw.Refusal) []byte {
	body, err := json.Marshal(refusalJSON{Refusal: refusal, Outcome: refusal.Reason.Outcome()})
	if err != nil {
		// A refusal has only strings and numbers, so this does not happen. The reason is also in a header.
		return []byte("{}")
	}
	return append(body, '\n')
}

func joinRegions(regions []gw.RegionName) string {
	names := make([]string, len(regions))
	for i, r := range regions {
		names[i] = string(r)
	}
	return strings.Join(names, ", ")
}

func itoa(n int64) string {
	return strconv.FormatInt(n, 10)
}

// serverReasons lists the reasons that a backend server may send in a refusal. Others are treated as no-server.
var serverReasons = []gw.Reason{
	gw.ReasonOverloaded, gw.ReasonNoOwner, gw.ReasonNoServer,
	gw.ReasonDeadlineTooShort, gw.ReasonStopping, gw.ReasonNotReady,
}

// serverRefusal returns the refusal in a server's answer, or nil when the answer is no refusal.
func serverRefusal(resp *http.Response) *gw.Refusal {
	outcome, ok := SingleValue(resp.Header, gw.HeaderOutcome)
	if !ok || resp.StatusCode != http.StatusServiceUnavailable || gw.Outcome(outcome) != gw.OutcomeNotRun {
		return nil
	}
	value, _ := SingleValue(resp.Header, gw.HeaderReason)
	reason := gw.Reason(value)
	if !slices.Contains(serverReasons, reason) {
		reason = gw.ReasonNoServer
	}
	refusal := gw.Refuse(reason, "the server refused the request")
	refusal.RetryAfterSeconds = retryAfter(resp.Header)
	return refusal
}

// relayRefusal returns the refusal in a relay's answer, or nil when the relay passed on the answer of a server. If
// status, outcome and reason do not match, the answer says nothing reliable about the request and is treated as a bad
// answer.
func relayRefusal(resp *http.Response) *gw.Refusal {
	outcome, ok := SingleValue(resp.Header, gw.HeaderOutcome)
	value, reasonOK := SingleValue(resp.Header, gw.HeaderReason)
	reason := gw.Reason(value)
	switch {
	case ok && reasonOK && gw.Outcome(outcome) == gw.OutcomeAnswered && reason == "":
		return nil
	case !ok || !reasonOK || gw.Outcome(outcome) != reason.Outcome() || resp.StatusCode != reason.Status():
		return gw.Refuse(gw.ReasonBadAnswer, "status, outcome and reason in the answer of the relay do not match")
	}
	refusal := gw.Refuse(reason, "the dispatcher of the server refused the request")
	refusal.RetryAfterSeconds = retryAfter(resp.Header)
	if value, _ := SingleValue(resp.Header, gw.HeaderRetryAfter); value != "" {
		if n, err := strconv.ParseInt(value, 10, 64); err == nil && n > 0 {
			refusal.RetryAfterMilliseconds = min(n, maxRetryAfterSeconds*1000)
		}
	}
	if regions, _ := SingleValue(resp.Header, gw.HeaderHomeRegions); regions != "" {
		for name := range strings.SplitSeq(regions, ", ") {
			refusal.HomeRegions = append(refusal.HomeRegions, gw.RegionName(name))
		}
	}
	return refusal
}

// maxRetryAfterSeconds is the longest wait that a server may ask of callers. Longer ones are reduced to it.
const maxRetryAfterSeconds = 3600

func retryAfter(h http.Header) int {
	value, _ := SingleValue(h, "Retry-After")
	n, err := strconv.Atoi(value)
	if err != nil || n < 0 {
		return 0
	}
	return min(n, maxRetryAfterSeconds)
}
