package gwconfig

import (
	"cmp"
	"fmt"
	"slices"

	gw "github.com/geraniumworks/geraniumworks"
)

// Load reads all files of a configuration and checks them alone and together. The error is of type Errors and
// lists every error; the configuration has no version and nothing out of service.
func Load(sources []Source) (gw.Config, error) {
	var errs Errors
	files := make([]*File, 0, len(sources))
	for _, src := range sources {
		f, err := Parse(src)
		errs = append(errs, asErrors(err)...)
		if f != nil {
			files = append(files, f)
		}
	}
	// When a file cannot be read at all, errors about what it would have defined would mislead.
	if len(files) == len(sources) {
		errs = append(errs, checkSet(files).beside(errs)...)
	}
	return build(files), errs.Err()
}

// LoadPublished reads files that were checked when they were published. It ignores fields that it does not know,
// so that hosts of an earlier version of the program accept what a later version publishes.
func LoadPublished(sources []Source) (gw.Config, error) {
	files := make([]*File, 0, len(sources))
	for _, src := range sources {
		f, err := parseLenient(src)
		if err != nil {
			return gw.Config{}, err
		}
		files = append(files, f)
	}
	return build(files), nil
}

func asErrors(err error) Errors {
	errs, _ := err.(Errors) //nolint:errorlint // Parse returns Errors itself, never wrapped.
	return errs
}

