package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/process/gwtimer"
	"github.com/geraniumworks/geraniumworks/internal/standin/gwscene"
)

const (
	// sceneTimeout bounds a whole run, so that no process outlives a hung measurement.
	sceneTimeout = 5 * time.Minute
	// warmUp lets servers reach their warm level and the host list be read everywhere.
	warmUp = 8 * time.Second
)

type sceneCommand struct {
	Regions     int     `long:"regions" default:"1" description:"regions"`
	DataCentres int     `long:"data-centres" default:"2" description:"data centres in each region"`
	Hosts       int     `long:"hosts" default:"2" description:"entry hosts in each data centre"`
	Services    int     `long:"services" default:"1" description:"services divided by key"`
	Servers     int     `long:"servers" default:"2" description:"servers of each service in each data centre"`
	Slots       int     `long:"slots" default:"4" description:"slots of a server"`
	ServiceTime float64 `long:"service-milliseconds" default:"1" description:"run time of a request"`
	Tenants     int     `long:"tenants" default:"10" description:"tenants; each takes about 100 bytes of configuration"`

	Rest        int `long:"rest-seconds" default:"0" description:"measure an idle scene for this long"`
	Publish     int `long:"publish" default:"0" description:"number of configuration changes to time"`
	Load        int `long:"load-seconds" default:"0" description:"measure each kind of load for this long"`
	Workers     int `long:"workers" default:"4" description:"concurrent requests of a load"`
	Connections int `long:"connections" default:"0" description:"open this many idle connections of callers"`

	dir   string
	scene *gwscene.Scene
}

// Execute implements flags.Commander.
func (c *sceneCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, sceneTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "geraniumworks-capacity-")
	if err != nil {
		return eris.Wrap(err, "make a folder for the programs")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	c.dir = dir
	if err := c.build(ctx); err != nil {
		return err
	}
	c.scene = gwscene.New(c.plan(), dir, c.program, io.Discard)
	defer c.scene.Stop()
	if err := c.start(ctx); err != nil {
		return err
	}
	for _, step := range []struct {
		wanted bool
		run    func(context.Context) error
	}{
		{c.Rest > 0, c.rest},
		{c.Publish > 0, c.timePublish},
		{c.Load > 0, c.load},
		{c.Connections > 0, c.openConnections},
	} {
		if !step.wanted {
			continue
		}
		if err := step.run(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (c *sceneCommand) build(ctx context.Context) error {
	cmd := exec.CommandContext(ctx, "go", "build", "-o", c.dir, "./cmd/...") //nolint:gosec // own programs
	cmd.Stderr = os.Stderr
	return eris.Wrap(cmd.Run(), "build")
}

func (c *sceneCommand) program(name string) string {
	return filepath.Join(c.dir, name)
}

func (c *sceneCommand) plan() gwscene.Plan {
	plan := gwscene.Plan{Regions: regions(c.Regions, c.DataCentres), Hosts: c.Hosts}
	for s := range c.Services {
		plan.Services = append(plan.Services, gwscene.Service{
			Name: serviceName(s), DividedByKey: true, Servers: c.Servers, Slots: c.Slots, Connections: 130,
			Flags: []string{"--service-milliseconds", fmt.Sprint(c.ServiceTime)},
		})
	}
	return plan
}

func regions(count, dataCentres int) []gw.Region {
	var all []gw.Region
	for r := range count {
		region := gw.Region{Name: gw.RegionName(fmt.Sprintf("region-%d", r))}
		for d := range dataCentres {
			region.DataCentres = append(region.DataCentres, gw.DataCentreName(fmt.Sprintf("region-%d-dc-%d", r, d)))
		}
		all = append(all, region)
	}
	return all
}

func serviceName(n int) gw.ServiceName {
	return gw.ServiceName(fmt.Sprintf("lookups-%d", n))
}

func (c *sceneCommand) start(ctx context.Context) error {
	if err := c.scene.Start(ctx); err != nil {
		return err
	}
	if err := gwscene.Until(ctx, c.scene.Live); err != nil {
		return eris.Wrap(err, "waiting until all hosts answer")
	}
	if err := c.publish(ctx, 0); err != nil {
		return err
	}
	start := time.Now()
	if err := gwscene.Until(ctx, c.scene.Owned); err != nil {
		return eris.Wrap(err, "waiting until every key is owned")
	}
	listing := c.scene.Listing()
	fmt.Printf("scene: %d hosts, %d servers, %d cells, owned after %d ms\n", len(listing.Hosts), len(listing.Servers),
		c.Regions*c.DataCentres*c.Services, time.Since(start).Milliseconds())
	gwtimer.Sleep(ctx, warmUp)
	return ctx.Err()
}

// publish writes the configuration files and publishes them. change makes the files differ from the last ones.
func (c *sceneCommand) publish(ctx context.Context, change int) error {
	root := filepath.Join(c.dir, "files")
	if err := c.writeFiles(root, change); err != nil {
		return err
	}
	host := c.scene.Listing().Hosts[0]
	cmd := exec.CommandContext(ctx, c.program("geraniumctl"), //nolint:gosec // own program
		"--store", c.scene.StoreAddress(), "--admin", "http://"+c.scene.OperatorsAddress(host), "--as", "bench",
		"publish", "--root", root, "--reason", "measurement", root)
	out, err := cmd.CombinedOutput()
	return eris.Wrapf(err, "publish: %s", out)
}

func (c *sceneCommand) writeFiles(root string, change int) error {
	type tenant struct {
		Name string  `json:"name"`
		Team string  `json:"team"`
		Rate float64 `json:"requests-per-second,omitempty"`
	}
	plan := c.plan()
	tenants := []tenant{{Name: "unlimited", Team: "team"}}
	for t := range c.Tenants {
		tenants = append(tenants, tenant{Name: fmt.Sprintf("tenant-%d", t), Team: "team", Rate: float64(100 + change)})
	}
	names := make([]gw.RegionName, 0, len(plan.Regions))
	for _, r := range plan.Regions {
		names = append(names, r.Name)
	}
	files := map[string]any{"site.gw.json": map[string]any{
		"regions": plan.Regions, "tenants": tenants,
		"teams": []map[string]string{{"name": "team", "contact": "team@example.org"}},
	}}
	for _, s := range plan.Services {
		files[filepath.Join(string(s.Name), string(s.Name)+".gw.json")] = map[string]any{
			"service": map[string]any{
				"name": s.Name, "team": "team", "divided-by-key": true, "regions": names,
				"limits": map[string]any{
					"slots-per-server": c.Slots, "connections-per-server": 130, "cold-step-milliseconds": 100,
				},
			},
			"routes": []map[string]any{{
				"name": s.Name, "path-prefix": "/" + s.Name, "service": s.Name,
				"key": map[string]any{"from": "path-segment", "segment": 0},
			}},
		}
	}
	for name, content := range files {
		data, err := json.MarshalIndent(content, "", " ")
		if err != nil {
			return eris.Wrapf(err, "encode %s", name)
		}
		path := filepath.Join(root, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			return eris.Wrapf(err, "make the folder of %s", name)
		}
		if err := os.WriteFile(path, data, 0o600); err != nil {
			return eris.Wrapf(err, "write %s", name)
		}
	}
	return nil
}
