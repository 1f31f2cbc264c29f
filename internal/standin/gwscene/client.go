package gwscene

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
)

// ErrStatus reports an operators' listener that did not answer with 200.
var ErrStatus = errors.New("unexpected status")

const (
	// pollInterval is the time between looks at a state that a test waits for.
	pollInterval = 25 * time.Millisecond
	// requestTimeout bounds a request of a caller or operator.
	requestTimeout = 5 * time.Second
)

// Answer is what a caller gets.
type Answer struct {
	Status  int
	Server  gw.ServerName
	Outcome gw.Outcome
	Reason  gw.Reason
	Body    string
}

// Request sends a request of a tenant through an entry host. It returns an error when there is no whole answer.
func (s *Scene) Request(ctx context.Context, host gw.HostName, method, path, tenant, body string) (Answer, error) {
	entry, ok := s.Host(host)
	if !ok {
		return Answer{}, eris.Wrapf(ErrNoProcess, "request through %s", host)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entry.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		return Answer{}, eris.Wrap(err, "make a request")
	}
	req.Header.Set(gw.HeaderTenant, tenant)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Answer{}, eris.Wrapf(err, "%s %s", method, path)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return Answer{
		Status:  resp.StatusCode,
		Server:  gw.ServerName(resp.Header.Get(gw.HeaderServer)),
		Outcome: gw.Outcome(resp.Header.Get(gw.HeaderOutcome)),
		Reason:  gw.Reason(resp.Header.Get(gw.HeaderReason)),
		Body:    strings.TrimSpace(string(data)),
	}, eris.Wrapf(err, "%s %s", method, path)
}

// Owner returns the owner of a tenant's key as a host knows it.
func (s *Scene) Owner(
	ctx context.Context, host gw.HostName, service gw.ServiceName, tenant, key string,
) (gw.ServerName, error) {
	query := url.Values{"service": {string(service)}, "tenant": {tenant}, "key": {key}}
	var found struct {
		Owner gw.ServerName `json:"owner"`
	}
	err := s.Ask(ctx, host, "/v1/owner?"+query.Encode(), &found)
	return found.Owner, err
}

// Ask reads JSON from the operators' listener of a host, unless into is nil.
func (s *Scene) Ask(ctx context.Context, host gw.HostName, path string, into any) error {
	entry, ok := s.Host(host)
	if !ok {
		return eris.Wrapf(ErrNoProcess, "ask %s", host)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.OperatorsAddress(entry)+path, nil)
	if err != nil {
		return eris.Wrap(err, "make a request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrapf(err, "ask %s", host)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return eris.Wrapf(ErrStatus, "%s of %s: %s", path, host, resp.Status)
	}
	if into == nil {
		return nil
	}
	return eris.Wrapf(json.NewDecoder(resp.Body).Decode(into), "decode %s of %s", path, host)
}

// Until waits until done reports true, or returns the error of ctx.
func Until(ctx context.Context, done func(context.Context) bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !done(ctx) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Live reports whether the operators' listener of every host answers.
func (s *Scene) Live(ctx context.Context) bool {
	for _, host := range s.Listing().Hosts {
		if err := s.Ask(ctx, host.Name, "/livez", nil); err != nil {
			return false
		}
	}
	return true
}

// Owned reports whether every host knows an owner for every range of the services divided by key, and a dispatcher
// for every server.
func (s *Scene) Owned(ctx context.Context) bool {
	for _, host := range s.Listing().Hosts {
		var state struct {
			Assignments []gw.Assignment `json:"assignments"`
			Directories []gw.Directory  `json:"directories"`
		}
		for _, path := range []string{"/v1/assignments", "/v1/directories"} {
			if err := s.Ask(ctx, host.Name, path, &state); err != nil {
				return false
			}
		}
		if !s.allOwned(state.Assignments) || !s.allDispatched(state.Directories) {
			return false
		}
	}
	return true
}

func (s *Scene) allOwned(assignments []gw.Assignment) bool {
	found := map[gw.KeySpace]bool{}
	for _, a := range assignments {
		found[a.KeySpace] = true
		for _, owned := range a.Ranges {
			found[a.KeySpace] = found[a.KeySpace] && owned.Owner != ""
		}
	}
	for _, service := range s.plan.Services {
		for _, region := range s.plan.Regions {
			if service.DividedByKey && !found[gw.KeySpace{Service: service.Name, Region: region.Name}] {
				return false
			}
		}
	}
	return true
}

func (s *Scene) allDispatched(directories []gw.Directory) bool {
	servers := 0
	for _, d := range directories {
		for _, server := range d.Servers {
			if server.RelayAddress != "" {
				servers++
			}
		}
	}
	return servers == len(s.Listing().Servers)
}
