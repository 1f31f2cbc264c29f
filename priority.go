package geraniumworks

// MaxTenantPriority is the least urgent priority of a tenant. Larger ones count as this one.
const MaxTenantPriority = 1000

// routePriorities is the number of priorities of routes that a combined priority distinguishes. Larger ones of routes
// count as the last one.
const routePriorities = 1000

// CombinePriorities returns the priority of a request: that of its tenant goes before that of its route.
func CombinePriorities(tenant, route int) int {
	return min(max(tenant, 0), MaxTenantPriority)*routePriorities + min(max(route, 0), routePriorities-1)
}

// TenantPriority returns the priority of the tenant in a combined priority.
func TenantPriority(combined int) int {
	return combined / routePriorities
}
