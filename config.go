package geraniumworks

import "slices"

// ConfigVersion counts the published configurations.
type ConfigVersion uint64

// Region is a region with its data centres.
type Region struct {
	Name        RegionName       `json:"name"`
	DataCentres []DataCentreName `json:"data-centres"`
}

// Team owns services and tenants.
type Team struct {
	Name    TeamName `json:"name"`
	Contact string   `json:"contact"`
}

// Tenant is a customer of one or more services.
type Tenant struct {
	Name TenantName `json:"name"`
	Team TeamName   `json:"team"`
	// HomeRegions are the only regions in which requests of the tenant may be served and kept. Empty means
	// all regions.
	HomeRegions []RegionName `json:"home-regions,omitempty"`
	// RequestsPerSecond limits the tenant at each entry host; zero means no limit.
	RequestsPerSecond float64 `json:"requests-per-second,omitempty"`
	// InFlight limits the tenant's concurrent requests at each entry host; zero means no limit.
	InFlight int `json:"in-flight,omitempty"`
	// KeyDigests are the hexadecimal SHA-256 digests of the keys with which callers authenticate as the tenant.
	KeyDigests []string `json:"key-digests,omitempty"`
	// Priority orders tenants under overload and goes before the priority of routes; zero is the most urgent.
	Priority int `json:"priority,omitempty"`
	// QuotaPerSecond limits the tenant at all entry hosts together, with QuotaBurst requests at once beyond it; zero means
	// no limit.
	QuotaPerSecond float64 `json:"quota-per-second,omitempty"`
	QuotaBurst     float64 `json:"quota-burst,omitempty"`
}

// Service is a set of backend servers that run the same requests.
type Service struct {
	Name         ServiceName   `json:"name"`
	Team         TeamName      `json:"team"`
	DividedByKey bool          `json:"divided-by-key"`
	Regions      []RegionName  `json:"regions"`
	Limits       ServiceLimits `json:"limits"`
	// OrderedKeys is set when keys are numbers from 0 to 65535 and neighbours are granted together: positions then
	// keep the order of the keys, and one key space spans all regions of the service.
	OrderedKeys bool `json:"ordered-keys,omitempty"`
	// ColdRequestsPerSecond is the rate that a server bears for WarmupMilliseconds after its start; zero means that
	// the limits' ColdPercent alone bounds a cold server.
	ColdRequestsPerSecond float64 `json:"cold-requests-per-second,omitempty"`
	WarmupMilliseconds    int64   `json:"warmup-milliseconds,omitempty"`
	// CostAware is set when requests are queued and placed by what they are expected to cost and by the work that each
	// server still has to do.
	CostAware bool `json:"cost-aware,omitempty"`
}

// KeySpaceIn returns the key space that servers of the service in a region take part in.
func (s Service) KeySpaceIn(region RegionName) KeySpace {
	if s.OrderedKeys {
		region = AllRegions
	}
	return KeySpace{Service: s.Name, Region: region}
}

// ServiceLimits bounds what is sent to the servers of a service. Units are part of the names.
type ServiceLimits struct {
	// SlotsPerServer is the number of requests that a warm server runs at once.
	SlotsPerServer       int `json:"slots-per-server"`
	ConnectionsPerServer int `json:"connections-per-server"`
	// RequestsPerSecondPerServer is the load that a warm server bears.
	RequestsPerSecondPerServer float64 `json:"requests-per-second-per-server"`
	// QueueLength and QueueMilliseconds bound the requests that wait for a slot of a server.
	QueueLength       int   `json:"queue-length"`
	QueueMilliseconds int64 `json:"queue-milliseconds"`
	// DeadlineMilliseconds bounds a request when the caller gives no shorter deadline.
	DeadlineMilliseconds int64 `json:"deadline-milliseconds"`
	// ProgressMilliseconds is the longest silence of a server while an answer is due.
	ProgressMilliseconds int64 `json:"progress-milliseconds"`
	BodyBytes            int64 `json:"body-bytes"`
	// RetryPercent and HedgePercent bound extra attempts as a share of requests.
	RetryPercent int `json:"retry-percent"`
	HedgePercent int `json:"hedge-percent"`
	// ColdPercent is the share of slots that a server just started may use; it doubles each ColdStepMilliseconds
	// while its answers succeed.
	ColdPercent          int   `json:"cold-percent"`
	ColdStepMilliseconds int64 `json:"cold-step-milliseconds"`
}

