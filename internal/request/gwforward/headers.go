package gwforward

import (
	"net/http"
	"net/textproto"
	"net/url"
	"slices"
	"strconv"
	"strings"

	gw "github.com/geraniumworks/geraniumworks"
)

// hopByHop lists the headers that apply to one connection only, and those that the forwarder sets itself. Trailers
// are not passed on, so neither is the header that announces them.
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

// Headers with the idempotency key of a request. http.Transport resends requests that have one of them, so the key is
// passed on in gw.HeaderOperationID instead.
const (
	HeaderIdempotencyKey  = "Idempotency-Key"
	HeaderXIdempotencyKey = "X-Idempotency-Key"
)

// isReserved reports whether the header name starts with the reserved prefix Gw-. Gw_ is reserved too, because many
// servers do not distinguish an underscore from a hyphen.
func isReserved(name string) bool {
	return len(name) > 2 && strings.EqualFold(name[:2], "gw") && (name[2] == '-' || name[2] == '_')
}

// endToEnd returns the headers of from that are passed on, with capacity for extra headers. The slices of values are
// shared with from.
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

// IsUpgrade reports whether a request asks for a change of protocol.
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

// SingleValue returns the value of a header that occurs at most once. ok is false when the header has several values.
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

// BearerCredential returns the credential of an Authorization header of the Bearer scheme. It is empty when there is no
// such header, or more than one.
func BearerCredential(h http.Header) string {
	value, _ := SingleValue(h, "Authorization")
	scheme, credential, _ := strings.Cut(value, " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(credential)
}

// WithoutHeaders returns the headers of h without the named ones. An underscore counts as a hyphen, because many
// servers do not distinguish them. The slices of values are shared with h.
func WithoutHeaders(h http.Header, names []string) http.Header {
	rest := make(http.Header, len(h))
	for name, values := range h {
		plain := strings.ReplaceAll(name, "_", "-")
		if !slices.ContainsFunc(names, func(other string) bool { return strings.EqualFold(other, plain) }) {
			rest[name] = values
		}
	}
	return rest
}

// OperationID returns the idempotency key of a caller's request, and false when the request has several different keys.
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

// EncodeName returns a name as a header between hosts carries it: quoted as a Go string when the header would lose or
// refuse some of its bytes.
func EncodeName(name string) string {
	if gw.IsHeaderText(name) && !strings.HasPrefix(name, `"`) {
		return name
	}
	return strconv.Quote(name)
}

// DecodeName returns a name that EncodeName has encoded.
func DecodeName(value string) string {
	if !strings.HasPrefix(value, `"`) {
		return value
	}
	name, err := strconv.Unquote(value)
	if err != nil {
		// Hosts of earlier versions do not quote names.
		return value
	}
	return name
}

// EncodeRegions returns names of regions as gw.HeaderRegions carries them: escaped, with commas between them.
func EncodeRegions(regions []gw.RegionName) string {
	names := make([]string, len(regions))
	for i, r := range regions {
		names[i] = url.PathEscape(string(r))
	}
	return strings.Join(names, ",")
}

// DecodeRegions returns the names that EncodeRegions has encoded, and false when the value is not valid.
func DecodeRegions(value string) ([]gw.RegionName, bool) {
	var regions []gw.RegionName
	for text := range strings.SplitSeq(value, ",") {
		name, err := url.PathUnescape(text)
		if err != nil {
			return nil, false
		}
		regions = append(regions, gw.RegionName(name))
	}
	return regions, true
}

// setHeader sets a header to one value. The name must be in canonical form.
func setHeader(h http.Header, name, value string) {
	h[name] = []string{value}
}

// WriteRefusal writes a complete answer with a refusal.
func WriteRefusal(w http.ResponseWriter, callers gw.CallerProtocol, refusal *gw.Refusal) {
	h := w.Header()
	body := callers.EncodeRefusal(h, refusal)
	setHeader(h, "Content-Length", itoa(int64(len(body))))
	if refusal.Reason == gw.ReasonUnauthenticated {
		setHeader(h, "Www-Authenticate", "Bearer")
	}
	w.WriteHeader(refusal.Reason.Status())
	// An error means that the caller has closed the connection, so there is nobody to report it to.
	_, _ = w.Write(body)
}
