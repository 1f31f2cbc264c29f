// Package gwrelay implements the relay of a host: it receives requests from other entry hosts and sends them to the
// servers for which this host is the dispatcher.
package gwrelay

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
	"github.com/geraniumworks/geraniumworks/internal/request/gwstage"
)

// Relay sends requests to the servers whose dispatcher is this host.
type Relay struct {
	opts    Options
	gate    gwforward.Gate
	results *prometheus.CounterVec
	times   *gwstage.Times
	bodies  bodies
}

// New returns a Relay.
func New(opts ...Option) *Relay {
	o := Options{
		Barred:  func(gw.ServerName) bool { return false },
		Leaving: func(gw.ServerName, gw.Incarnation) {}, Logger: slog.New(slog.DiscardHandler),
		Reach: noReach{}, Callers: gwforward.NativeCallers{},
	}
	for _, opt := range opts {
		opt(&o)
	}
	if o.Forwarder == nil {
		o.Forwarder = gwforward.New()
	}
	return &Relay{
		opts: o,
		results: promauto.With(o.Registerer).NewCounterVec(prometheus.CounterOpts{
			Namespace: "geraniumworks", Subsystem: "relay", Name: "attempts_total",
			Help: "Attempts at servers, by outcome and by reason when there was no answer.",
		}, []string{"outcome", "reason"}),
		times:  gwstage.New(o.Registerer, "relay", "service"),
		bodies: bodies{limit: o.BodyBytes},
	}
}

// Deliver waits for a slot of the request's server and sends the request once. The slot is released when the complete
// answer has arrived or the answer is closed.
func (r *Relay) Deliver(ctx context.Context, req *gwforward.Request) (*gwforward.Answer, *gw.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	arrived := time.Now()
	if r.opts.Reach.CutOff() {
		cancel()
		refusal := gw.Refuse(gw.ReasonNoServer, "this host reaches no server at the moment")
		r.countRefusal(refusal.Reason)
		r.logEnd(req, time.Time{}, gw.DispatchServer{}, refusal)
		return nil, refusal
	}
	slot, refusal := r.opts.Dispatcher.Acquire(ctx, slotRequest(req))
	r.times.Since(arrived, gwstage.StageQueue, string(req.Target.Service))
	if refusal != nil {
		cancel()
		r.countRefusal(refusal.Reason)
		r.logEnd(req, time.Time{}, gw.DispatchServer{}, refusal)
		return nil, refusal
	}
	sent := time.Now()
	server := slot.Server()
	toServer := *req
	toServer.Address, toServer.Relay = server.Address, false
	toServer.Connections = server.Connections
	if server.Connections <= 0 {
		toServer.Connections = server.Slots
	}
	if !time.Now().Before(slot.SendBefore()) || r.opts.Barred(server.Name) {
		cancel()
		slot.Done(gw.AttemptResult{Outcome: gw.OutcomeNotRun, End: time.Now()})
		r.countRefusal(gw.ReasonNoServer)
		return nil, gw.Refuse(gw.ReasonNoServer, "this host may no longer send requests to the server")
	}
	answer, failed := r.opts.Forwarder.Send(ctx, &toServer)
	r.times.Since(sent, gwstage.StageServer, string(req.Target.Service))
	if failed != nil {
		r.noteFailure(ctx, server, failed)
		cancel()
		if failed.Leaving {
			r.opts.Leaving(server.Name, server.Incarnation)
		}
		slot.Done(failureResult(failed))
		r.countRefusal(failed.Reason)
		r.logEnd(req, sent, server, failed.Refusal)
		return nil, failed.Refusal
	}
	r.noteAnswer(server, sent, answer)
	answer.OnEnd(func(a *gwforward.Answer, complete bool) {
		cancel()
		r.reportEnd(slot, a, complete)
	})
	return answer, nil
}

// noteAnswer notes what the answer to a request that was sent at sent says about its server.
func (r *Relay) noteAnswer(server gw.DispatchServer, sent time.Time, answer *gwforward.Answer) {
	answer.Served = answer.FirstByte.Sub(sent)
	r.opts.Reach.Answered(server.Address)
	if answer.Leaving {
		if answer.Incarnation == "" {
			// The entry host learns from it which run of the server leaves.
			answer.Incarnation = server.Incarnation
		}
		r.opts.Leaving(server.Name, answer.Incarnation)
	}
}

// noteFailure notes what an attempt without an answer that can be passed on says about the path to servers.
func (r *Relay) noteFailure(ctx context.Context, server gw.DispatchServer, failed *gwforward.Failure) {
	switch {
	case failed.Status != 0:
		r.opts.Reach.Answered(server.Address)
	case ctx.Err() != nil:
		// The caller has left or waits no longer.
	case failed.Reason == gw.ReasonNoServer || failed.Reason == gw.ReasonNoProgress ||
		failed.Reason == gw.ReasonConnectionLost:
		r.opts.Reach.Failed(server.Name, server.Address)
	}
}

