package gwpreview

import (
	"cmp"
	"context"
	"slices"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwchoice"
	"github.com/geraniumworks/geraniumworks/internal/request/gwentry"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
	"github.com/geraniumworks/geraniumworks/internal/version/gwtable"
)

// Previewer shows where this host would send requests.
type Previewer struct {
	opts Options
}

// Options are the settings of a Previewer. All are required.
type Options struct {
	Host gw.HostName
	// Region is that of the host.
	Region gw.RegionName
	// Config returns the configuration in force, with version zero when there is none.
	Config func() gw.Config
	Table  *gwtable.Table
	Router gw.Router
	// Candidates describes the servers in directories.
	Candidates func(service gw.ServiceName, dirs []gw.Directory, bodyBytes int64) []gwchoice.Candidate
	// Dispatches reports whether this host is the dispatcher of a server, and Preview what it would refuse.
	Dispatches func(gw.ServiceName, gw.ServerName) bool
	Preview    func(gw.SlotRequest) *gw.Refusal
	Clock      gw.Clock
}

// New returns a Previewer.
func New(opts Options) *Previewer {
	return &Previewer{opts: opts}
}

// Where returns where the request would be sent. It sends nothing and changes nothing.
func (p *Previewer) Where(ctx context.Context, req Request) Answer {
	cfg := p.opts.Config()
	out := Answer{Host: p.opts.Host, ConfigVersion: cfg.Version, Candidates: []Candidate{}}
	if cfg.Version == 0 {
		out.Refusal = gw.Refuse(gw.ReasonNotReady, "this host has no configuration yet")
		return out
	}
	route, ok := gwentry.RouteOf(cfg, req.Host, req.Path)
	if !ok {
		out.Refusal = gw.Refuse(gw.ReasonNoRoute, "no route matches host and path")
		return out
	}
	out.Route, out.Split, out.HomeRegions = string(route.Name), route.Split, route.HomeRegions
	out.Repeatable, out.ObjectiveMilliseconds = route.Repeatable(req.Method), route.ObjectiveMilliseconds
	if req.Tenant == "" && len(cfg.Tenants) == 1 {
		req.Tenant = cfg.Tenants[0].Name
	}
	tenant, ok := cfg.Tenant(req.Tenant)
	if !ok {
		out.Refusal = gw.Refuse(gw.ReasonUnknownTenant, "the tenant is missing or unknown")
		return out
	}
	service, ok := cfg.Service(heaviest(route))
	if !ok {
		out.Refusal = gw.Refuse(gw.ReasonNoRoute, "the service of the route does not exist")
		return out
	}
	out.Tenant, out.Service = tenant.Name, service.Name
	out.ByScore = service.CostAware && !service.DividedByKey
	out.DeadlineMilliseconds = gwentry.LongestMilliseconds(route, service)
	if homes := tenant.HomeRegions; len(homes) > 0 && !slices.Contains(homes, p.opts.Region) {
		out.Refusal = gw.Refuse(gw.ReasonWrongRegion, "requests of the tenant are served only in its home regions")
		out.Refusal.HomeRegions = homes
		return out
	}
	if req.Bytes > gwforward.BodyLimit(service.Limits) {
		out.Refusal = gw.Refuse(gw.ReasonBodyTooLarge, "the request body is larger than the service permits")
		return out
	}
	slot := p.slotRequest(req, out, route)
	if service.DividedByKey {
		p.addOwner(ctx, &out, route, req, slot)
	} else {
		p.addCandidates(&out, p.directories(service, tenant, route), req, slot)
	}
	return out
}

// heaviest returns the service that gets the largest share of the route's requests.
func heaviest(route gw.Route) gw.ServiceName {
	if len(route.Split) == 0 {
		return route.Service
	}
	byWeight := func(a, b gw.WeightedService) int { return cmp.Compare(a.Weight, b.Weight) }
	return slices.MaxFunc(route.Split, byWeight).Service
}

