package gwhost

import (
	"context"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/process/gwcontrol"
	"github.com/geraniumworks/geraniumworks/internal/process/gwquota"
	"github.com/geraniumworks/geraniumworks/internal/request/gwdispatch"
	"github.com/geraniumworks/geraniumworks/internal/version/gwfeed"
)

// peerHandler handles calls from other hosts.
type peerHandler struct {
	control    *gwcontrol.Loop
	dispatcher *gwdispatch.Dispatcher
	feed       *gwfeed.Feed
	quota      *gwquota.Loop
}

// Probe implements gwpeer.Handler.
func (p *peerHandler) Probe(ctx context.Context, req gw.ProbeRequest) (gw.ProbeReply, error) {
	return p.control.Probe(ctx, req)
}

// Handover implements gwpeer.Handler.
func (p *peerHandler) Handover(ctx context.Context, req gw.HandoverRequest) (gw.HandoverReply, error) {
	return p.control.Handover(ctx, req)
}

// RenewDispatch implements gwpeer.Handler.
func (p *peerHandler) RenewDispatch(_ context.Context, lease gw.DispatchLease) (gw.DispatchStatus, error) {
	return p.dispatcher.Renew(lease)
}

// ReleaseDispatch implements gwpeer.Handler.
func (p *peerHandler) ReleaseDispatch(ctx context.Context, release gw.DispatchRelease) (gw.DispatchStatus, error) {
	return p.dispatcher.Release(ctx, release)
}

// Pull implements gwpeer.Handler.
func (p *peerHandler) Pull(ctx context.Context, req gw.PullRequest) (gw.PullReply, error) {
	return p.feed.Serve(ctx, req), nil
}

// Offer implements gwpeer.Handler.
func (p *peerHandler) Offer(_ context.Context, req gw.OfferRequest) (gw.OfferReply, error) {
	return p.feed.Accept(req)
}

// ShareQuota implements gwpeer.Handler.
func (p *peerHandler) ShareQuota(ctx context.Context, req gw.QuotaRequest) (gw.QuotaReply, error) {
	return p.quota.ShareQuota(ctx, req)
}
