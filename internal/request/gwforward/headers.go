package gwforward

import (
	"net/http"
	"net/textproto"
	"strings"

	gw "github.com/geraniumworks/geraniumworks"
)

// hopByHop lists the headers that concern one connection only, and those that the forwarder sets itself.
// Trailers are dropped, so the header that announces them is dropped too.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Proxy-Connection":    true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
	"Host":                true,
	"Expect":              true,
}

// Headers by which callers mark operations. http.Transport repeats requests that carry one of them, so they
// are passed on as gw.HeaderOperationID.
const (
	HeaderIdempotencyKey  = "Idempotency-Key"
	HeaderXIdempotencyKey = "X-Idempotency-Key"
)

// isOwn reports whether the header name is reserved for this system. Names with an underscore are included,
// because many servers do not distinguish it from a hyphen.
func isReserved(name string) bool {
	return len(name) > 2 && strings.EqualFold(name[:2], "gw") && (name[2] == '-' || name[2] == '_')
}

// endToEnd returns the headers of from that are passed on; the values are shared. Room is left for extra
// headers.
func endToEnd(from http.Header, extra int) http.Header {
	to := make(http.Header, len(from)+extra)
	for name, values := range from {
		if !hopByHop[name] && !isReserved(name) {
			to[name] = values
		}
	}
	for _, line := range from["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(to, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return to
}

// IsUpgrade reports whether a request asks for another protocol on its connection.
func IsUpgrade(h http.Header) bool {
	if len(h["Upgrade"]) > 0 {
		return true
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(name), "upgrade") {
				return true
			}
		}
	}
	return false
}

// Single returns the only value of a header, and whether the header has at most one value.
func SingleValue(h http.Header, name string) (value string, ok bool) {
	values := h[textproto.CanonicalMIMEHeaderKey(name)]
	switch len(values) {
	case 0:
		return "", true
	case 1:
		return values[0], true
	default:
		return "", false
	}
}

// OperationID returns the idempotency key of a caller's request, and false when the request has contradictory
// ones.
func OperationID(h http.Header) (string, bool) {
	id, ok := SingleValue(h, HeaderIdempotencyKey)
	other, otherOK := SingleValue(h, HeaderXIdempotencyKey)
	switch {
	case !ok || !otherOK || (id != "" && other != "" && id != other):
		return "", false
	case id == "":
		return other, true
	default:
		return id, true
	}
}

// set sets a header to one value without converting the name, which must be in canonical form.
func setHeader(h http.Header, name, value string) {
	h[name] = []string{value}
}

// WriteRefusal writes a refusal as a complete answer.
func WriteRefusal(w http.ResponseWriter, callers gw.CallerProtocol, refusal *gw.Refusal) {
	h := w.Header()
	body := callers.EncodeRefusal(h, refusal)
	setHeader(h, "Content-Length", itoa(int64(len(body))))
	w.WriteHeader(refusal.Reason.Status())
	// A caller that does not take the refusal has left; there is nobody to tell.
	_, _ = w.Write(body)
}