// KeySourceKind says where a request carries its key.
type KeySourceKind string

// Places of a key in a request.
const (
	KeyFromPathSegment KeySourceKind = "path-segment"
	KeyFromHeader      KeySourceKind = "header"
	KeyFromQuery       KeySourceKind = "query"
)

// KeySource says where a request carries its key.
type KeySource struct {
	From KeySourceKind `json:"from"`
	// Name is the header's or the query parameter's name.
	Name string `json:"name,omitempty"`
	// Segment is the index of the path segment after the route's prefix, counted from zero.
	Segment int `json:"segment,omitempty"`
}

// RouteKind says what may be repeated of a route's requests.
type RouteKind string

// Kinds of routes.
const (
	// RouteByMethod leaves the decision to RepeatableMethods.
	RouteByMethod RouteKind = ""
	// RouteSafe marks requests that may run more than once.
	RouteSafe RouteKind = "safe"
	// RouteUnsafe marks requests that run at most once.
	RouteUnsafe RouteKind = "unsafe"
	// RouteUpload marks requests with large bodies that run at most once.
	RouteUpload RouteKind = "upload"
	// RouteDownload marks requests with large answers that may run more than once.
	RouteDownload RouteKind = "download"
)

// WeightedService is a service that gets a share of a route's requests.
type WeightedService struct {
	Service ServiceName `json:"service"`
	Weight  int         `json:"weight"`
}

// Route maps requests to a service.
type Route struct {
	Name RouteName `json:"name"`
	// Host is the request's host without port; empty matches all.
	Host       string      `json:"host,omitempty"`
	PathPrefix string      `json:"path-prefix"`
	Service    ServiceName `json:"service"`
	// Key is required for a service that is divided by key.
	Key *KeySource `json:"key,omitempty"`
	// RepeatableMethods are the methods whose requests may run more than once. Nil means GET, HEAD and
	// OPTIONS.
	RepeatableMethods []string `json:"repeatable-methods,omitzero"`
	// Kind goes before RepeatableMethods.
	Kind RouteKind `json:"kind,omitempty"`
	// Split replaces Service when requests are distributed among several services in proportion to weights.
	Split []WeightedService `json:"split,omitempty"`
	// HomeRegions are the only regions in which requests of the route may be served. Empty means all.
	HomeRegions []RegionName `json:"home-regions,omitempty"`
	// TimeoutMilliseconds bounds how long a caller is kept waiting, zero for the service's deadline.
	TimeoutMilliseconds int64 `json:"timeout-milliseconds,omitempty"`
	// ObjectiveMilliseconds is the latency within which an answer has its full worth, zero when there is none.
	ObjectiveMilliseconds int64 `json:"objective-milliseconds,omitempty"`
	// Attempts bounds the servers that one request is sent to, zero for the default.
	Attempts int `json:"attempts,omitempty"`
	// Priority orders routes under overload; zero is the most urgent.
	Priority int `json:"priority,omitempty"`
	// Public is set when callers need no key although the configuration requires keys.
	Public bool `json:"public,omitempty"`
}

// Repeatable reports whether a request with the method may run more than once.
func (r Route) Repeatable(method string) bool {
	switch r.Kind {
	case RouteSafe, RouteDownload:
		return true
	case RouteUnsafe, RouteUpload:
		return false
	}
	if r.RepeatableMethods == nil {
		return method == "GET" || method == "HEAD" || method == "OPTIONS"
	}
	return slices.Contains(r.RepeatableMethods, method)
}

// OutKind is the kind of thing that an operator took out of service.
type OutKind string

// Kinds of things that can be taken out of service.
const (
	OutDataCentre OutKind = "data-centre"
	OutHost       OutKind = "host"
	OutServer     OutKind = "server"
	// OutServers takes the backend servers of a data centre out, while its hosts go on serving callers.
	OutServers OutKind = "servers-of-data-centre"
)

