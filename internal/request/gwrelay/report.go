package gwrelay

import (
	"net/http"
	"time"

	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
)

// report adds to an answer or refusal how long a further request for the server would wait for a slot, and how long
// this one was at the server. Entry hosts of services that are not cost-aware do not need it.
func (r *Relay) report(h http.Header, req *gwforward.Request, served time.Duration) {
	if req == nil || r.opts.Wait == nil {
		return
	}
	if service, ok := r.opts.Config().Service(req.Target.Service); !ok || !service.CostAware {
		return
	}
	if wait, ok := r.opts.Wait(req.Target.Service, req.Target.Server); ok {
		gwforward.EncodeReport(h, gwforward.DispatcherReport{Wait: wait, Served: served})
	}
}
