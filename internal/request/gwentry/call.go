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

// call is the state of one request of a caller.
type call struct {
	handler *Handler
	in      *http.Request
	rc      *http.ResponseController

	// started is when the head of the request was read, version the version of the configuration that is used for it.
	started time.Time
	version gw.ConfigVersion
	// id is the request id that the caller has set, empty when there is none.
	id string
	// path is the path as it was received.
	path    string
	route   gw.Route
	service gw.Service
	tenant  gw.Tenant
	// header holds the headers that are passed on: those of the caller, without its credential when keys are required.
	header http.Header
	// keysRequired is set when the configuration of the request requires keys.
	keysRequired bool
	// homes are the only regions in which the request may be served, empty for all.
	homes []gw.RegionName
	// priority is the rank of the request among those that wait for a slot.
	priority    int
	key         string
	operationID string
	repeatable  bool
	deadline    time.Time
	// objective is the time after which an answer has lost most of its value for the caller, zero when the route has
	// no latency objective.
	objective time.Time
	body      *gwforward.Body
	retries   *gwretry.ServicePolicy

	attempts int
	// lastServer, lastHost and lastToken belong to the target of the last attempt.
	lastServer gw.ServerName
	lastHost   gw.HostName
	lastToken  gw.Revision
	exclude    []gw.ServerName
	search     slotSearch
	staleToken gw.Revision
	// unknownRefusal is the last refusal with an unknown outcome. Once an attempt may have run, no later refusal may
	// report the request as not-run.
	unknownRefusal *gw.Refusal
	// giveBack returns the request's token of the tenant's quota, nil when it has none.
	giveBack func()
	// cleanup holds functions that release the resources of attempts. They run after the answer was passed on.
	cleanup []func()
}

// readHead resolves route, tenant and service, and checks everything that does not need the body.
func (c *call) readHead(x *configIndex, now time.Time) *gw.Refusal {
	c.path = gwforward.ReceivedPath(c.in.URL, c.in.RequestURI)
	if refusal := c.checkForm(); refusal != nil {
		return refusal
	}
	var ok bool
	if c.route, ok = x.route(c.in.Host, c.path); !ok {
		return gw.Refuse(gw.ReasonNoRoute, "no route matches host and path")
	}
	head, refusal := c.handler.opts.Callers.Decode(c.in.Header)
	if refusal != nil {
		return refusal
	}
	c.id = head.ID
	if c.tenant, refusal = x.identify(c.route, head); refusal != nil {
		return refusal
	}
	c.header, c.priority, c.homes = c.in.Header, c.route.Priority, c.route.HomeRegions
	if c.keysRequired = x.keysRequired; c.keysRequired {
		if c.homes, ok = commonRegions(c.tenant.HomeRegions, c.route.HomeRegions); !ok {
			return c.wrongRegion()
		}
		c.priority = gw.CombinePriorities(c.tenant.Priority, c.route.Priority)
		c.header = gwforward.WithoutHeaders(c.in.Header, c.handler.opts.Callers.IdentityHeaders())
	}
	if c.service, ok = x.services[c.serviceName(x)]; !ok {
		return gw.Refuse(gw.ReasonNoRoute, "the service of the route does not exist")
	}
	if homes := c.tenant.HomeRegions; !x.keysRequired && len(homes) > 0 && !slices.Contains(homes, c.handler.opts.Region) {
		return c.wrongRegion()
	}
	if refusal := c.setDeadline(now, head); refusal != nil {
		return refusal
	}
	if c.operationID, ok = gwforward.OperationID(c.in.Header); !ok {
		return gw.Refuse(gw.ReasonBadRequest, "the request has several different idempotency keys")
	}
	if c.service.DividedByKey {
		var refusal *gw.Refusal
		if c.key, refusal = requestKey(c.route, c.in, c.path); refusal != nil {
			return refusal
		}
	}
	if c.in.ContentLength > c.bodyLimit() {
		return gw.Refuse(gw.ReasonBodyTooLarge, "the request body is larger than the service permits")
	}
	c.repeatable = c.route.Repeatable(c.in.Method)
	return nil
}

// commonRegions returns the regions that are in both lists, where an empty one stands for all regions. It reports false
// when there are none.
func commonRegions(a, b []gw.RegionName) ([]gw.RegionName, bool) {
	if len(a) == 0 || len(b) == 0 {
		return slices.Concat(a, b), true
	}
	common := slices.DeleteFunc(slices.Clone(a), func(r gw.RegionName) bool { return !slices.Contains(b, r) })
	return common, len(common) > 0
}

func (c *call) wrongRegion() *gw.Refusal {
	refusal := gw.Refuse(gw.ReasonWrongRegion, "requests of the tenant are served only in its home regions")
	refusal.HomeRegions = c.tenant.HomeRegions
	return refusal
}

