package geraniumworks

import (
	"strings"

	"golang.org/x/net/http/httpguts"
)

// RegionName names a region, a group of data centres with one way into the wide-area link.
type RegionName string

// DataCentreName names a data centre, unique over all regions.
type DataCentreName string

// HostName names a host that runs one geraniumworks process.
type HostName string

// ServerName names a backend server, unique over all services.
type ServerName string

// ServiceName names a service, a set of backend servers that run the same requests.
type ServiceName string

// TenantName names a tenant.
type TenantName string

// TeamName names a team that owns services and tenants.
type TeamName string

// RouteName names a route.
type RouteName string

// InstanceID identifies one run of a geraniumworks process. It is random and never reused.
type InstanceID string

// Incarnation identifies one run of a backend server. The server chooses it at start and never reuses it.
type Incarnation string

// IsHeaderText reports whether the value of a header can be the text, and is read as the same text.
func IsHeaderText(text string) bool {
	return text == strings.TrimSpace(text) && httpguts.ValidHeaderFieldValue(text)
}
