package main

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/process/gwtimer"
	"github.com/geraniumworks/geraniumworks/internal/standin/gwscene"
)

// samples are metrics by name and labels, summed over hosts.
type samples map[string]float64

// shown are the prefixes of the counters that a measurement in rest prints.
var shown = []string{
	"process_cpu_seconds_total", "geraniumworks_peer_", "geraniumworks_server_control_calls",
	"geraniumworks_store_calls", "geraniumworks_host_list_calls", "geraniumworks_control_step_seconds",
}

func (c *sceneCommand) metrics(ctx context.Context, host gw.HostEntry, into samples) error {
	req, err := http.NewRequestWithContext(
		ctx, http.MethodGet, "http://"+c.scene.OperatorsAddress(host)+"/metrics", nil)
	if err != nil {
		return eris.Wrap(err, "make a request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrapf(err, "metrics of %s", host.Name)
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, text, ok := strings.Cut(lines.Text(), " ")
		if !ok || strings.HasPrefix(name, "#") {
			continue
		}
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			into[name] += value
		}
	}
	return eris.Wrapf(lines.Err(), "metrics of %s", host.Name)
}

func (c *sceneCommand) allMetrics(ctx context.Context) (samples, error) {
	all := samples{}
	for _, host := range c.scene.Listing().Hosts {
		if err := c.metrics(ctx, host, all); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// rest prints the mean rates of a host of an idle scene.
func (c *sceneCommand) rest(ctx context.Context) error {
	before, err := c.allMetrics(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	if !gwtimer.Sleep(ctx, time.Duration(c.Rest)*time.Second) {
		return ctx.Err()
	}
	after, err := c.allMetrics(ctx)
	if err != nil {
		return err
	}
	seconds := time.Since(start).Seconds()
	hosts := float64(len(c.scene.Listing().Hosts))
	fmt.Printf("rest: mean of a host over %.1f s, each second\n", seconds)
	bytes := 0.0
	for _, name := range slices.Sorted(maps.Keys(after)) {
		rate := (after[name] - before[name]) / seconds / hosts
		if strings.HasPrefix(name, "geraniumworks_peer_bytes") {
			bytes += rate
		}
		if rate > 0 && slices.ContainsFunc(shown, func(p string) bool { return strings.HasPrefix(name, p) }) {
			fmt.Printf("  %-100s %12.4f\n", name, rate)
		}
	}
	fmt.Printf("  peer bytes, sent and received: %.0f\n", bytes)
	fmt.Printf("  resident MB %.1f, heap in use MB %.1f\n",
		after["process_resident_memory_bytes"]/hosts/1e6, after["go_memstats_heap_inuse_bytes"]/hosts/1e6)
	return nil
}

// timePublish prints how long changes take from the start of the operators' tool until all hosts have them.
func (c *sceneCommand) timePublish(ctx context.Context) error {
	host := c.scene.Listing().Hosts[0]
	var state struct {
		Version gw.ConfigVersion `json:"version"`
	}
	if err := c.scene.Ask(ctx, host.Name, "/v1/config", &state); err != nil {
		return err
	}
	before, err := c.allMetrics(ctx)
	if err != nil {
		return err
	}
	for n := range c.Publish {
		start := time.Now()
		if err := c.publish(ctx, n+1); err != nil {
			return err
		}
		accepted := time.Since(start)
		want := state.Version + gw.ConfigVersion(n+1)
		if err := gwscene.Until(ctx, func(ctx context.Context) bool { return c.inForce(ctx, want) }); err != nil {
			return eris.Wrapf(err, "waiting for version %d", want)
		}
		fmt.Printf("publish: accepted after %d ms, in force on all hosts after %d ms\n",
			accepted.Milliseconds(), time.Since(start).Milliseconds())
	}
	after, err := c.allMetrics(ctx)
	if err != nil {
		return err
	}
	received := 0.0
	for name := range after {
		if strings.HasPrefix(name, "geraniumworks_peer_bytes") && strings.Contains(name, `"received"`) {
			received += after[name] - before[name]
		}
	}
	fmt.Printf("publish: %.0f bytes received by a host for each change, other messages of that time included\n",
		received/float64(c.Publish)/float64(len(c.scene.Listing().Hosts)))
	return nil
}

func (c *sceneCommand) inForce(ctx context.Context, want gw.ConfigVersion) bool {
	var state struct {
		Hosts []struct {
			ConfigVersion gw.ConfigVersion `json:"config-version"`
		} `json:"hosts"`
	}
	if err := c.scene.Ask(ctx, c.scene.Listing().Hosts[0].Name, "/v1/versions", &state); err != nil {
		return false
	}
	for _, h := range state.Hosts {
		if h.ConfigVersion < want {
			return false
		}
	}
	return len(state.Hosts) == len(c.scene.Listing().Hosts)
}