// checkForm refuses requests that net/http accepts and the router does not support.
func (c *call) checkForm() *gw.Refusal {
	h := c.in.Header
	switch {
	case gwforward.IsUpgrade(h) || c.in.Method == http.MethodConnect:
		return gw.Refuse(gw.ReasonBadRequest, "upgrades and tunnels are not supported")
	case headerBytes(h) > c.handler.opts.HeaderBytes:
		return gw.Refuse(gw.ReasonBadRequest, "the request headers are too large")
	case !strings.HasPrefix(c.in.URL.Path, "/") || hasDotSegment(c.in.URL.Path):
		return gw.Refuse(gw.ReasonBadRequest, "the path does not start with a slash or has a dot segment")
	case !gwforward.CanSendPath(c.in.URL, c.path):
		return gw.Refuse(gw.ReasonBadRequest, "the path starts with two slashes and has characters that need encoding")
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

// serviceName returns the service of the route. For a route that is split among services it returns the one that suits
// the request best within the weights.
func (c *call) serviceName(x *configIndex) gw.ServiceName {
	return c.handler.splitter.Choose(c.route, func(name gw.ServiceName) gwsplit.Preference {
		service := x.services[name]
		if !service.DividedByKey {
			return gwsplit.AnyRegion
		}
		key, refusal := requestKey(c.route, c.in, c.path)
		if refusal != nil {
			return gwsplit.RemoteRegion
		}
		target, refusal := c.handler.opts.Router.Route(c.in.Context(), gw.RouteRequest{
			Service: name, Tenant: c.tenant.Name, HomeRegions: c.homes, Key: key, NoWait: true,
		})
		if refusal != nil || target.RemoteRegion {
			return gwsplit.RemoteRegion
		}
		return gwsplit.OwnRegion
	})
}

// LongestMilliseconds returns the longest duration of a request that service and route permit.
func LongestMilliseconds(route gw.Route, service gw.Service) int64 {
	n := service.Limits.DeadlineMilliseconds
	if n <= 0 {
		n = gwforward.DefaultDeadlineMilliseconds
	}
	if route.TimeoutMilliseconds > 0 {
		n = min(n, route.TimeoutMilliseconds)
	}
	return n
}

// setDeadline sets the deadline to the shortest of the limits of service and route and the timeout of the caller.
func (c *call) setDeadline(now time.Time, head gw.CallerHead) *gw.Refusal {
	n := LongestMilliseconds(c.route, c.service)
	if head.HasTimeout {
		n = min(n, head.TimeoutMilliseconds)
	}
	if n == 0 {
		return gw.Refuse(gw.ReasonDeadlineTooShort, "the request arrived with a timeout of 0 ms")
	}
	c.deadline = now.Add(time.Duration(n) * time.Millisecond)
	if objective := c.route.ObjectiveMilliseconds; objective > 0 {
		spent := c.handler.callerTimeouts.elapsed(c.route.Name, head.TimeoutMilliseconds)
		c.objective = now.Add(time.Duration(objective-spent-roundTripMilliseconds) * time.Millisecond)
	}
	return nil
}

// roundTripMilliseconds is the network time between the caller and this host, 8 ms each way. It is subtracted from the
// objective.
const roundTripMilliseconds = 16

// readBody reads a small body into memory and prepares larger ones for streaming.
func (c *call) readBody() *gw.Refusal {
	if c.in.ContentLength == 0 {
		return nil
	}
	// Writers without deadline support occur in tests only and have no slow caller.
	_ = c.rc.SetReadDeadline(c.deadline)
	defer context.AfterFunc(c.handler.ending, func() { _ = c.rc.SetReadDeadline(time.Now()) })()
	var err error
	mode := gwforward.HalfDuplex
	if c.route.Kind == gw.RouteByMethod {
		mode = gwforward.FullDuplex
	}
	c.body, err = gwforward.Receive(c.in, c.bodyLimit(), mode)
	switch {
	case err == nil:
	case errors.Is(err, gwforward.ErrBodyTooLarge):
		return gw.Refuse(gw.ReasonBodyTooLarge, "the request body is larger than the service permits")
	case c.handler.ending.Err() != nil:
		return gw.Refuse(gw.ReasonStopping, "this host is stopping and the request body has not arrived")
	case !time.Now().Before(c.deadline):
		return gw.Refuse(gw.ReasonDeadlineTooShort, "the request body did not arrive before the deadline")
	default:
		return gw.Refuse(gw.ReasonBadRequest, "the request body ended early or could not be read")
	}
	if !c.body.Concurrent() {
		// HTTP/2 connections are always full duplex and return an error here.
		_ = c.rc.EnableFullDuplex()
	}
	return nil
}

// bodyLimit returns the largest permitted request body in bytes.
func (c *call) bodyLimit() int64 {
	return gwforward.BodyLimit(c.service.Limits)
}

// finalRefusal returns the refusal for the caller. Its outcome is not-run only when no attempt can have run.
func (c *call) finalRefusal(refusal *gw.Refusal) *gw.Refusal {
	if refusal.Reason.Outcome() == gw.OutcomeNotRun && c.unknownRefusal != nil {
		return c.unknownRefusal
	}
	return refusal
}

// finish releases the resources of the attempts and ends the reading of the body.
func (c *call) finish() {
	for _, f := range c.cleanup {
		f()
	}
	c.body.Finish(c.rc)
}

// cancelled reports whether ctx was cancelled, for example because the caller closed its connection.
func cancelled(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled)
}
