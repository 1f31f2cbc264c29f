package gwentry

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
	"github.com/geraniumworks/geraniumworks/internal/request/gwretry"
	"github.com/geraniumworks/geraniumworks/internal/request/gwsplit"
)

// call is one request of a caller.
type call struct {
	handler *Handler
	in      *http.Request
	rc      *http.ResponseController

	// started is when the request was read, version the configuration that it is served by.
	started time.Time
	version gw.ConfigVersion
	// id is the caller's own id of the request, empty when it has none.
	id          string
	route       gw.Route
	service     gw.Service
	tenant      gw.Tenant
	key         string
	operationID string
	repeatable  bool
	deadline    time.Time
	// objective is when an answer loses most of its worth for the caller, zero when the route has none.
	objective time.Time
	body      *gwforward.Body
	retries   *gwretry.Service

	attempts int
	// lastServer, lastHost and lastToken are those of the last attempt's target.
	lastServer gw.ServerName
	lastHost   gw.HostName
	lastToken  gw.Revision
	exclude    []gw.ServerName
	search     search
	stale      gw.Revision
	// unknown is the last refusal with an unknown outcome. Once an attempt may have run, no later refusal can
	// promise that the request did not.
	unknown *gw.Refusal
	// cleanup ends what attempts left behind; it runs after the answer was passed on.
	cleanup []func()
}

// read checks everything that can be checked without the body.
func (c *call) read(x *index, now time.Time) *gw.Refusal {
	if refusal := c.wellFormed(); refusal != nil {
		return refusal
	}
	path := c.in.URL.EscapedPath()
	var ok bool
	if c.route, ok = x.route(c.in.Host, path); !ok {
		return gw.Refuse(gw.ReasonNoRoute, "no route matches host and path")
	}
	head, refusal := c.handler.opts.Callers.Decode(c.in.Header)
	if refusal != nil {
		return refusal
	}
	c.id = head.ID
	if c.tenant, ok = x.tenants[head.Tenant]; !ok {
		return gw.Refuse(gw.ReasonUnknownTenant, "the tenant is missing or not known")
	}
	if c.service, ok = x.services[c.serviceName(x)]; !ok {
		return gw.Refuse(gw.ReasonNoRoute, "the route's service does not exist")
	}
	if homes := c.tenant.HomeRegions; len(homes) > 0 && !slices.Contains(homes, c.handler.opts.Region) {
		return c.wrongRegion()
	}
	if refusal := c.setDeadline(now, head); refusal != nil {
		return refusal
	}
	if c.operationID, ok = gwforward.OperationID(c.in.Header); !ok {
		return gw.Refuse(gw.ReasonBadRequest, "the request has contradictory idempotency keys")
	}
	if c.service.DividedByKey {
		var refusal *gw.Refusal
		if c.key, refusal = keyOf(c.route, c.in); refusal != nil {
			return refusal
		}
	}
	if c.in.ContentLength > c.bodyLimit() {
		return gw.Refuse(gw.ReasonBodyTooLarge, "the request body is too large")
	}
	c.repeatable = c.route.Repeatable(c.in.Method)
	return nil
}

func (c *call) wrongRegion() *gw.Refusal {
	refusal := gw.Refuse(gw.ReasonWrongRegion, "the tenant's requests are served in its home regions only")
	refusal.HomeRegions = c.tenant.HomeRegions
	return refusal
}

// wellFormed refuses what net/http accepts but the router does not.
func (c *call) wellFormed() *gw.Refusal {
	h := c.in.Header
	switch {
	case gwforward.IsUpgrade(h) || c.in.Method == http.MethodConnect:
		return gw.Refuse(gw.ReasonBadRequest, "upgrades and tunnels are not supported")
	case headerBytes(h) > c.handler.opts.HeaderBytes:
		return gw.Refuse(gw.ReasonBadRequest, "the request headers are too large")
	case !strings.HasPrefix(c.in.URL.Path, "/") || hasDotSegment(c.in.URL.Path):
		return gw.Refuse(gw.ReasonBadRequest, "the path is not in normal form")
	}
	return nil
}

