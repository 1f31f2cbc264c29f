package gwpublish

import (
	"cmp"
	"fmt"
	"slices"

	gw "github.com/geraniumworks/geraniumworks"
)

// Retired remembers the residence of keys of services and tenants that are no longer configured. Without it, keys
// could be moved between regions without fencing by removing a service and adding it again with other regions.
type Retired struct {
	Services    []RetiredService    `json:"services,omitempty"`
	Tenants     []RetiredTenant     `json:"tenants,omitempty"`
	DataCentres []RetiredDataCentre `json:"data-centres,omitempty"`
}

// RetiredDataCentre is a former data centre with its region.
type RetiredDataCentre struct {
	Name   gw.DataCentreName `json:"name"`
	Region gw.RegionName     `json:"region"`
}

// RetiredService is a service that was divided by key.
type RetiredService struct {
	Name    gw.ServiceName  `json:"name"`
	Regions []gw.RegionName `json:"regions"`
}

// RetiredTenant is a former tenant.
type RetiredTenant struct {
	Name        gw.TenantName   `json:"name"`
	HomeRegions []gw.RegionName `json:"home-regions,omitempty"`
}

// candidates returns the regions in which keys of a tenant with the home regions may reside, ordered by name.
func candidates(home, service []gw.RegionName) []gw.RegionName {
	regions := slices.Clone(service)
	if len(home) > 0 {
		regions = slices.DeleteFunc(regions, func(r gw.RegionName) bool { return !slices.Contains(home, r) })
	}
	slices.Sort(regions)
	return slices.Compact(regions)
}

// checkResidence returns why next would change the residence of existing keys, and what is retired by next.
func checkResidence(cur, next gw.Config, retired Retired) ([]string, Retired) {
	var reasons []string
	services := slices.Clone(retired.Services)
	for _, s := range cur.Services {
		if s.DividedByKey {
			services = append(services, RetiredService{s.Name, s.Regions})
		}
	}
	after := Retired{}
	for _, s := range services {
		now, ok := next.Service(s.Name)
		if !ok || !now.DividedByKey {
			after.Services = append(after.Services, s)
			continue
		}
		if !slices.Equal(candidates(nil, s.Regions), candidates(nil, now.Regions)) {
			reasons = append(reasons, fmt.Sprintf("service %s is divided by key, and its regions would change from %v to %v: "+
				"keys would move between regions without fencing; add a service with another name instead",
				s.Name, candidates(nil, s.Regions), candidates(nil, now.Regions)))
		}
	}
	tenants := slices.Clone(retired.Tenants)
	for _, t := range cur.Tenants {
		tenants = append(tenants, RetiredTenant{t.Name, t.HomeRegions})
	}
	for _, t := range tenants {
		now, ok := next.Tenant(t.Name)
		if !ok {
			if len(services) > 0 {
				after.Tenants = append(after.Tenants, t)
			}
			continue
		}
		for _, s := range services {
			before, then := candidates(t.HomeRegions, s.Regions), candidates(now.HomeRegions, s.Regions)
			if !slices.Equal(before, then) {
				reasons = append(reasons, fmt.Sprintf("home regions of tenant %s would change, and with them the regions of "+
					"its keys of service %s, from %v to %v: keys would move between regions without fencing; "+
					"add a tenant with another name instead", t.Name, s.Name, before, then))
			}
		}
	}
	moved, dataCentres := checkDataCentres(cur, next, retired.DataCentres)
	if len(services) > 0 {
		reasons, after.DataCentres = append(reasons, moved...), dataCentres
	}
	slices.SortFunc(after.Services, func(a, b RetiredService) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(after.Tenants, func(a, b RetiredTenant) int { return cmp.Compare(a.Name, b.Name) })
	return reasons, after
}

// checkDataCentres returns which data centres would change their region, and which are retired. A data centre that
// changes its region takes its servers out of the key space in which they own ranges.
func checkDataCentres(cur, next gw.Config, known []RetiredDataCentre) (reasons []string, after []RetiredDataCentre) {
	known = slices.Clone(known)
	for _, r := range cur.Regions {
		for _, dc := range r.DataCentres {
			known = append(known, RetiredDataCentre{dc, r.Name})
		}
	}
	for _, dc := range known {
		region, ok := next.RegionOf(dc.Name)
		switch {
		case !ok:
			after = append(after, dc)
		case region != dc.Region:
			reasons = append(reasons, fmt.Sprintf("data centre %s would move from region %s to %s: its servers would keep "+
				"keys of the former region; add a data centre with another name instead", dc.Name, dc.Region, region))
		}
	}
	slices.SortFunc(after, func(a, b RetiredDataCentre) int { return cmp.Compare(a.Name, b.Name) })
	return reasons, after
}
