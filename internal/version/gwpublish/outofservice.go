package gwpublish

import (
	"context"
	"fmt"
	"regexp"
	"slices"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
)

var thingPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// Out takes a data centre, host or server out of service. Without force it refuses what would leave a service or
// tenant without a data centre in service. Whether a host or server exists is not known here, because the host list
// lags; a data centre must be configured.
func (p *Publisher) Out(ctx context.Context, out gw.OutOfService, force bool) (Result, error) {
	out.By, out.Reason = p.by, clip(out.Reason)
	entry := Entry{Action: ActionOut, Reason: out.Reason, Forced: force}
	return p.commit(ctx, entry, func(state State, next *plan) error {
		if state.stored == 0 {
			return eris.Wrap(gw.ErrNotFound, "no configuration was published yet")
		}
		if !thingPattern.MatchString(out.Name) {
			return eris.Wrapf(ErrNotListed, "%s %q is not a valid name", out.Kind, out.Name)
		}
		if _, ok := state.Config.RegionOf(gw.DataCentreName(out.Name)); out.Kind == gw.OutDataCentre && !ok {
			return eris.Wrapf(ErrNotListed, "data centre %q", out.Name)
		}
		if slices.Contains(state.Manifest.OutOfService, out) {
			return nil
		}
		next.entry.Target = &out
		cfg := state.Config.WithOut(out)
		if err := guard(state.Config, cfg, force); err != nil {
			return err
		}
		next.manifest.OutOfService = cfg.OutOfService
		return nil
	})
}

// In puts back into service what Out took out.
func (p *Publisher) In(ctx context.Context, kind gw.OutKind, name, reason string) (Result, error) {
	entry := Entry{Action: ActionIn, Reason: clip(reason)}
	return p.commit(ctx, entry, func(state State, next *plan) error {
		if !state.Config.IsOut(kind, name) {
			return eris.Wrap(ErrNotListed, fmt.Sprintf("%s %q is not out of service", kind, name))
		}
		next.manifest.OutOfService = state.Config.WithIn(kind, name).OutOfService
		next.entry.Target = &gw.OutOfService{Kind: kind, Name: name}
		return nil
	})
}
