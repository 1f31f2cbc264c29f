package main

import (
	"fmt"
	"net/url"
	"slices"
	"strings"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/version/gwconfig"
	"github.com/geraniumworks/geraniumworks/internal/version/gwpublish"
)

type explainCommand struct {
	app  *app
	Args struct {
		Route string `positional-arg-name:"ROUTE-or-URL" required:"yes" description:"route name, path or URL"`
	} `positional-args:"yes" required:"yes"`
}

// explanation is what happens to requests of a route.
type explanation struct {
	Version     gw.ConfigVersion    `json:"version"`
	Route       gw.Route            `json:"route"`
	Service     gw.Service          `json:"service"`
	Team        gw.Team             `json:"team"`
	File        string              `json:"file"`
	Repeatable  []string            `json:"repeatable"`
	InService   []gw.DataCentreName `json:"data-centres-in-service"`
	OutOfUse    []gw.DataCentreName `json:"data-centres-out-of-service"`
	HomeTenants []string            `json:"tenants-with-home-regions"`
}

func (c *explainCommand) Execute([]string) error {
	state, err := c.app.state()
	if err != nil {
		return err
	}
	route, err := findRoute(state.Config, c.Args.Route)
	if err != nil {
		return err
	}
	x := explain(state, route)
	return c.app.print(x, x.rows())
}

func findRoute(cfg gw.Config, text string) (gw.Route, error) {
	if !strings.Contains(text, "/") {
		i := slices.IndexFunc(cfg.Routes, func(r gw.Route) bool { return string(r.Name) == text })
		if i < 0 {
			return gw.Route{}, fmt.Errorf("route %q: %w", text, gwpublish.ErrNotListed)
		}
		return cfg.Routes[i], nil
	}
	u, err := url.Parse(text)
	if err != nil {
		return gw.Route{}, usagef("URL cannot be read")
	}
	route, ok := gwconfig.Match(cfg, u.Hostname(), u.Path)
	if !ok {
		return gw.Route{}, fmt.Errorf("no route matches; the request is refused with 404 %s: %w",
			gw.ReasonNoRoute, gwpublish.ErrNotListed)
	}
	return route, nil
}

func explain(state gwpublish.State, route gw.Route) explanation {
	cfg := state.Config
	x := explanation{Version: cfg.Version, Route: route, Repeatable: []string{}, HomeTenants: []string{}}
	x.Service, _ = cfg.Service(route.Service)
	for _, t := range cfg.Teams {
		if t.Name == x.Service.Team {
			x.Team = t
		}
	}
	for path, data := range state.Files {
		f, err := gwconfig.Parse(gwconfig.Source{Path: path, Data: data})
		if err == nil && f.Service != nil && f.Service.Name == route.Service {
			x.File = path
		}
	}
	for _, m := range []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"} {
		if route.Repeatable(m) {
			x.Repeatable = append(x.Repeatable, m)
		}
	}
	for _, r := range cfg.Regions {
		for _, dc := range r.DataCentres {
			switch {
			case !slices.Contains(x.Service.Regions, r.Name):
			case cfg.IsOut(gw.OutDataCentre, string(dc)):
				x.OutOfUse = append(x.OutOfUse, dc)
			default:
				x.InService = append(x.InService, dc)
			}
		}
	}
	for _, t := range cfg.Tenants {
		if len(t.HomeRegions) > 0 {
			x.HomeTenants = append(x.HomeTenants, fmt.Sprintf("%s: %s", t.Name, joined(t.HomeRegions)))
		}
	}
	return x
}

func joined[T ~string](list []T) string {
	texts := make([]string, len(list))
	for i, x := range list {
		texts[i] = string(x)
	}
	if len(texts) == 0 {
		return "none"
	}
	return strings.Join(texts, ", ")
}

func (x explanation) rows() [][]string {
	key := "none; any server may run a request"
	if k := x.Route.Key; k != nil {
		key = fmt.Sprintf("%s %s; only the owner of a key runs its requests", k.From, k.Name)
		if k.From == gw.KeyFromPathSegment {
			key = fmt.Sprintf("path segment %d after the prefix; only the owner of a key runs its requests", k.Segment)
		}
	}
	host := x.Route.Host
	if host == "" {
		host = "all"
	}
	limits := x.Service.Limits
	return [][]string{
		{"version", number(x.Version)},
		{"route", string(x.Route.Name)},
		{"host", host},
		{"path prefix", x.Route.PathPrefix},
		{"service", string(x.Service.Name)},
		{"file", x.File},
		{"team", fmt.Sprintf("%s, %s", x.Team.Name, x.Team.Contact)},
		{"key", key},
		{"may run more than once", joined(x.Repeatable)},
		{"regions", joined(x.Service.Regions)},
		{"in service", joined(x.InService)},
		{"out of service", joined(x.OutOfUse)},
		{"home regions", strings.Join(x.HomeTenants, "; ")},
		{"deadline", fmt.Sprintf("%d ms", limits.DeadlineMilliseconds)},
		{"queue", fmt.Sprintf("%d requests, %d ms", limits.QueueLength, limits.QueueMilliseconds)},
		{"body", fmt.Sprintf("%d bytes", limits.BodyBytes)},
		{"slots of a server", fmt.Sprint(limits.SlotsPerServer)},
	}
}
