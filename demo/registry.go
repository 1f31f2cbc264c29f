package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/standin/gwscene"
)

const (
	// readyTimeout bounds the time until all hosts are ready and all keys are owned.
	readyTimeout = 30 * time.Second
	// failoverTimeout bounds the time until a key is served again after its server was killed; the target is 5 s.
	failoverTimeout = 5 * time.Second
)

var errRequest = errors.New("unexpected answer")

// registry is one deployment of the demonstration.
type registry struct {
	title    string
	samples  string
	plan     gwscene.Plan
	tenant   string
	away     string
	keyed    string
	service  gw.ServiceName
	write    string
	scene    *gwscene.Scene
	programs string
}

func registries() []*registry {
	hostFlags := []string{"--log-level", "info"}
	return []*registry{
		{
			title:   "Coöperatie Scheepsnamenregister Noord-Holland",
			samples: "samples/ship-names",
			tenant:  "harbour-offices", away: "skutsje-owners", service: "lookups",
			keyed: "/names/", write: "/claims/de-geranium",
			plan: gwscene.Plan{
				Regions: []gw.Region{
					{Name: "holland", DataCentres: []gw.DataCentreName{"holland-a", "holland-b"}},
					{Name: "friesland", DataCentres: []gw.DataCentreName{"friesland-a", "friesland-b"}},
				},
				Hosts: 2, HostFlags: hostFlags,
				Services: []gwscene.Service{
					{Name: "lookups", DividedByKey: true, Servers: 2, Slots: 4, Connections: 130},
					{Name: "claims", Servers: 1, Slots: 4, Connections: 130},
					{Name: "documents", Servers: 1, Slots: 4, Connections: 130},
				},
			},
		},
		{
			title:   "Kazakh State Agency for Horn Craft Registration",
			samples: "samples/horn-craft",
			tenant:  "inspectors", away: "museum-astana", service: "lookups",
			keyed: "/marks/", write: "/stamps/transfer-17",
			plan: gwscene.Plan{
				Regions: []gw.Region{
					{Name: "almaty-south", DataCentres: []gw.DataCentreName{"almaty-south-a", "almaty-south-b"}},
					{Name: "astana-north", DataCentres: []gw.DataCentreName{"astana-north-a", "astana-north-b"}},
				},
				Hosts: 2, HostFlags: hostFlags,
				Services: []gwscene.Service{
					{Name: "lookups", DividedByKey: true, Servers: 2, Slots: 2, Connections: 45},
					{Name: "stamps", Servers: 1, Slots: 2, Connections: 45},
					{Name: "photograph-intake", Servers: 1, Slots: 2, Connections: 45},
				},
			},
		},
	}
}

