// Package gwpreview shows where an entry host would send a request at the moment, without sending one.
package gwpreview

import (
	gw "github.com/geraniumworks/geraniumworks"
)

// Request describes the request that would be sent.
type Request struct {
	Host, Path, Method string
	// Key replaces the key that the route finds in the path. Tenant may be empty when there is only one.
	Key    string
	Tenant gw.TenantName
	// Bytes is the size of the body.
	Bytes int64
}

// Answer says where a request would be sent.
type Answer struct {
	// Host is the entry host that was asked, ConfigVersion the version of the configuration that it uses.
	Host          gw.HostName      `json:"host"`
	ConfigVersion gw.ConfigVersion `json:"config-version"`
	Route         string           `json:"route,omitempty"`
	Tenant        gw.TenantName    `json:"tenant,omitempty"`
	Service       gw.ServiceName   `json:"service,omitempty"`
	// Split lists all services of a route that is split; Service is the one with the most weight.
	Split       []gw.WeightedService `json:"split,omitempty"`
	HomeRegions []gw.RegionName      `json:"home-regions,omitempty"`
	Repeatable  bool                 `json:"repeatable"`
	// DeadlineMilliseconds and ObjectiveMilliseconds count from the arrival of the request.
	DeadlineMilliseconds  int64 `json:"deadline-milliseconds,omitempty"`
	ObjectiveMilliseconds int64 `json:"objective-milliseconds,omitempty"`
	// ByScore is true when the candidate with the best score is chosen. Otherwise scores are not used.
	ByScore bool `json:"by-score"`
	// Position, Owner and Token are those of the key in a service that is divided by key.
	Position *gw.Position  `json:"position,omitempty"`
	Owner    gw.ServerName `json:"owner,omitempty"`
	Token    gw.Revision   `json:"token,omitempty"`
	// Refusal is set when the request would be refused before a server is chosen, or by all candidates.
	Refusal    *gw.Refusal `json:"refusal,omitempty"`
	Candidates []Candidate `json:"candidates"`
}

// Candidate is a server to which the request might be sent. Times are in milliseconds.
type Candidate struct {
	Server     gw.ServerName     `json:"server"`
	DataCentre gw.DataCentreName `json:"data-centre"`
	Dispatcher gw.HostName       `json:"dispatcher"`
	// Score is the expected time until the request has been served: Wait, the remaining work before it gets a slot,
	// Service, its time at the server, and Network.
	Score   float64 `json:"score-milliseconds"`
	Wait    float64 `json:"wait-milliseconds"`
	Service float64 `json:"service-milliseconds"`
	Network float64 `json:"network-milliseconds"`
	// Slowness is how many times longer than usual work takes at the server.
	Slowness float64 `json:"slowness"`
	// InFlight counts requests of the asked host at the server.
	InFlight int `json:"in-flight"`
	// AgeMilliseconds is the age of the reported wait, nil when nothing was reported.
	AgeMilliseconds *int64 `json:"age-milliseconds"`
	// PassedOver says why the server is not chosen while there are others, empty when it may be chosen.
	PassedOver string `json:"passed-over,omitempty"`
	// Refusal is what the dispatcher would answer. It is known only when the asked host is the dispatcher, as Asked says.
	Asked   bool        `json:"asked-dispatcher"`
	Refusal *gw.Refusal `json:"refusal,omitempty"`
}
