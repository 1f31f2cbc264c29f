package gwtable

import (
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/version/gwrank"
)

// PositionOf returns the position of a tenant's key in the hash space of a service.
func PositionOf(service gw.ServiceName, tenant gw.TenantName, key string) gw.Position {
	d := xxhash.New()
	for _, part := range []string{string(service), string(tenant), key} {
		// The length before each part keeps ("ab", "c") and ("a", "bc") apart.
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = d.Write(length[:])
		_, _ = d.WriteString(part)
	}
	return gw.Position(d.Sum64())
}

// EligibleRegions returns the regions in which requests of the tenant may be served by the service, ordered by
// name.
func EligibleRegions(service gw.Service, tenant gw.Tenant) []gw.RegionName {
	return filterByHomeRegions(service.Regions, tenant.HomeRegions)
}

// filterByHomeRegions returns the regions that are home regions, ordered by name. Without home regions it returns all.
func filterByHomeRegions(regions, homes []gw.RegionName) []gw.RegionName {
	regions = slices.Clone(regions)
	if len(homes) > 0 {
		regions = slices.DeleteFunc(regions, func(r gw.RegionName) bool {
			return !slices.Contains(homes, r)
		})
	}
	slices.Sort(regions)
	return regions
}

// orderedKeyShift moves an ordered key, a number of 16 bits, to the highest bits of a position.
const orderedKeyShift = 48

// Locate returns the key space and the position of a tenant's key. The region of the key space is empty when the
// service has no server in any home region of the tenant; ok is false for a key that is not a number although the
// service needs one.
func Locate(service gw.Service, tenant gw.Tenant, key string) (space gw.KeySpace, position gw.Position, ok bool) {
	if !service.OrderedKeys {
		space = gw.KeySpace{Service: service.Name, Region: RegionOf(service, tenant, key)}
		return space, PositionOf(service.Name, tenant.Name, key), true
	}
	n, err := strconv.ParseUint(key, 10, 16)
	return service.KeySpaceIn(gw.AllRegions), gw.Position(n << orderedKeyShift), err == nil
}

// RegionOf returns the region whose servers own a tenant's key. It is empty when the service has no server in any
// home region of the tenant.
func RegionOf(service gw.Service, tenant gw.Tenant, key string) gw.RegionName {
	return gwrank.First(string(tenant.Name)+"/"+key, EligibleRegions(service, tenant))
}