func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// serviceName returns the service of the route, for a route that is split the one that suits the request within the
// weights.
func (c *call) serviceName(x *index) gw.ServiceName {
	return c.handler.splitter.Choose(c.route, func(name gw.ServiceName) gwsplit.Preference {
		service := x.services[name]
		if !service.DividedByKey {
			return gwsplit.Indifferent
		}
		key, refusal := keyOf(c.route, c.in)
		if refusal != nil {
			return gwsplit.Far
		}
		target, refusal := c.handler.opts.Router.Route(c.in.Context(), gw.RouteRequest{
			Service: name, Tenant: c.tenant.Name, HomeRegions: c.route.HomeRegions, Key: key, NoWait: true,
		})
		if refusal != nil || target.RemoteRegion {
			return gwsplit.Far
		}
		return gwsplit.Near
	})
}

// setDeadline sets the deadline from the limits of service and route and from the caller's, whichever is shortest.
func (c *call) setDeadline(now time.Time, head gw.CallerHead) *gw.Refusal {
	n := c.service.Limits.DeadlineMilliseconds
	if n <= 0 {
		n = gwforward.DefaultDeadlineMilliseconds
	}
	if c.route.TimeoutMilliseconds > 0 {
		n = min(n, c.route.TimeoutMilliseconds)
	}
	if head.HasTimeout {
		n = min(n, head.TimeoutMilliseconds)
	}
	if n == 0 {
		return gw.Refuse(gw.ReasonDeadlineTooShort, "no time is left for the request")
	}
	c.deadline = now.Add(time.Duration(n) * time.Millisecond)
	if objective := c.route.ObjectiveMilliseconds; objective > 0 {
		spent := c.handler.patience.spent(c.route.Name, head.TimeoutMilliseconds)
		c.objective = now.Add(time.Duration(objective-spent-returnMilliseconds) * time.Millisecond)
	}
	return nil
}

// returnMilliseconds is what an answer needs from here to the caller, and the request needed to arrive here: 8 ms
// each way.
const returnMilliseconds = 16

// readBody reads a small body whole and prepares the streaming of others.
func (c *call) readBody() *gw.Refusal {
	if c.in.ContentLength == 0 {
		return nil
	}
	// A writer without deadlines, as in tests, has no slow caller either.
	_ = c.rc.SetReadDeadline(c.deadline)
	var err error
	use := gwforward.Whole
	if c.route.Kind == gw.RouteByMethod {
		use = gwforward.Duplex
	}
	c.body, err = gwforward.Receive(c.in, c.bodyLimit(), use)
	switch {
	case err == nil:
	case errors.Is(err, gwforward.ErrBodyTooLarge):
		return gw.Refuse(gw.ReasonBodyTooLarge, "the request body is too large")
	case !time.Now().Before(c.deadline):
		return gw.Refuse(gw.ReasonDeadlineTooShort, "the request body did not arrive in time")
	default:
		return gw.Refuse(gw.ReasonBadRequest, "the request body did not arrive whole")
	}
	if !c.body.Concurrent() {
		// A connection that does not support full duplex, as in HTTP/2, has no need for it.
		_ = c.rc.EnableFullDuplex()
	}
	return nil
}

// bodyLimit returns the largest permitted request body in bytes.
func (c *call) bodyLimit() int64 {
	return gwforward.BodyLimit(c.service.Limits)
}

// final returns the refusal for the caller. It is not-run only when no attempt may have run.
func (c *call) final(refusal *gw.Refusal) *gw.Refusal {
	if refusal.Reason.Outcome() == gw.OutcomeNotRun && c.unknown != nil {
		return c.unknown
	}
	return refusal
}

// finish ends what attempts left behind.
func (c *call) finish() {
	for _, f := range c.cleanup {
		f()
	}
	c.body.Finish(c.rc)
}

// cancelled reports whether the attempt was cancelled, as when the caller closed its connection.
func cancelled(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled)
}