func slotRequest(req *gwforward.Request) gw.SlotRequest {
	return gw.SlotRequest{
		Service: req.Target.Service, Server: req.Target.Server, Tenant: req.Tenant,
		HasKey: req.Target.HasKey, Position: req.Target.Position, Token: req.Target.Token,
		Deadline: req.Deadline, Objective: req.Objective, Priority: req.Priority, NoWait: req.NoWait,
		Class: req.Class,
	}
}

// failureResult returns the result of an attempt without an answer for the dispatcher. Its End is set only when the
// request has not run. Otherwise the server may still be running the request, and its slot must not be reused yet.
func failureResult(failed *gwforward.Failure) gw.AttemptResult {
	result := gw.AttemptResult{
		Outcome: failed.Reason.Outcome(), Status: failed.Status, Incarnation: failed.Incarnation,
		Overloaded: failed.Reason == gw.ReasonOverloaded || failed.Reason == gw.ReasonShed,
		Leaving:    failed.Leaving, PausedUntil: failed.PausedUntil, LimitPerSecond: failed.LimitPerSecond,
		Load: failed.Load,
	}
	if result.Outcome == gw.OutcomeNotRun {
		result.End = time.Now()
	}
	return result
}

// reportEnd reports the end of an answer to the dispatcher.
func (r *Relay) reportEnd(slot gw.Slot, a *gwforward.Answer, complete bool) {
	result := gw.AttemptResult{
		Outcome: gw.OutcomeAnswered, Status: a.Status, Incarnation: a.Incarnation, FirstByte: a.FirstByte,
		Leaving: a.Leaving, PausedUntil: a.PausedUntil, LimitPerSecond: a.LimitPerSecond,
		Load: a.Load,
	}
	if complete {
		result.End = time.Now()
	} else {
		result.Outcome = gw.OutcomeUnknown
	}
	slot.Done(result)
	r.results.WithLabelValues(string(result.Outcome), "").Inc()
}

// logEnd logs an attempt that got no answer from the server, with the state of the dispatcher. Probes that found no
// free slot are not logged, since the entry host continues with another server.
func (r *Relay) logEnd(req *gwforward.Request, sent time.Time, server gw.DispatchServer, refusal *gw.Refusal) {
	if req.NoWait && refusal.Reason == gw.ReasonOverloaded {
		return
	}
	now := time.Now()
	attrs := []slog.Attr{
		slog.String("request-id", req.CallerID),
		slog.String("service", string(req.Target.Service)),
		slog.String("server", string(req.Target.Server)),
		slog.String("reason", string(refusal.Reason)),
		slog.String("outcome", string(refusal.Reason.Outcome())),
		slog.String("detail", refusal.Detail),
		slog.Uint64("token", uint64(req.Target.Token)),
		slog.Int64("left-milliseconds", req.Deadline.Sub(now).Milliseconds()),
		slog.Int64("retry-after-milliseconds", refusal.RetryAfterMilliseconds),
	}
	if sent.IsZero() {
		attrs = append(attrs, slog.Bool("sent", false))
	} else {
		attrs = append(attrs, slog.Bool("sent", true), slog.Int64("at-server-milliseconds", now.Sub(sent).Milliseconds()),
			slog.String("incarnation", string(server.Incarnation)), slog.Uint64("revision", uint64(server.Revision)))
	}
	r.opts.Logger.LogAttrs(context.Background(), slog.LevelInfo, "attempt ended", attrs...)
}

// logCut logs an answer of a server that was not passed on completely to the entry host.
func (r *Relay) logCut(in *http.Request, req *gwforward.Request, answer *gwforward.Answer, err error) {
	r.opts.Logger.LogAttrs(context.Background(), slog.LevelWarn, "answer was cut off",
		slog.String("request-id", req.CallerID),
		slog.String("service", string(req.Target.Service)),
		slog.String("server", string(req.Target.Server)),
		slog.Int("status", answer.Status),
		slog.Int64("left-milliseconds", time.Until(req.Deadline).Milliseconds()),
		slog.Bool("caller-left", in.Context().Err() != nil),
		slog.Any("error", err))
}

func (r *Relay) countRefusal(reason gw.Reason) {
	r.results.WithLabelValues(string(reason.Outcome()), string(reason)).Inc()
}

// Stop makes the relay refuse new requests from other hosts. Requests of this host's own entry point are still
// accepted.
func (r *Relay) Stop() {
	r.gate.Stop()
}

// Wait waits until no request of another host is running. It returns the error of ctx when ctx ends first.
func (r *Relay) Wait(ctx context.Context) error {
	return r.gate.Wait(ctx)
}

