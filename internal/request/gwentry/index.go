package gwentry

import (
	"cmp"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
)

// index is a configuration prepared for lookups.
type index struct {
	version  gw.ConfigVersion
	services map[gw.ServiceName]gw.Service
	tenants  map[gw.TenantName]gw.Tenant
	// routes has the routes for one host before those for all, and longer prefixes before shorter ones.
	routes []gw.Route
}

func newIndex(cfg gw.Config) *index {
	x := &index{
		version:  cfg.Version,
		services: make(map[gw.ServiceName]gw.Service, len(cfg.Services)),
		tenants:  make(map[gw.TenantName]gw.Tenant, len(cfg.Tenants)),
		routes:   slices.Clone(cfg.Routes),
	}
	for _, s := range cfg.Services {
		x.services[s.Name] = s
	}
	for _, t := range cfg.Tenants {
		x.tenants[t.Name] = t
	}
	slices.SortStableFunc(x.routes, func(a, b gw.Route) int {
		if (a.Host == "") != (b.Host == "") {
			return cmp.Compare(len(b.Host), len(a.Host))
		}
		return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
	})
	return x
}

// route returns the route of a request by its host and escaped path.
func (x *index) route(host, path string) (gw.Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range x.routes {
		if (r.Host == "" || strings.EqualFold(r.Host, host)) && hasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return gw.Route{}, false
}

// hasPrefix reports whether the prefix covers whole segments of the path. A prefix that ends with a slash covers
// the paths below it only.
func hasPrefix(path, prefix string) bool {
	if strings.HasSuffix(prefix, "/") {
		return strings.HasPrefix(path, prefix)
	}
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// keyOf returns the key of a request.
func keyOf(route gw.Route, r *http.Request) (string, *gw.Refusal) {
	if route.Key == nil {
		return "", gw.Refuse(gw.ReasonNoRoute, "the route does not say where the key is")
	}
	var key string
	ok := true
	switch route.Key.From {
	case gw.KeyFromHeader:
		key, ok = gwforward.Single(r.Header, route.Key.Name)
	case gw.KeyFromQuery:
		values, err := url.ParseQuery(r.URL.RawQuery)
		found := values[route.Key.Name]
		if ok = err == nil && len(found) == 1; ok {
			key = found[0]
		}
	case gw.KeyFromPathSegment:
		key, ok = segment(r.URL.EscapedPath(), route)
	}
	if !ok || key == "" {
		return "", gw.Refuse(gw.ReasonBadRequest, "the request does not carry exactly one key")
	}
	return key, nil
}

// segment returns the unescaped path segment that holds the key. An escaped slash belongs to the key.
func segment(path string, route gw.Route) (string, bool) {
	rest := strings.TrimPrefix(path, strings.TrimSuffix(route.PathPrefix, "/"))
	rest = strings.TrimPrefix(rest, "/")
	n := 0
	for part := range strings.SplitSeq(rest, "/") {
		if n == route.Key.Segment {
			key, err := url.PathUnescape(part)
			return key, err == nil
		}
		n++
	}
	return "", false
}

// hasDotSegment reports whether the path holds a segment that servers would resolve, so that router and server
// could see different paths.
func hasDotSegment(path string) bool {
	if !strings.Contains(path, "/.") {
		return false
	}
	for part := range strings.SplitSeq(path, "/") {
		if part == "." || part == ".." {
			return true
		}
	}
	return false
}
