package gwrelay

import (
	"net/http"
	"strconv"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
)

// parse reads the head of a request from an entry host. It does not read the body.
func (r *Relay) parse(in *http.Request, now time.Time) (*gwforward.Request, *gw.Refusal) {
	bad := func(detail string) (*gwforward.Request, *gw.Refusal) {
		return nil, gw.Refuse(gw.ReasonBadRequest, detail)
	}
	if gwforward.IsUpgrade(in.Header) || in.Method == http.MethodConnect {
		return bad("upgrades are not supported")
	}
	values := make(map[string]string, 14)
	for _, name := range []string{
		gw.HeaderRequestID, gw.HeaderOperationID, gw.HeaderTimeout, gw.HeaderPosition, gw.HeaderToken,
		gw.HeaderServer, gw.HeaderTenant, gw.HeaderService, gw.HeaderRepeatable,
		gw.HeaderObjective, gw.HeaderPriority, gw.HeaderNoWait, gw.HeaderCallerID,
		gw.HeaderCostClass, gw.HeaderRegions,
	} {
		value, ok := gwforward.SingleValue(in.Header, name)
		if !ok {
			return bad("a header of the relay protocol occurs more than once")
		}
		values[name] = value
	}
	for _, name := range []string{gw.HeaderRequestID, gw.HeaderServer, gw.HeaderService, gw.HeaderTenant} {
		if values[name] == "" {
			return bad("a header of the relay protocol is missing")
		}
	}
	left, err := strconv.ParseInt(values[gw.HeaderTimeout], 10, 64)
	if err != nil || left < 0 || left > gwforward.MaxTimeoutMilliseconds {
		return bad("the timeout is not a valid number of milliseconds")
	}
	req := &gwforward.Request{
		ID: values[gw.HeaderRequestID], CallerID: values[gw.HeaderCallerID], OperationID: values[gw.HeaderOperationID],
		Tenant: gw.TenantName(gwforward.DecodeName(values[gw.HeaderTenant])),
		Target: gw.Target{
			Service: gw.ServiceName(gwforward.DecodeName(values[gw.HeaderService])),
			Server:  gw.ServerName(gwforward.DecodeName(values[gw.HeaderServer])),
		},
		Repeatable: values[gw.HeaderRepeatable] == "true",
		Deadline:   now.Add(time.Duration(left) * time.Millisecond),
		Class:      gw.CostClass(gwforward.DecodeName(values[gw.HeaderCostClass])),
		Method:     in.Method, URL: in.URL, Path: gwforward.ReceivedPath(in.URL, in.RequestURI),
		Host: in.Host, Header: in.Header,
	}
	if value := values[gw.HeaderRegions]; value != "" {
		var ok bool
		if req.Regions, ok = gwforward.DecodeRegions(value); !ok {
			return bad("the regions of the request are not valid")
		}
	}
	if refusal := parseUrgency(req, values, now); refusal != nil {
		return nil, refusal
	}
	position, token := values[gw.HeaderPosition], values[gw.HeaderToken]
	if position != "" || token != "" {
		revision, err := strconv.ParseUint(token, 10, 64)
		if err != nil || req.Target.Position.UnmarshalText([]byte(position)) != nil {
			return bad("the position or the token of the key is not valid")
		}
		req.Target.HasKey, req.Target.Token = true, gw.Revision(revision)
	}
	return req, nil
}

// parseUrgency reads the headers that determine whether the request may wait for a slot, and the order in which waiting
// requests get one.
func parseUrgency(req *gwforward.Request, values map[string]string, now time.Time) *gw.Refusal {
	req.NoWait = values[gw.HeaderNoWait] == "true"
	if value := values[gw.HeaderObjective]; value != "" {
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil || n > gwforward.MaxTimeoutMilliseconds || n < -gwforward.MaxTimeoutMilliseconds {
			return gw.Refuse(gw.ReasonBadRequest, "the objective is not a valid number of milliseconds")
		}
		req.Objective = now.Add(time.Duration(n) * time.Millisecond)
	}
	if value := values[gw.HeaderPriority]; value != "" {
		n, err := strconv.Atoi(value)
		if err != nil || n < 0 {
			return gw.Refuse(gw.ReasonBadRequest, "the priority is not a number of 0 or more")
		}
		req.Priority = n
	}
	return nil
}