// show runs the registry and stops all that it started.
func (r *registry) show(ctx context.Context, programs string, opts options) error {
	fmt.Printf("\n== %s\n", r.title)
	r.programs = programs
	dir, err := os.MkdirTemp(programs, "scene-")
	if err != nil {
		return err
	}
	log := io.Discard
	if opts.Logs {
		log = os.Stderr
	}
	r.scene = gwscene.New(r.plan, dir, func(name string) string { return program(programs, name) }, log)
	defer r.scene.Stop()
	if err := r.scene.Start(ctx); err != nil {
		return err
	}
	listing := r.scene.Listing()
	fmt.Printf("started %d entry hosts, %d backend servers, the store and the host list\n",
		len(listing.Hosts), len(listing.Servers))
	for _, step := range []func(context.Context) error{
		r.publish, r.showKeys, r.showWrite, r.showRefusals, r.showFailover,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if opts.Stay {
		r.stay(ctx)
	}
	return nil
}

func (r *registry) publish(ctx context.Context) error {
	if err := until(ctx, "all hosts answer", r.scene.Live); err != nil {
		return err
	}
	cmd := exec.CommandContext(ctx, program(r.programs, "geraniumctl"), //nolint:gosec // own program
		"--store", r.scene.StoreAddress(), "--admin", "http://"+r.operators(), "--as", "demo",
		"publish", "--root", r.samples, "--reason", "demonstration", r.samples)
	out, err := cmd.CombinedOutput()
	fmt.Print(indent(string(out)))
	if err != nil {
		return eris.Wrap(err, "publish")
	}
	return until(ctx, "every key is owned", r.scene.Owned)
}

// showKeys writes keys through one host and reads them through another.
func (r *registry) showKeys(ctx context.Context) error {
	for _, key := range []string{"zeemeeuw", "albatros", "kievit"} {
		put, err := r.request(ctx, r.first(), http.MethodPut, r.keyed+key, r.tenant, "owner of "+key)
		if err != nil {
			return err
		}
		got, err := r.request(ctx, r.last(), http.MethodGet, r.keyed+key, r.tenant, "")
		if err != nil {
			return err
		}
		owner, err := r.owner(ctx, key)
		if err != nil {
			return err
		}
		if put.Server != owner || got.Server != owner {
			return eris.Wrapf(errRequest, "key %s is owned by %s but was written at %+v and read at %+v",
				key, owner, put, got)
		}
		fmt.Printf("key %-9s owned by %s: PUT %d, GET %d %s\n", key, owner, put.Status, got.Status, got.Body)
	}
	return nil
}

func (r *registry) showWrite(ctx context.Context) error {
	a, err := r.request(ctx, r.last(), http.MethodPost, r.write, r.tenant, "one")
	if err != nil {
		return err
	}
	if a.Status != http.StatusOK {
		return eris.Wrapf(errRequest, "POST %s: %+v", r.write, a)
	}
	fmt.Printf("POST %s: %d from %s, %s\n", r.write, a.Status, a.Server, a.Outcome)
	return nil
}

func (r *registry) showRefusals(ctx context.Context) error {
	cases := []struct{ path, tenant string }{
		{"/nowhere", r.tenant},
		{r.keyed + "zeemeeuw", "nobody"},
	}
	if r.away != "" {
		cases = append(cases, struct{ path, tenant string }{r.keyed + "zeemeeuw", r.away})
	}
	for _, c := range cases {
		a, err := r.request(ctx, r.first(), http.MethodGet, c.path, c.tenant, "")
		if err != nil {
			return err
		}
		if a.Outcome != gw.OutcomeNotRun {
			return eris.Wrapf(errRequest, "GET %s as %s: %d %s", c.path, c.tenant, a.Status, a.Outcome)
		}
		fmt.Printf("GET %s as %s: %d %s, %s\n", c.path, c.tenant, a.Status, a.Outcome, a.Reason)
	}
	return nil
}

// showFailover kills the owner of a key and waits until another server serves the key.
func (r *registry) showFailover(ctx context.Context) error {
	const key = "zeemeeuw"
	owner, err := r.owner(ctx, key)
	if err != nil {
		return err
	}
	if err := r.scene.Signal(string(owner), syscall.SIGKILL); err != nil {
		return err
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, failoverTimeout)
	defer cancel()
	var a gwscene.Answer
	err = gwscene.Until(ctx, func(ctx context.Context) bool {
		a, err = r.request(ctx, r.first(), http.MethodGet, r.keyed+key, r.tenant, "")
		return err == nil && a.Status == http.StatusOK && a.Server != owner
	})
	if err != nil {
		return eris.Wrapf(err, "key %s is not served within %v of the loss of its server", key, failoverTimeout)
	}
	fmt.Printf("killed %s: key %s served by %s after %d ms\n", owner, key, a.Server, time.Since(start).Milliseconds())
	return nil
}

func (r *registry) stay(ctx context.Context) {
	host := r.scene.Listing().Hosts[0]
	fmt.Println("\nStays up until interrupted. Try:")
	fmt.Printf("  curl -i -H 'Gw-Tenant: %s' http://%s%szeemeeuw\n", r.tenant, host.CallerAddress, r.keyed)
	fmt.Printf("  curl http://%s/v1/directories\n", r.operators())
	<-ctx.Done()
}

func (r *registry) operators() string {
	return r.scene.OperatorsAddress(r.scene.Listing().Hosts[0])
}

func (r *registry) first() gw.HostName {
	return r.scene.Listing().Hosts[0].Name
}

func (r *registry) last() gw.HostName {
	hosts := r.scene.Listing().Hosts
	return hosts[len(hosts)-1].Name
}

func (r *registry) owner(ctx context.Context, key string) (gw.ServerName, error) {
	return r.scene.Owner(ctx, r.first(), r.service, r.tenant, key)
}

func (r *registry) request(
	ctx context.Context, host gw.HostName, method, path, tenant, body string,
) (gwscene.Answer, error) {
	return r.scene.Request(ctx, host, method, path, tenant, body)
}

func until(ctx context.Context, what string, done func(context.Context) bool) error {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := gwscene.Until(ctx, done); err != nil {
		return eris.Wrapf(err, "waiting until %s", what)
	}
	fmt.Printf("%s after %d ms\n", what, time.Since(start).Milliseconds())
	return nil
}

func indent(text string) string {
	return "  " + strings.ReplaceAll(strings.TrimSpace(text), "\n", "\n  ") + "\n"
}
