package gwlease

import (
	"cmp"
	"slices"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// coarseGranularity is the smallest width of a range in a key space with keys that must not be identifiable outside
// their home regions (docs/design.md, section 3).
const coarseGranularity = 1 << 44

// orderedGranularity is the width of a single key of a service with ordered keys.
const orderedGranularity = 1 << 48

// isLead reports whether this cell assigns ranges without an owner. That is the cell of the lowest-named data centre
// with a controller.
func (c *Core) isLead() bool {
	for _, cell := range c.record.assignment.Cells {
		if cell.Controller != "" {
			return cell.DataCentre == c.opts.cell.DataCentre
		}
	}
	return false
}

// granularity returns the smallest width of a range.
func (c *Core) granularity() uint64 {
	if c.service.OrderedKeys {
		return orderedGranularity
	}
	if len(c.cfg.Regions) == 0 {
		return 1
	}
	store := c.cfg.Regions[0].Name
	for _, t := range c.cfg.Tenants {
		if slices.Contains(t.HomeRegions, c.opts.region) && !slices.Contains(t.HomeRegions, store) {
			return coarseGranularity
		}
	}
	return 1
}

// View returns the input of the placement policy, and false while the Core does not control the cell or the
// service is not divided by key.
func (c *Core) View(now time.Time) (gw.PlacementView, bool) {
	if c.Controls(now) == 0 || !c.service.DividedByKey {
		return gw.PlacementView{}, false
	}
	v := gw.PlacementView{
		Now: now, Assignment: c.record.assignment, DataCentre: c.opts.cell.DataCentre, Lead: c.isLead(),
		RangeLoads: map[gw.Position]float64{}, Granularity: c.granularity(),
	}
	for _, s := range c.byName {
		v.Servers = append(v.Servers, gw.ServerView{
			Name: s.entry.Name, DataCentre: c.opts.cell.DataCentre, State: c.state(s),
			Capacity: c.viewCapacity(s), WarmPercent: s.warmup.percent,
			Load: c.viewLoad(s),
		})
		for first, load := range s.dispatch.report.RangeLoads {
			v.RangeLoads[first] += load
		}
		v.Hot = append(v.Hot, s.dispatch.report.Hot...)
	}
	if c.service.OrderedKeys {
		v.Arrivals = c.arrivalSamples()
		v.Servers = append(v.Servers, c.otherCellServers(nil)...)
		slices.SortFunc(v.Servers, func(x, y gw.ServerView) int { return cmp.Compare(x.Name, y.Name) })
		return v, true
	}
	estimates := estimateLoads(v.Assignment, v.Servers)
	v.Servers = append(v.Servers, c.otherCellServers(estimates)...)
	slices.SortFunc(v.Servers, func(x, y gw.ServerView) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(v.Hot, func(x, y gw.HotPosition) int { return cmp.Compare(x.Position, y.Position) })
	return v, true
}

// viewCapacity returns the capacity that the placement policy sees.
func (c *Core) viewCapacity(s *server) float64 {
	if c.service.OrderedKeys {
		return c.capacity(s)
	}
	return c.service.Limits.RequestsPerSecondPerServer
}

// viewLoad returns the load that the placement policy sees.
func (c *Core) viewLoad(s *server) float64 {
	if c.service.OrderedKeys {
		return c.load(s)
	}
	return s.dispatch.report.RequestsPerSecond
}

// estimateLoads estimates the load of every owner from its share of the positions and the loads of the known
// servers. Directories carry no loads here because they are sent to every host. Without an estimate, servers of
// other data centres would look idle and attract all moves.
func estimateLoads(a gw.Assignment, known []gw.ServerView) map[gw.ServerName]float64 {
	shares := map[gw.ServerName]float64{}
	for i, r := range a.Ranges {
		span := a.Span(i)
		shares[r.Owner] += float64(span.Last-span.First) + 1
	}
	load, share := 0.0, 0.0
	for _, s := range known {
		load += s.Load
		share += shares[s.Name]
	}
	estimates := make(map[gw.ServerName]float64, len(shares))
	if share == 0 {
		return estimates
	}
	for name, s := range shares {
		estimates[name] = load * s / share
	}
	return estimates
}

// otherCellServers returns the servers of the key space's other cells from their directories, with estimated loads.
func (c *Core) otherCellServers(estimates map[gw.ServerName]float64) []gw.ServerView {
	var servers []gw.ServerView
	for dc, d := range sorted(c.otherDirectories) {
		for _, e := range d.Servers {
			view := gw.ServerView{
				Name: e.Name, DataCentre: dc, State: e.State,
				Capacity: c.service.Limits.RequestsPerSecondPerServer, WarmPercent: 100,
				Load: estimates[e.Name],
			}
			if c.service.OrderedKeys {
				load := c.otherLoads[dc][e.Name]
				view.Capacity, view.Load = load.Capacity, load.Load
			}
			servers = append(servers, view)
		}
	}
	return servers
}
