package gwconfig

import (
	"fmt"
	"path"
	"reflect"
	"regexp"
	"slices"
	"strings"

	gw "github.com/geraniumworks/geraniumworks"
)

const (
	allowedName   = "1 to 63 lower-case letters, digits and hyphens, starting with a letter"
	allowedHost   = "a lower-case host name without port"
	allowedPrefix = "a path such as /lookups, without trailing slash, empty or dot segments, query or escapes"
	allowedDigest = "64 hexadecimal digits in lower case, the SHA-256 digest of a key"
	maxSegment    = 15
	maxRate       = 1_000_000_000
)

var (
	namePattern   = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	hostPattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$`)
	prefixPattern = regexp.MustCompile(`^/[A-Za-z0-9._~!$&'()*+,;=:@/-]*$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	tokenPattern  = regexp.MustCompile("^[A-Za-z0-9!#$%&'*+.^_`|~-]{1,100}$")
	methods       = []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"}
)

// checker collects the errors of one file.
type checker struct {
	file *File
	errs Errors
}

func (c *checker) fail(field, problem, allowed string) {
	c.errs = append(c.errs, c.file.errorAt(field, problem, allowed))
}

func (c *checker) name(field, name string) {
	switch {
	case name == "":
		c.fail(field, "is missing", allowedName)
	case !namePattern.MatchString(name):
		c.fail(field, fmt.Sprintf("is %q", clip(name)), allowedName)
	}
}

func checkFile(f *File) Errors {
	c := &checker{file: f}
	if f.Site() {
		c.site()
	} else {
		c.service()
	}
	return c.errs
}

func (c *checker) site() {
	f := c.file
	if f.has("routes") {
		c.fail("routes", "is given without a service", "routes beside the service they lead to")
	}
	if len(f.Regions) == 0 && !f.has("routes") {
		c.fail("regions", "is missing", "a site file with regions, teams and tenants, or a service file with a service")
	}
	for i, r := range f.Regions {
		at := fmt.Sprintf("regions[%d]", i)
		c.name(at+".name", string(r.Name))
		if len(r.DataCentres) == 0 {
			c.fail(at+".data-centres", "is empty", "one or more data centres")
		}
		for j, dc := range r.DataCentres {
			c.name(fmt.Sprintf("%s.data-centres[%d]", at, j), string(dc))
		}
	}
	for i, t := range f.Teams {
		at := fmt.Sprintf("teams[%d]", i)
		c.name(at+".name", string(t.Name))
		if t.Contact == "" || len(t.Contact) > 200 {
			c.fail(at+".contact", "is missing or too long", "how to reach the team, in 1 to 200 bytes")
		}
	}
	for i, t := range f.Tenants {
		at := fmt.Sprintf("tenants[%d]", i)
		c.name(at+".name", string(t.Name))
		c.name(at+".team", string(t.Team))
		checkUnique(c, at+".home-regions", t.HomeRegions)
		if !(t.RequestsPerSecond >= 0 && t.RequestsPerSecond <= maxRate) {
			c.fail(at+".requests-per-second", fmt.Sprintf("is %v", t.RequestsPerSecond),
				fmt.Sprintf("0 (no limit) to %d", maxRate))
		}
		if t.InFlight < 0 || t.InFlight > maxRate {
			c.fail(at+".in-flight", fmt.Sprintf("is %d", t.InFlight), fmt.Sprintf("0 (no limit) to %d", maxRate))
		}
		c.tenantKeys(at, t)
	}
}

// tenantKeys checks the keys, the priority and the quota of a tenant.
func (c *checker) tenantKeys(at string, t gw.Tenant) {
	for i, digest := range t.KeyDigests {
		if !digestPattern.MatchString(digest) {
			// What is given may be the key itself, so the error does not repeat it.
			c.fail(fmt.Sprintf("%s.key-digests[%d]", at, i), "is not a digest", allowedDigest)
		}
	}
	c.number(at+".priority", int64(t.Priority), 0, maxPriority)
	if !(t.QuotaPerSecond >= 0 && t.QuotaPerSecond <= maxRate) {
		c.fail(at+".quota-per-second", fmt.Sprintf("is %v", t.QuotaPerSecond), fmt.Sprintf("0 (no limit) to %d", maxRate))
	}
	switch {
	case !(t.QuotaBurst >= 0 && t.QuotaBurst <= maxRate):
		c.fail(at+".quota-burst", fmt.Sprintf("is %v", t.QuotaBurst), fmt.Sprintf("0 to %d", maxRate))
	case t.QuotaBurst > 0 && t.QuotaPerSecond == 0:
		c.fail(at+".quota-burst", "is given without quota-per-second", "a burst beside the quota that it extends")
	}
}

func (c *checker) service() {
	f := c.file
	for _, field := range []string{"regions", "teams", "tenants", "keys-required"} {
		if f.has(field) {
			c.fail(field, "is given in a service file", "regions, teams, tenants and keys-required in the site file")
		}
	}
	c.name("service.name", string(f.Service.Name))
	c.name("service.team", string(f.Service.Team))
	if !f.has("service.divided-by-key") {
		c.fail("service.divided-by-key", "is missing", "true or false")
	}
	if len(f.Service.Regions) == 0 {
		c.fail("service.regions", "is empty", "one or more regions of the site file")
	}
	checkUnique(c, "service.regions", f.Service.Regions)
	c.limits()
	c.number("service.warmup-milliseconds", f.Service.WarmupMilliseconds, 0, maxWarmupMilliseconds)
	if rate := f.Service.ColdRequestsPerSecond; !(rate >= 0 && rate <= maxRate) {
		c.fail("service.cold-requests-per-second", fmt.Sprintf("is %v", rate), fmt.Sprintf("0 (no limit) to %d", maxRate))
	}
	if f.Service.OrderedKeys && !f.Service.DividedByKey {
		c.fail("service.ordered-keys", "is true", "false, since the service is not divided by key")
	}
	for i := range f.Routes {
		c.route(fmt.Sprintf("routes[%d]", i), f.Routes[i])
	}
}

func (c *checker) limits() {
	limits := c.file.Service.Limits
	v := reflect.ValueOf(limits)
	for name, i := range fieldsOf(v.Type()).byName {
		n := v.Field(i).Convert(reflect.TypeFor[float64]()).Float()
		if b := bounds[name]; !(n >= float64(b[0]) && n <= float64(b[1])) {
			c.fail("service.limits."+name, fmt.Sprintf("is %v", v.Field(i).Interface()),
				fmt.Sprintf("%d to %d", b[0], b[1]))
		}
	}
	contradictions := []struct {
		found          bool
		field, problem string
		allowed        string
	}{
		{
			limits.SlotsPerServer > limits.ConnectionsPerServer, "slots-per-server",
			fmt.Sprintf("is %d, above connections-per-server, which is %d",
				limits.SlotsPerServer, limits.ConnectionsPerServer),
			"at most connections-per-server, since each running request uses a connection",
		},
		{
			limits.QueueMilliseconds >= limits.DeadlineMilliseconds, "queue-milliseconds",
			fmt.Sprintf("is %d, not below deadline-milliseconds, which is %d",
				limits.QueueMilliseconds, limits.DeadlineMilliseconds),
			"less than deadline-milliseconds, since a request that has waited must still run",
		},
		{
			limits.ProgressMilliseconds > limits.DeadlineMilliseconds, "progress-milliseconds",
			fmt.Sprintf("is %d, above deadline-milliseconds, which is %d",
				limits.ProgressMilliseconds, limits.DeadlineMilliseconds),
			"at most deadline-milliseconds",
		},
		{
			limits.RetryPercent+limits.HedgePercent > 100, "retry-percent",
			fmt.Sprintf("is %d and hedge-percent is %d", limits.RetryPercent, limits.HedgePercent),
			"a sum of at most 100, so that extra attempts at most double the load",
		},
	}
	for _, x := range contradictions {
		if x.found {
			c.fail("service.limits."+x.field, x.problem, x.allowed)
		}
	}
}

func (c *checker) route(at string, r gw.Route) {
	service := c.file.Service
	c.name(at+".name", string(r.Name))
	if r.Service != service.Name {
		c.fail(at+".service", fmt.Sprintf("is %q", clip(string(r.Service))),
			fmt.Sprintf("%q, the service of this file, or omit the field", clip(string(service.Name))))
	}
	if r.Host != "" && !hostPattern.MatchString(r.Host) {
		c.fail(at+".host", fmt.Sprintf("is %q", clip(r.Host)), allowedHost+", or omit the field for all hosts")
	}
	switch {
	case r.PathPrefix == "":
		c.fail(at+".path-prefix", "is missing", allowedPrefix)
	case !prefixPattern.MatchString(r.PathPrefix) || path.Clean(r.PathPrefix) != r.PathPrefix ||
		len(r.PathPrefix) > 500:
		c.fail(at+".path-prefix", fmt.Sprintf("is %q", clip(r.PathPrefix)), allowedPrefix)
	}
	switch {
	case service.DividedByKey && r.Key == nil:
		c.fail(at+".key", "is missing", "the place of the key, since the service is divided by key")
	case !service.DividedByKey && r.Key != nil:
		c.fail(at+".key", "is given", "no key, since the service is not divided by key")
	}
	if r.Key != nil {
		c.key(at+".key", *r.Key)
	}
	c.routeKind(at, r)
	checkUnique(c, at+".home-regions", r.HomeRegions)
	checkUnique(c, at+".repeatable-methods", r.RepeatableMethods)
	for i, m := range r.RepeatableMethods {
		if !slices.Contains(methods, m) {
			c.fail(fmt.Sprintf("%s.repeatable-methods[%d]", at, i), fmt.Sprintf("is %q", clip(m)),
				strings.Join(methods, ", "))
		}
	}
}

const (
	maxWeight             = 1_000_000
	maxRouteMilliseconds  = 600_000
	maxAttempts           = 10
	maxPriority           = 100
	maxWarmupMilliseconds = 600_000
)

var kinds = []gw.RouteKind{gw.RouteSafe, gw.RouteDownload, gw.RouteUnsafe, gw.RouteUpload}

// routeKind checks what a route says about the way its requests are served.
func (c *checker) routeKind(at string, r gw.Route) {
	if r.Kind != gw.RouteByMethod && !slices.Contains(kinds, r.Kind) {
		c.fail(at+".kind", fmt.Sprintf("is %q", clip(string(r.Kind))),
			"safe, download, unsafe or upload, or omit the field to go by repeatable-methods")
	}
	for i, part := range r.Split {
		field := fmt.Sprintf("%s.split[%d]", at, i)
		c.name(field+".service", string(part.Service))
		c.number(field+".weight", int64(part.Weight), 1, maxWeight)
	}
	c.number(at+".timeout-milliseconds", r.TimeoutMilliseconds, 0, maxRouteMilliseconds)
	c.number(at+".objective-milliseconds", r.ObjectiveMilliseconds, 0, maxRouteMilliseconds)
	c.number(at+".attempts", int64(r.Attempts), 0, maxAttempts)
	c.number(at+".priority", int64(r.Priority), 0, maxPriority)
}

func (c *checker) number(field string, n, least, most int64) {
	if n < least || n > most {
		c.fail(field, fmt.Sprintf("is %d", n), fmt.Sprintf("%d to %d", least, most))
	}
}

func (c *checker) key(at string, key gw.KeySource) {
	switch key.From {
	case gw.KeyFromPathSegment:
		if c.file.has(at + ".name") {
			c.fail(at+".name", "is given for a path segment", "segment instead of name")
		}
		if key.Segment < 0 || key.Segment > maxSegment {
			c.fail(at+".segment", fmt.Sprintf("is %d", key.Segment), fmt.Sprintf("0 to %d", maxSegment))
		}
	case gw.KeyFromHeader, gw.KeyFromQuery:
		if !tokenPattern.MatchString(key.Name) {
			c.fail(at+".name", fmt.Sprintf("is %q", clip(key.Name)),
				"the name of the header or query parameter, in 1 to 100 letters, digits and hyphens")
		}
		if c.file.has(at + ".segment") {
			c.fail(at+".segment", "is given for a header or query parameter", "name instead of segment")
		}
	default:
		c.fail(at+".from", fmt.Sprintf("is %q", clip(string(key.From))), fmt.Sprintf("%s, %s, %s",
			gw.KeyFromPathSegment, gw.KeyFromHeader, gw.KeyFromQuery))
	}
}

func checkUnique[T ~string](c *checker, at string, list []T) {
	for i, x := range list {
		if slices.Contains(list[:i], x) {
			c.fail(fmt.Sprintf("%s[%d]", at, i), fmt.Sprintf("repeats %q", clip(string(x))), "each entry once")
		}
	}
}
