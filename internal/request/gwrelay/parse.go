package gwrelay

import (
	"net/http"
	"strconv"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
)

// parse reads the request of an entry host. It does not read the body.
func (r *Relay) parse(in *http.Request, now time.Time) (*gwforward.Request, *gw.Refusal) {
	bad := func(detail string) (*gwforward.Request, *gw.Refusal) {
		return nil, gw.Refuse(gw.ReasonBadRequest, detail)
	}
	if gwforward.IsUpgrade(in.Header) || in.Method == http.MethodConnect {
		return bad("upgrades are not supported")
	}
	values := make(map[string]string, 8)
	for _, name := range []string{
		gw.HeaderRequestID, gw.HeaderOperationID, gw.HeaderTimeout, gw.HeaderPosition, gw.HeaderToken,
		gw.HeaderServer, gw.HeaderTenant, gw.HeaderService, gw.HeaderRepeatable,
	} {
		value, ok := gwforward.Single(in.Header, name)
		if !ok {
			return bad("a header of the relay protocol is repeated")
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
		return bad("the timeout is not a number of milliseconds")
	}
	req := &gwforward.Request{
		ID: values[gw.HeaderRequestID], OperationID: values[gw.HeaderOperationID],
		Tenant: gw.TenantName(values[gw.HeaderTenant]),
		Target: gw.Target{
			Service: gw.ServiceName(values[gw.HeaderService]), Server: gw.ServerName(values[gw.HeaderServer]),
		},
		Repeatable: values[gw.HeaderRepeatable] == "true",
		Deadline:   now.Add(time.Duration(left) * time.Millisecond),
		Method:     in.Method, URL: in.URL, Host: in.Host, Header: in.Header,
	}
	position, token := values[gw.HeaderPosition], values[gw.HeaderToken]
	if position != "" || token != "" {
		revision, err := strconv.ParseUint(token, 10, 64)
		if err != nil || req.Target.Position.UnmarshalText([]byte(position)) != nil {
			return bad("position and token are not valid")
		}
		req.Target.HasKey, req.Target.Token = true, gw.Revision(revision)
	}
	return req, nil
}
