package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
)

// pollInterval is short against the 6 s within which a version is in force everywhere.
const pollInterval = 200 * time.Millisecond

// waitOptions control the wait until a version is in force.
type waitOptions struct {
	NoWait bool          `long:"no-wait" description:"do not wait until all hosts have the version in force"`
	Wait   time.Duration `long:"wait" default:"30s" description:"longest wait until all hosts have it in force"`
}

// wait reports progress until all hosts have the version in force.
func (o waitOptions) wait(a *app, version gw.ConfigVersion) error {
	switch {
	case o.NoWait:
		return nil
	case a.Admin == "":
		a.note("not waiting until it is in force, since no host is given; use --admin URL")
		return nil
	}
	client, err := a.admin()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.ctx), o.Wait)
	defer cancel()
	defer context.AfterFunc(a.ctx, func() {
		if errors.Is(a.ctx.Err(), context.Canceled) {
			cancel()
		}
	})()
	return waitInForce(ctx, client, version, pollInterval, a.note)
}

// waitInForce polls until every host has at least the version, and notes each change.
func waitInForce(
	ctx context.Context, versions Versions, version gw.ConfigVersion, interval time.Duration,
	note func(format string, args ...any),
) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	last := ""
	for {
		hosts, err := versions.InForce(ctx)
		progress, done := progressOf(hosts, version)
		if err != nil {
			progress, done = "hosts cannot be asked: "+err.Error(), false
		}
		if progress != last && ctx.Err() == nil {
			note("%s", progress)
			last = progress
		}
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(errNotInForce, "version %d is published; %s", version, last)
		case <-ticker.C:
		}
	}
}

func progressOf(hosts []HostVersion, version gw.ConfigVersion) (string, bool) {
	const maxNamed = 5
	var behind []string
	for _, h := range hosts {
		if h.Version < version {
			behind = append(behind, fmt.Sprintf("%s (%d)", h.Host, h.Version))
		}
	}
	text := fmt.Sprintf("version %d is in force on %d of %d hosts", version, len(hosts)-len(behind), len(hosts))
	if len(behind) > 0 {
		text += ", not on " + strings.Join(behind[:min(len(behind), maxNamed)], ", ")
	}
	if len(behind) > maxNamed {
		text += fmt.Sprintf(" and %d more", len(behind)-maxNamed)
	}
	return text, len(hosts) > 0 && len(behind) == 0
}
