package gwforward

import (
	"net/url"
	"strings"
)

// ReceivedPath returns the path of a request as it was received, from the URL and the target of its request line.
// net/url encodes a path anew when it has a character that it takes for invalid, such as "|" or a letter in UTF-8, and
// has decoded %2F before that: url.URL.EscapedPath then names another thing than the caller did.
func ReceivedPath(u *url.URL, target string) string {
	path, _, _ := strings.Cut(target, "?")
	if _, rest, ok := strings.Cut(path, "://"); ok && !strings.HasPrefix(path, "/") {
		// The absolute form, with scheme and host.
		path = rest[max(strings.IndexByte(rest, '/'), 0):]
	}
	if !strings.HasPrefix(path, "/") {
		return u.EscapedPath()
	}
	return path
}

// CanSendPath reports whether a path can be sent as it was received. net/url has no form for one that it encodes anew
// and that begins with two slashes.
func CanSendPath(u *url.URL, path string) bool {
	return path == u.EscapedPath() || !strings.HasPrefix(path, "//")
}

// withPath returns a URL whose request line has a path as it was received. An empty path stands for that of the URL.
func withPath(u url.URL, path string) *url.URL {
	if path != "" && path != u.EscapedPath() {
		u.Opaque = path
	}
	return &u
}
