// Package gwentry is the entry point for callers. It checks and admits their requests, routes them, and makes the
// attempts at servers.
package gwentry

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwpipeline"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
	"github.com/geraniumworks/geraniumworks/internal/request/gwretry"
	"github.com/geraniumworks/geraniumworks/internal/request/gwsplit"
	"github.com/geraniumworks/geraniumworks/internal/request/gwstage"
)

// Handler serves the requests of callers.
type Handler struct {
	opts Options
	echo *echo.Echo
	gate gwforward.Gate
	// ending ends when the running requests must be answered at once.
	ending context.Context
	end    context.CancelFunc
	index  atomic.Pointer[configIndex]
	// callerTimeouts estimates how long requests have been under way before they arrived here.
	callerTimeouts callerTimeouts
	splitter       *gwsplit.Splitter
	results        *prometheus.CounterVec
	times          *gwstage.Times
}

// New returns a handler.
func New(opts ...Option) *Handler {
	o := Options{
		HeaderBytes: DefaultHeaderBytes, RelayConnections: DefaultRelayConnections, Callers: gwforward.NativeCallers{},
		Logger: slog.New(slog.DiscardHandler), Leaving: func(gw.ServerName, gw.Incarnation) {},
		Reports: func(gw.Target, AttemptReport) {},
	}
	for _, opt := range opts {
		opt(&o)
	}
	if o.Forwarder == nil {
		o.Forwarder = gwforward.New()
	}
	if o.Policy == nil {
		o.Policy = gwretry.New()
	}
	ending, end := context.WithCancel(context.Background())
	h := &Handler{
		opts:     o,
		ending:   ending,
		end:      end,
		echo:     echo.New(),
		splitter: gwsplit.New(),
		results: promauto.With(o.Registerer).NewCounterVec(prometheus.CounterOpts{
			Namespace: "geraniumworks", Subsystem: "entry", Name: "requests_total",
			Help: "Requests of callers, by outcome and by reason when refused.",
		}, []string{"outcome", "reason"}),
		times: gwstage.New(o.Registerer, "entry", "route", "kind", "outcome"),
	}
	// Routes come from the configuration, so that echo's router is bypassed. It would answer CONNECT and unusual
	// methods itself.
	h.echo.Pre(func(echo.HandlerFunc) echo.HandlerFunc { return h.Serve })
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.echo.ServeHTTP(w, r)
}

// Stop makes the handler refuse new requests.
func (h *Handler) Stop() {
	h.gate.Stop()
}

// End ends the running requests of which no answer has arrived: those that have not been sent are refused, the others
// get an answer that says that their outcome is unknown. It must be called after Stop.
func (h *Handler) End() {
	h.end()
}

// Wait waits until no request is running. It returns the error of ctx when ctx ends first.
func (h *Handler) Wait(ctx context.Context) error {
	return h.gate.Wait(ctx)
}

// Serve handles one request. When an answer is cut off after its head was passed on, Serve panics with
// http.ErrAbortHandler, which must reach the HTTP server.
func (h *Handler) Serve(ec echo.Context) error {
	// The writer of echo does not report errors of a flush.
	w, r := ec.Response().Writer, ec.Request()
	rc := http.NewResponseController(w)
	// Clears the write deadline that an earlier request on the connection has set. Writers without deadline support occur
	// in tests only and have no slow caller.
	_ = rc.SetWriteDeadline(time.Time{})
	ctx, turn := gwpipeline.Begin(r.Context())
	defer turn.End()
	r = r.WithContext(ctx)
	p, begun := turn.Pending.(*pendingCall)
	switch {
	case begun && ctx.Err() == nil && p.matches(r):
		h.deliver(w, rc, p)
		return nil
	case begun:
		p.Abandon()
	}
	if ctx.Err() != nil {
		// The caller has left, and nobody reads an answer.
		panic(http.ErrAbortHandler)
	}
	if !h.gate.Enter() {
		if !turn.HasFollowers() {
			w.Header().Set("Connection", "close")
		}
		h.refuse(w, rc, r.ContentLength != 0, gw.Refuse(gw.ReasonStopping, "this host is stopping"))
		return nil
	}
	defer h.gate.Leave()
	x := h.currentIndex()
	if x == nil {
		h.refuse(w, rc, r.ContentLength != 0, gw.Refuse(gw.ReasonNotReady, "this host has no configuration yet"))
		return nil
	}
	c := h.newCall(r, x)
	c.rc = rc
	if refusal := c.readHead(x, c.started); refusal != nil {
		c.logEnd(refusal, 0)
		h.refuse(w, rc, r.ContentLength != 0, refusal)
		return nil
	}
	leave, refusal := h.admit(ctx, c)
	if refusal != nil {
		c.logEnd(refusal, 0)
		h.refuse(w, rc, r.ContentLength != 0, refusal)
		return nil
	}
	defer leave()
	h.serve(w, c)
	return nil
}

