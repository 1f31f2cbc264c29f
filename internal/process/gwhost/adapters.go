package gwhost

import (
	"context"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwadmit"
	"github.com/geraniumworks/geraniumworks/internal/request/gwchoice"
	"github.com/geraniumworks/geraniumworks/internal/request/gwentry"
)

// admissionAdapter adapts the admitter, which identifies tenants by name, to the request path.
type admissionAdapter struct{ admitter *gwadmit.Admitter }

// Admit implements gwentry.Admission.
func (a admissionAdapter) Admit(
	ctx context.Context, tenant gw.Tenant, service gw.ServiceName,
) (release func(), refusal *gw.Refusal) {
	return a.admitter.Admit(ctx, tenant.Name, service)
}

// chooserAdapter adapts the server chooser to the router, and to the request path, which reports the results of
// attempts.
type chooserAdapter struct{ chooser *gwchoice.Chooser }

// Choose implements gwtable.Chooser.
func (c chooserAdapter) Choose(
	service gw.ServiceName, cells []gw.Directory, exclude []gw.ServerName,
) (server gw.DirectoryServer, remoteRegion bool, refusal *gw.Refusal) {
	chosen, refusal := c.chooser.Choose(service, cells, exclude)
	return chosen.Server, chosen.RemoteRegion, refusal
}

// ChooseByScore implements gwtable.ScoringChooser.
func (c chooserAdapter) ChooseByScore(
	cells []gw.Directory, req gw.RouteRequest,
) (server gw.DirectoryServer, remoteRegion bool, refusal *gw.Refusal) {
	chosen, refusal := c.chooser.ChooseByScore(req.Service, cells, gwchoice.Request{
		Exclude: req.Exclude, Among: req.Asked, BodyBytes: req.BodyBytes,
		LargeAnswer: req.LargeAnswer, Objective: req.Objective,
	})
	return chosen.Server, chosen.RemoteRegion, refusal
}

// report passes on what an attempt has shown about a server.
func (c chooserAdapter) report(target gw.Target, r gwentry.AttemptReport) {
	out := gwchoice.Report{
		Served: r.Served, Took: r.Took, Failed: r.Failed, AnswerBytes: r.AnswerBytes,
		RemoteRegion: target.RemoteRegion,
	}
	if r.Dispatcher != nil {
		out.Wait, out.HasWait = r.Dispatcher.Wait, true
	}
	c.chooser.Report(target.Service, target.Server, out)
}

// Begin implements gwentry.Observer.
func (c chooserAdapter) Begin(target gw.Target) func(status int, refusal *gw.Refusal) {
	if target.HasKey {
		// Requests with a key go to its owner, so the chooser does not track them.
		return func(int, *gw.Refusal) {}
	}
	attempt := c.chooser.Begin(target.Service, target.Server)
	return func(status int, refusal *gw.Refusal) {
		result := gwchoice.Result{Outcome: gw.OutcomeAnswered, Status: status}
		if refusal != nil {
			result.Outcome = refusal.Reason.Outcome()
			result.Reason = refusal.Reason
			result.Overloaded = refusal.Reason == gw.ReasonOverloaded || refusal.Reason == gw.ReasonShed
			if refusal.Reason == gw.ReasonShed && refusal.RetryAfterMilliseconds > 0 {
				result.PausedUntil = time.Now().Add(time.Duration(refusal.RetryAfterMilliseconds) * time.Millisecond)
			}
		}
		attempt.Done(result)
	}
}