// ServeHTTP handles one request of an entry host.
func (r *Relay) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	rc := http.NewResponseController(w)
	// Clears the write deadline that an earlier request on the connection has set. Writers without deadline support occur
	// in tests only and have no slow reader.
	_ = rc.SetWriteDeadline(time.Time{})
	if id, ok := gwforward.SingleValue(in.Header, gw.HeaderRequestID); ok && id != "" {
		w.Header()[gw.HeaderRequestID] = []string{id}
	}
	if !r.gate.Enter() {
		refuse(w, rc, in.ContentLength != 0, gw.Refuse(gw.ReasonStopping, "this host is stopping"))
		return
	}
	defer r.gate.Leave()
	req, refusal := r.parse(in, time.Now())
	if refusal == nil {
		refusal = r.check(req)
	}
	if refusal == nil && gwforward.AsksConsent(in) {
		// The entry host waits for consent before it sends the body. It is not asked for the body of a request that would
		// be refused.
		refusal = r.opts.Dispatcher.Preview(slotRequest(req))
	}
	release := func() {}
	if refusal == nil {
		release, refusal = r.bodies.reserve(in)
	}
	defer release()
	if refusal == nil {
		refusal = receive(rc, req, in)
	}
	if refusal != nil {
		r.countRefusal(refusal.Reason)
		r.report(w.Header(), req, 0)
		refuse(w, rc, in.ContentLength != 0, refusal)
		return
	}
	if !req.Body.Concurrent() {
		// Without full duplex net/http reads the rest of the body before it sends the head of an answer. Connections that
		// return an error here are always full duplex.
		_ = rc.EnableFullDuplex()
	}
	defer req.Body.Finish(rc)
	answer, refusal := r.Deliver(in.Context(), req)
	if answer != nil {
		refusal = answer.CloseExpired(time.Now())
	}
	if refusal != nil {
		r.report(w.Header(), req, 0)
		refuse(w, rc, !req.Body.Complete(), refusal)
		return
	}
	r.report(w.Header(), req, answer.Served)
	if err := answer.Write(w, gwforward.NativeCallers{}); err != nil {
		r.logCut(in, req, answer, err)
		panic(http.ErrAbortHandler)
	}
}

// refuse writes a refusal. When the body is not fully read, the connection is closed, so that the refusal is sent
// without waiting for the rest.
func refuse(w http.ResponseWriter, rc *http.ResponseController, unread bool, refusal *gw.Refusal) {
	if unread || refusal.Reason == gw.ReasonStopping {
		w.Header()["Connection"] = []string{"close"}
	}
	if unread {
		gwforward.Linger(rc)
	}
	_ = rc.SetWriteDeadline(time.Now().Add(gwforward.WriteTimeout))
	gwforward.WriteRefusal(w, gwforward.NativeCallers{}, refusal)
}

// check repeats the check of the home regions of the tenant and of the route at the host that would send the request to
// the server, and adds the limits of the service to the request.
func (r *Relay) check(req *gwforward.Request) *gw.Refusal {
	cfg := r.opts.Config()
	service, ok := cfg.Service(req.Target.Service)
	if !ok {
		return gw.Refuse(gw.ReasonNotReady, "the service is not in the configuration of this host yet")
	}
	tenant, ok := cfg.Tenant(req.Tenant)
	if !ok {
		return gw.Refuse(gw.ReasonNotReady, "the tenant is not in the configuration of this host yet")
	}
	if len(tenant.HomeRegions) > 0 && !slices.Contains(tenant.HomeRegions, r.opts.Region) {
		refusal := gw.Refuse(gw.ReasonWrongRegion, "this host is not in a home region of the tenant")
		refusal.HomeRegions = tenant.HomeRegions
		return refusal
	}
	if len(req.Regions) > 0 && !slices.Contains(req.Regions, r.opts.Region) {
		refusal := gw.Refuse(gw.ReasonWrongRegion, "this host is not in a region in which the request may be served")
		refusal.HomeRegions = req.Regions
		return refusal
	}
	if cfg.KeysRequired {
		// An entry host with an earlier configuration passes credentials on.
		req.Header = gwforward.WithoutHeaders(req.Header, r.opts.Callers.IdentityHeaders())
	}
	req.Limits = service.Limits
	return nil
}

// receive reads a small body into memory and prepares larger ones for streaming.
func receive(rc *http.ResponseController, req *gwforward.Request, in *http.Request) *gw.Refusal {
	if in.ContentLength == 0 {
		return nil
	}
	// Writers without deadline support occur in tests only and have no slow sender.
	_ = rc.SetReadDeadline(req.Deadline)
	var err error
	req.Body, err = gwforward.Receive(in, gwforward.BodyLimit(req.Limits), gwforward.FullDuplex)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, gwforward.ErrBodyTooLarge):
		return gw.Refuse(gw.ReasonBodyTooLarge, "the request body is larger than the service permits")
	default:
		return gw.Refuse(gw.ReasonBadRequest, "the request body ended early or could not be read")
	}
}