func build(files []*File) gw.Config {
	var cfg gw.Config
	for _, f := range files {
		cfg.Regions = append(cfg.Regions, f.Regions...)
		cfg.Teams = append(cfg.Teams, f.Teams...)
		cfg.Tenants = append(cfg.Tenants, f.Tenants...)
		cfg.KeysRequired = cfg.KeysRequired || f.KeysRequired
		if f.Service != nil {
			cfg.Services = append(cfg.Services, *f.Service)
			cfg.Routes = append(cfg.Routes, f.Routes...)
		}
	}
	slices.SortFunc(cfg.Services, func(a, b gw.Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(cfg.Routes, compareRoutes)
	return cfg
}

// definition is the first definition of a name.
type definition struct {
	file  *File
	field string
}

// setChecker collects the errors that only several files together show.
type setChecker struct {
	defined map[string]definition
	errs    Errors
}

func (c *setChecker) fail(f *File, field, problem, allowed string) {
	c.errs = append(c.errs, f.errorAt(field, problem, allowed))
}

func (c *setChecker) define(f *File, kind, name, field string) {
	if name == "" {
		return
	}
	first, taken := c.defined[kind+" "+name]
	if !taken {
		c.defined[kind+" "+name] = definition{f, field}
		return
	}
	c.fail(f, field, fmt.Sprintf("%s %q is already defined at %s", kind, clip(name), first.place()),
		"one definition of each name")
}

func (d definition) place() string {
	e := d.file.errorAt(d.field, "", "")
	return fmt.Sprintf("%s:%d:%d", e.File, e.Line, e.Column)
}

func (c *setChecker) refer(f *File, kind, name, field string, known []string) {
	if _, ok := c.defined[kind+" "+name]; name != "" && !ok {
		known = slices.Compact(slices.Sorted(slices.Values(known)))
		c.fail(f, field, fmt.Sprintf("%s %q is unknown", kind, clip(name)), listOf(known))
	}
}

const maxListed = 12

func listOf(names []string) string {
	if len(names) == 0 {
		return "none is defined, add it to the site file first"
	}
	text := ""
	for i, name := range names {
		if i == maxListed {
			return text + fmt.Sprintf(" and %d more", len(names)-maxListed)
		}
		if i > 0 {
			text += ", "
		}
		text += name
	}
	return text
}

func checkSet(files []*File) Errors {
	c := &setChecker{defined: map[string]definition{}}
	c.definitions(files)
	cfg := build(files)
	regions := namesOf(cfg.Regions, func(r gw.Region) string { return string(r.Name) })
	teams := namesOf(cfg.Teams, func(t gw.Team) string { return string(t.Name) })
	for _, f := range files {
		for i, t := range f.Tenants {
			at := fmt.Sprintf("tenants[%d]", i)
			c.refer(f, "team", string(t.Team), at+".team", teams)
			for j, r := range t.HomeRegions {
				c.refer(f, "region", string(r), fmt.Sprintf("%s.home-regions[%d]", at, j), regions)
			}
			c.homes(f, at, t, cfg.Services)
		}
		if f.Service != nil {
			c.refer(f, "team", string(f.Service.Team), "service.team", teams)
			for j, r := range f.Service.Regions {
				c.refer(f, "region", string(r), fmt.Sprintf("service.regions[%d]", j), regions)
			}
		}
		c.routes(f, regions, namesOf(cfg.Services, func(s gw.Service) string { return string(s.Name) }))
	}
	c.overlaps(files)
	return c.errs
}

// routes checks the regions and services that routes name.
func (c *setChecker) routes(f *File, regions, services []string) {
	for i, r := range f.Routes {
		for j, home := range r.HomeRegions {
			c.refer(f, "region", string(home), fmt.Sprintf("routes[%d].home-regions[%d]", i, j), regions)
		}
		for j, part := range r.Split {
			c.refer(f, "service", string(part.Service), fmt.Sprintf("routes[%d].split[%d].service", i, j), services)
		}
	}
}

func namesOf[T any](list []T, name func(T) string) []string {
	var names []string
	for _, x := range list {
		names = append(names, name(x))
	}
	return names
}

func (c *setChecker) definitions(files []*File) {
	var site *File
	for _, f := range files {
		if f.Site() && site != nil {
			c.fail(f, "", fmt.Sprintf("is a second site file beside %s", site.Path), "one site file")
		}
		if f.Site() && site == nil {
			site = f
		}
		for i, r := range f.Regions {
			c.define(f, "region", string(r.Name), fmt.Sprintf("regions[%d].name", i))
			for j, dc := range r.DataCentres {
				c.define(f, "data centre", string(dc), fmt.Sprintf("regions[%d].data-centres[%d]", i, j))
			}
		}
		for i, t := range f.Teams {
			c.define(f, "team", string(t.Name), fmt.Sprintf("teams[%d].name", i))
		}
		for i, t := range f.Tenants {
			c.define(f, "tenant", string(t.Name), fmt.Sprintf("tenants[%d].name", i))
			for j, digest := range t.KeyDigests {
				if !digestPattern.MatchString(digest) {
					// It may be the key itself, which errors must not repeat.
					continue
				}
				c.define(f, "key digest", digest, fmt.Sprintf("tenants[%d].key-digests[%d]", i, j))
			}
		}
		if f.Service != nil {
			c.define(f, "service", string(f.Service.Name), "service.name")
		}
		for i, r := range f.Routes {
			c.define(f, "route", string(r.Name), fmt.Sprintf("routes[%d].name", i))
		}
	}
}

// homes checks that a tenant can be served in its home regions: by a service divided by key in each of them,
// because the tenant's keys are spread over all of them, and by any other service in at least one.
func (c *setChecker) homes(f *File, at string, t gw.Tenant, services []gw.Service) {
	if len(t.HomeRegions) == 0 {
		return
	}
	for _, s := range services {
		var missing []int
		for j, r := range t.HomeRegions {
			if _, known := c.defined["region "+string(r)]; known && !slices.Contains(s.Regions, r) {
				missing = append(missing, j)
			}
		}
		if !s.DividedByKey && len(missing) < len(t.HomeRegions) {
			continue
		}
		for _, j := range missing {
			c.fail(f, fmt.Sprintf("%s.home-regions[%d]", at, j),
				fmt.Sprintf("service %q does not run in home region %q of tenant %q",
					clip(string(s.Name)), clip(string(t.HomeRegions[j])), clip(string(t.Name))),
				"regions of the service: "+listOf(namesOf(s.Regions, func(r gw.RegionName) string { return string(r) })))
		}
	}
}

type placedRoute struct {
	gw.Route
	definition
}

// overlaps finds routes that match the same requests. Routes of one service may nest, and the longest prefix is
// used; routes of different services may not, because the owner of a request would then depend on another
// team's file.
func (c *setChecker) overlaps(files []*File) {
	var routes []placedRoute
	for _, f := range files {
		for i, r := range f.Routes {
			routes = append(routes, placedRoute{r, definition{f, fmt.Sprintf("routes[%d].path-prefix", i)}})
		}
	}
	for i, r := range routes {
		for _, first := range routes[:i] {
			same := r.Host == first.Host && r.PathPrefix == first.PathPrefix
			switch {
			case r.Service == first.Service && !same:
			case same:
				c.fail(r.file, r.field, fmt.Sprintf("%s%s is already route %q of service %q at %s", r.Host, r.PathPrefix,
					first.Name, first.Service, first.place()), "one owner of each host and path prefix")
			case overlap(r.Route, first.Route):
				c.fail(r.file, r.field, fmt.Sprintf("%s%s overlaps %s%s, route %q of service %q at %s", r.Host, r.PathPrefix,
					first.Host, first.PathPrefix, first.Name, first.Service, first.place()),
					"prefixes that match no request of another service's routes")
			}
		}
	}
}
