package gwentry

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwstage"
)

// sampleOneIn is the sampling rate of the log: one in 64 successful requests is logged. The choice depends only on the
// request id, so that all hosts log the same requests.
const sampleOneIn = 64

// Sampled reports whether the end of a successful request with this id is logged.
func Sampled(id string) bool {
	return id != "" && xxhash.Sum64String(id)%sampleOneIn == 0
}

// observe records the duration of a stage by route, kind of route and outcome.
func (c *call) observe(start time.Time, stage gwstage.Stage, refusal *gw.Refusal) {
	outcome := gw.OutcomeAnswered
	if refusal != nil {
		outcome = refusal.Reason.Outcome()
	}
	c.handler.times.Since(start, stage, string(c.route.Name), string(c.route.Kind), string(outcome))
}

// logEnd logs how a request ended, with the data that explains its outcome. It logs neither the path nor the key, since
// those of some tenants must not leave their home regions.
func (c *call) logEnd(refusal *gw.Refusal, status int) {
	c.observe(c.started, gwstage.StageRequest, refusal)
	if refusal == nil && status < http.StatusInternalServerError && !Sampled(c.id) {
		return
	}
	now := time.Now()
	attrs := []slog.Attr{
		slog.String("request-id", c.id),
		slog.String("route", string(c.route.Name)),
		slog.String("service", string(c.service.Name)),
		slog.Uint64("config-version", uint64(c.version)),
		slog.Int64("elapsed-milliseconds", now.Sub(c.started).Milliseconds()),
		slog.Int64("left-milliseconds", c.deadline.Sub(now).Milliseconds()),
		slog.Int("attempts", c.attempts),
		slog.Int("busy-servers", len(c.search.busy)),
		slog.String("last-server", string(c.lastServer)),
		slog.String("last-host", string(c.lastHost)),
	}
	if !c.objective.IsZero() {
		attrs = append(attrs, slog.Int64("objective-left-milliseconds", c.objective.Sub(now).Milliseconds()))
	}
	if c.lastToken > 0 {
		attrs = append(attrs, slog.Uint64("token", uint64(c.lastToken)))
	}
	if refusal == nil {
		attrs = append(attrs, slog.String("outcome", string(gw.OutcomeAnswered)), slog.Int("status", status))
	} else {
		attrs = append(attrs,
			slog.String("outcome", string(refusal.Reason.Outcome())), slog.String("reason", string(refusal.Reason)),
			slog.String("detail", refusal.Detail), slog.Int64("retry-after-milliseconds", refusal.RetryAfterMilliseconds))
	}
	c.handler.opts.Logger.LogAttrs(context.Background(), slog.LevelInfo, "request ended", attrs...)
}

// logCut logs an answer that was not written completely, so that the caller's connection was closed.
func (c *call) logCut(status int, err error) {
	now := time.Now()
	c.handler.opts.Logger.LogAttrs(context.Background(), slog.LevelWarn, "answer was cut off",
		slog.String("request-id", c.id),
		slog.String("route", string(c.route.Name)),
		slog.String("service", string(c.service.Name)),
		slog.Int("status", status),
		slog.Int64("elapsed-milliseconds", now.Sub(c.started).Milliseconds()),
		slog.Int64("left-milliseconds", c.deadline.Sub(now).Milliseconds()),
		slog.Bool("caller-left", c.in.Context().Err() != nil),
		slog.Any("error", err))
}