func (h *Handler) newCall(r *http.Request, x *configIndex) *call {
	return &call{handler: h, in: r, started: time.Now(), version: gw.ConfigVersion(x.version.Sequence)}
}

// serve runs an admitted request.
func (h *Handler) serve(w http.ResponseWriter, c *call) {
	if refusal := c.readBody(); refusal != nil {
		c.giveBackUnsent(refusal)
		c.logEnd(refusal, 0)
		h.refuse(w, c.rc, true, refusal)
		return
	}
	defer c.finish()
	answer, refusal := h.attempt(c.in.Context(), c)
	h.write(w, c, answer, refusal)
}

// attempt makes the attempts of a call.
func (h *Handler) attempt(ctx context.Context, c *call) (*gwforward.Answer, *gw.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	c.cleanup = append(c.cleanup, cancel)
	// An answer whose head has arrived cannot be replaced any more.
	detach := context.AfterFunc(h.ending, cancel)
	defer detach()
	c.retries = h.opts.Policy.Service(c.service.Name)
	c.retries.AddRequest(c.service.Limits)
	answer, refusal := c.run(ctx)
	c.giveBackUnsent(refusal)
	return answer, refusal
}

// write passes the answer of a call on, or its refusal.
func (h *Handler) write(w http.ResponseWriter, c *call, answer *gwforward.Answer, refusal *gw.Refusal) {
	if answer != nil && !c.in.ProtoAtLeast(1, 1) && !answer.LengthKnown() {
		// In HTTP/1.0 such an answer ends when the connection closes, so that a cut could not be told from its end.
		answer.Close()
		refusal = gw.Refuse(gw.ReasonBadAnswer, "the answer has no declared length and cannot be sent over HTTP/1.0")
	}
	if answer != nil && refusal == nil {
		refusal = answer.CloseExpired(time.Now())
	}
	if refusal != nil {
		c.logEnd(refusal, 0)
		h.refuse(w, c.rc, !c.body.Complete(), refusal)
		return
	}
	c.logEnd(nil, answer.Status)
	if err := answer.Write(w, h.opts.Callers); err != nil {
		h.results.WithLabelValues(string(gw.OutcomeAnswered), "cut").Inc()
		c.logCut(answer.Status, err)
		panic(http.ErrAbortHandler)
	}
	h.results.WithLabelValues(string(gw.OutcomeAnswered), "").Inc()
}

func (h *Handler) admit(ctx context.Context, c *call) (func(), *gw.Refusal) {
	if refusal := c.takeToken(ctx); refusal != nil {
		return nil, refusal
	}
	if h.opts.Admission == nil {
		return func() {}, nil
	}
	leave, refusal := h.opts.Admission.Admit(ctx, c.tenant, c.service.Name)
	c.giveBackUnsent(refusal)
	return leave, refusal
}

// refuse writes a refusal. When the body is not fully read, the connection is closed, so that the refusal is sent
// without waiting for the rest.
func (h *Handler) refuse(w http.ResponseWriter, rc *http.ResponseController, unread bool, refusal *gw.Refusal) {
	if unread {
		w.Header().Set("Connection", "close")
		gwforward.Linger(rc)
	}
	h.results.WithLabelValues(string(refusal.Reason.Outcome()), string(refusal.Reason)).Inc()
	_ = rc.SetWriteDeadline(time.Now().Add(gwforward.WriteTimeout))
	gwforward.WriteRefusal(w, h.opts.Callers, refusal)
}

// currentIndex returns the index of the configuration in force, nil while there is none.
func (h *Handler) currentIndex() *configIndex {
	cfg := h.opts.Config()
	if cfg.Version == 0 {
		return nil
	}
	x := h.index.Load()
	if x == nil || x.version != cfg.ItemVersion() {
		x = newConfigIndex(cfg)
		h.index.Store(x)
	}
	return x
}
