package gwconfig

import (
	"cmp"
	"strings"

	gw "github.com/geraniumworks/geraniumworks"
)

// Match returns the route of a request: routes for the host come before routes for all hosts, then the longest
// prefix is used. A prefix matches whole path segments. Host has no port.
func Match(cfg gw.Config, host, path string) (gw.Route, bool) {
	host = strings.ToLower(host)
	best, found := gw.Route{}, false
	for _, r := range cfg.Routes {
		if (r.Host == "" || r.Host == host) && under(path, r.PathPrefix) && (!found || compareRoutes(r, best) < 0) {
			best, found = r, true
		}
	}
	return best, found
}

// compareRoutes orders routes by precedence.
func compareRoutes(a, b gw.Route) int {
	return cmp.Or(
		-cmp.Compare(min(len(a.Host), 1), min(len(b.Host), 1)),
		-cmp.Compare(len(a.PathPrefix), len(b.PathPrefix)),
		cmp.Compare(a.Host, b.Host),
		cmp.Compare(a.PathPrefix, b.PathPrefix),
	)
}

func under(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

func overlap(a, b gw.Route) bool {
	if a.Host != "" && b.Host != "" && a.Host != b.Host {
		return false
	}
	return under(a.PathPrefix, b.PathPrefix) || under(b.PathPrefix, a.PathPrefix)
}