// OutOfService is a data centre, host or server that operators took out of service.
type OutOfService struct {
	Kind   OutKind `json:"kind"`
	Name   string  `json:"name"`
	Reason string  `json:"reason"`
	By     string  `json:"by"`
	// Stopped is set when the operator asserts that all processes there are stopped for good. It ends the
	// authority of a controller or dispatcher that ran there.
	Stopped bool `json:"stopped,omitempty"`
}

// CallerLimits bounds what a caller may send, and how long it may take. Zero means the default.
type CallerLimits struct {
	HeaderBytes        int   `json:"header-bytes,omitempty"`
	BodyBytes          int64 `json:"body-bytes,omitempty"`
	HeaderMilliseconds int64 `json:"header-milliseconds,omitempty"`
	IdleMilliseconds   int64 `json:"idle-milliseconds,omitempty"`
}

// Config is the configuration in force, one immutable version of it.
type Config struct {
	Version ConfigVersion `json:"version"`
	// Number is the operators' own number of the configuration, zero when they give none. It goes before Version, which
	// may rise without a newer configuration when the source was restored from an older copy.
	Number uint64 `json:"number,omitempty"`
	// Label is the operators' own name of the version, for logs.
	Label        string         `json:"label,omitempty"`
	Callers      CallerLimits   `json:"callers,omitzero"`
	Regions      []Region       `json:"regions"`
	Teams        []Team         `json:"teams"`
	Tenants      []Tenant       `json:"tenants"`
	Services     []Service      `json:"services"`
	Routes       []Route        `json:"routes"`
	OutOfService []OutOfService `json:"out-of-service,omitempty"`
	// KeysRequired is set when callers authenticate with the keys of tenants, except on public routes.
	KeysRequired bool `json:"keys-required,omitempty"`
}

// Service returns the service with the name.
func (c Config) Service(name ServiceName) (Service, bool) {
	i := slices.IndexFunc(c.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return c.Services[i], true
}

// Tenant returns the tenant with the name.
func (c Config) Tenant(name TenantName) (Tenant, bool) {
	i := slices.IndexFunc(c.Tenants, func(t Tenant) bool { return t.Name == name })
	if i < 0 {
		return Tenant{}, false
	}
	return c.Tenants[i], true
}

// RegionOf returns the region of a data centre.
func (c Config) RegionOf(dc DataCentreName) (RegionName, bool) {
	for _, r := range c.Regions {
		if slices.Contains(r.DataCentres, dc) {
			return r.Name, true
		}
	}
	return "", false
}

// IsOut reports whether operators took the thing out of service.
func (c Config) IsOut(kind OutKind, name string) bool {
	return slices.ContainsFunc(c.OutOfService, func(o OutOfService) bool { return o.Kind == kind && o.Name == name })
}

// ItemVersion returns the version by which configurations are ordered.
func (c Config) ItemVersion() ItemVersion {
	return ItemVersion{Epoch: c.Number, Sequence: uint64(c.Version)}
}

// WithVersion returns a copy with the version.
func (c Config) WithVersion(v ConfigVersion) Config {
	c.Version = v
	return c
}

// WithOut returns a copy in which o is out of service.
func (c Config) WithOut(o OutOfService) Config {
	c = c.WithIn(o.Kind, o.Name)
	c.OutOfService = append(c.OutOfService, o)
	return c
}

// WithIn returns a copy in which the thing is in service.
func (c Config) WithIn(kind OutKind, name string) Config {
	c.OutOfService = slices.DeleteFunc(slices.Clone(c.OutOfService), func(o OutOfService) bool {
		return o.Kind == kind && o.Name == name
	})
	return c
}

// ServedIn reports whether the service has servers in the region.
func (s Service) ServedIn(region RegionName) bool {
	return slices.Contains(s.Regions, region)
}

// ServersOut reports whether a server's data centre or the server itself is out of service.
func (c Config) ServersOut(server ServerName, dc DataCentreName) bool {
	return c.IsOut(OutServer, string(server)) || c.IsOut(OutDataCentre, string(dc)) || c.IsOut(OutServers, string(dc))
}
