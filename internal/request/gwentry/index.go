package gwentry

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
)

// configIndex is a configuration with its services, tenants and routes indexed for lookups.
type configIndex struct {
	version  gw.ItemVersion
	services map[gw.ServiceName]gw.Service
	tenants  map[gw.TenantName]gw.Tenant
	// routes is sorted: routes for one host precede those for all hosts, and longer prefixes precede shorter ones.
	routes []gw.Route
	// keysRequired is set when callers must authenticate. keys holds the tenant of each key by the digest of the key.
	keysRequired bool
	keys         map[[sha256.Size]byte]gw.TenantName
}

func newConfigIndex(cfg gw.Config) *configIndex {
	x := &configIndex{
		version:  cfg.ItemVersion(),
		services: make(map[gw.ServiceName]gw.Service, len(cfg.Services)),
		tenants:  make(map[gw.TenantName]gw.Tenant, len(cfg.Tenants)),
		routes:   slices.Clone(cfg.Routes),

		keysRequired: cfg.KeysRequired,
		keys:         map[[sha256.Size]byte]gw.TenantName{},
	}
	for _, s := range cfg.Services {
		x.services[s.Name] = s
	}
	for _, t := range cfg.Tenants {
		x.tenants[t.Name] = t
		for _, text := range t.KeyDigests {
			var digest [sha256.Size]byte
			if n, err := hex.Decode(digest[:], []byte(text)); err != nil || n != len(digest) {
				continue
			}
			// A key belongs to the first tenant that has it, so that a later one cannot take it over.
			if _, taken := x.keys[digest]; !taken {
				x.keys[digest] = t.Name
			}
		}
	}
	slices.SortStableFunc(x.routes, func(a, b gw.Route) int {
		if (a.Host == "") != (b.Host == "") {
			return cmp.Compare(len(b.Host), len(a.Host))
		}
		return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
	})
	return x
}

// identify returns the tenant of a request. Callers of public routes need no key. Without a known key they are served
// as the tenant that the protocol names if it has no keys: what a caller says must not make it a tenant with keys.
func (x *configIndex) identify(route gw.Route, head gw.CallerHead) (gw.Tenant, *gw.Refusal) {
	unknown := gw.Refuse(gw.ReasonUnknownTenant, "the tenant is missing or unknown")
	if !x.keysRequired {
		if tenant, ok := x.tenants[head.Tenant]; ok {
			return tenant, nil
		}
		return gw.Tenant{}, unknown
	}
	if head.Credential != "" {
		if name, ok := x.keys[sha256.Sum256([]byte(head.Credential))]; ok {
			return x.tenants[name], nil
		}
	}
	if !route.Public {
		return gw.Tenant{}, gw.Refuse(gw.ReasonUnauthenticated, "the key of the caller is missing or unknown")
	}
	if tenant, ok := x.tenants[head.Tenant]; ok && len(tenant.KeyDigests) == 0 {
		return tenant, nil
	}
	return gw.Tenant{}, unknown
}

// route returns the first route that matches the host and the escaped path of a request.
func (x *configIndex) route(host, path string) (gw.Route, bool) {
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

// hasPrefix reports whether path starts with prefix and prefix ends at a segment boundary. A prefix that ends with a
// slash matches only the paths below it.
func hasPrefix(path, prefix string) bool {
	if strings.HasSuffix(prefix, "/") {
		return strings.HasPrefix(path, prefix)
	}
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// requestKey extracts the key of a request from the place that the route names. path is the path as received.
func requestKey(route gw.Route, r *http.Request, path string) (string, *gw.Refusal) {
	if route.Key == nil {
		return "", gw.Refuse(gw.ReasonNoRoute, "the route does not define where its requests carry the key")
	}
	var key string
	ok := true
	switch route.Key.From {
	case gw.KeyFromHeader:
		key, ok = gwforward.SingleValue(r.Header, route.Key.Name)
	case gw.KeyFromQuery:
		values, err := url.ParseQuery(r.URL.RawQuery)
		found := values[route.Key.Name]
		if ok = err == nil && len(found) == 1; ok {
			key = found[0]
		}
	case gw.KeyFromPathSegment:
		key, ok = keySegment(path, route)
	}
	if !ok || key == "" {
		return "", gw.Refuse(gw.ReasonBadRequest, "the request must carry exactly one key")
	}
	return key, nil
}

// keySegment returns the unescaped path segment that holds the key. An escaped slash is part of the key.
func keySegment(path string, route gw.Route) (string, bool) {
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

// hasDotSegment reports whether the path has a "." or ".." segment. Servers resolve these, so that router and server
// could work with different paths.
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