func (p *Previewer) slotRequest(req Request, out Answer, route gw.Route) gw.SlotRequest {
	now := p.opts.Clock.Now()
	slot := gw.SlotRequest{
		Service: out.Service, Tenant: req.Tenant, Priority: route.Priority,
		Deadline: now.Add(time.Duration(out.DeadlineMilliseconds) * time.Millisecond),
	}
	if out.ObjectiveMilliseconds > 0 {
		slot.Objective = now.Add(time.Duration(out.ObjectiveMilliseconds) * time.Millisecond)
	}
	return slot
}

// directories returns the directories of the cells that may serve the request.
func (p *Previewer) directories(service gw.Service, tenant gw.Tenant, route gw.Route) []gw.Directory {
	regions := gwtable.EligibleRegions(service, tenant)
	var found []gw.Directory
	for _, d := range p.opts.Table.State().Directories {
		home := len(route.HomeRegions) == 0 || slices.Contains(route.HomeRegions, d.Region)
		if d.Cell.Service == service.Name && home && slices.Contains(regions, d.Region) {
			found = append(found, d)
		}
	}
	slices.SortFunc(found, func(a, b gw.Directory) int { return cmp.Compare(a.Cell.DataCentre, b.Cell.DataCentre) })
	return found
}

// addOwner adds position and owner of the key.
func (p *Previewer) addOwner(ctx context.Context, out *Answer, route gw.Route, req Request, slot gw.SlotRequest) {
	if req.Key == "" {
		if req.Key, out.Refusal = gwentry.KeyOf(route, req.Method, req.Path); out.Refusal != nil {
			return
		}
	}
	target, refusal := p.opts.Router.Route(ctx, gw.RouteRequest{
		Service: out.Service, Tenant: req.Tenant, HomeRegions: route.HomeRegions, Key: req.Key, NoWait: true,
	})
	if refusal != nil {
		out.Refusal = refusal
		return
	}
	out.Position, out.Owner, out.Token = &target.Position, target.Server, target.Token
	slot.HasKey, slot.Position, slot.Token = true, target.Position, target.Token
	for _, d := range p.opts.Table.State().Directories {
		for _, e := range d.Servers {
			if d.Cell.Service == out.Service && e.Name == target.Server && e.Dispatcher == target.Dispatcher {
				d.Servers = []gw.DirectoryServer{e}
				p.addCandidates(out, []gw.Directory{d}, req, slot)
				return
			}
		}
	}
}

// addCandidates adds the servers of the directories, and the refusal when none of them would take the request.
func (p *Previewer) addCandidates(out *Answer, dirs []gw.Directory, req Request, slot gw.SlotRequest) {
	now := p.opts.Clock.Now()
	accepted := false
	var refusal *gw.Refusal
	for _, c := range p.opts.Candidates(out.Service, dirs, req.Bytes) {
		const ms = 1000
		each := Candidate{
			Server: c.Server.Name, DataCentre: c.Cell.DataCentre, Dispatcher: c.Server.Dispatcher,
			Score: ms * c.Score, Wait: ms * c.Wait, Service: ms * c.Service, Network: ms * c.Network,
			Slowness: c.Slowness, InFlight: c.InFlight, PassedOver: c.Excluded,
		}
		if !c.ReportedAt.IsZero() {
			age := now.Sub(c.ReportedAt).Milliseconds()
			each.AgeMilliseconds = &age
		}
		if each.Asked = p.opts.Dispatches(out.Service, c.Server.Name); each.Asked {
			slot.Server = c.Server.Name
			each.Refusal = p.opts.Preview(slot)
		}
		if each.Refusal == nil && c.Server.RelayAddress != "" && c.Server.Slots > 0 {
			accepted = true
		} else if refusal == nil {
			refusal = each.Refusal
		}
		out.Candidates = append(out.Candidates, each)
	}
	switch {
	case accepted:
	case refusal != nil:
		out.Refusal = refusal
	default:
		out.Refusal = gw.Refuse(gw.ReasonNoServer, "no server of the service can be reached")
	}
}
