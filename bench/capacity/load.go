package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/process/gwtimer"
	"github.com/geraniumworks/geraniumworks/internal/standin/gwscene"
)

const (
	// loadKeys is the number of keys whose owners are looked up before a load.
	loadKeys = 256
	// slowestMicroseconds bounds the recorded times.
	slowestMicroseconds = 10_000_000
	// mostConnections bounds the idle connections, so that the descriptors of this process are enough.
	mostConnections = 10_000
)

// load sends requests for the keys that one host dispatches, first through that host and then through another one of
// its data centre, and prints what each host spent.
func (c *sceneCommand) load(ctx context.Context) error {
	if err := gwscene.Until(ctx, c.scene.Owned); err != nil {
		return eris.Wrap(err, "waiting until every server has a dispatcher")
	}
	hosts := c.scene.Listing().Hosts
	byDispatcher, err := c.keys(ctx, hosts[0])
	if err != nil {
		return err
	}
	var dispatcher gw.HostEntry
	fmt.Print("load: keys by dispatching host:")
	for _, host := range hosts {
		fmt.Print(" ", len(byDispatcher[host.Name]))
		if len(byDispatcher[host.Name]) > len(byDispatcher[dispatcher.Name]) {
			dispatcher = host
		}
	}
	fmt.Println()
	paths := byDispatcher[dispatcher.Name]
	if err := c.measure(ctx, "same host", dispatcher, dispatcher, paths); err != nil {
		return err
	}
	for _, entry := range hosts {
		if entry.Name != dispatcher.Name && entry.DataCentre == dispatcher.DataCentre {
			return c.measure(ctx, "two hosts", entry, dispatcher, paths)
		}
	}
	return nil
}

// keys returns paths of keys by the host that dispatches their owner.
func (c *sceneCommand) keys(ctx context.Context, entry gw.HostEntry) (map[gw.HostName][]string, error) {
	var state struct {
		Directories []gw.Directory  `json:"directories"`
		Assignments []gw.Assignment `json:"assignments"`
	}
	for _, path := range []string{"/v1/directories", "/v1/assignments"} {
		if err := c.scene.Ask(ctx, entry.Name, path, &state); err != nil {
			return nil, err
		}
	}
	ranges := map[gw.ServerName]int{}
	for _, a := range state.Assignments {
		for _, r := range a.Ranges {
			ranges[r.Owner]++
		}
	}
	fmt.Println("load: ranges by owner:", ranges)
	dispatchers := map[gw.ServerName]gw.HostName{}
	for _, d := range state.Directories {
		for _, s := range d.Servers {
			dispatchers[s.Name] = s.Dispatcher
		}
	}
	servers := map[gw.HostName]int{}
	for _, host := range dispatchers {
		servers[host]++
	}
	fmt.Println("load: servers by dispatching host:", servers)
	paths := map[gw.HostName][]string{}
	keys := map[gw.ServerName]int{}
	for n := range loadKeys {
		key := "key-" + strconv.Itoa(n)
		owner, err := c.scene.Owner(ctx, entry.Name, serviceName(0), "unlimited", key)
		if err != nil {
			return nil, err
		}
		keys[owner]++
		host := dispatchers[owner]
		paths[host] = append(paths[host], "/"+string(serviceName(0))+"/"+key)
	}
	fmt.Println("load: keys by owner:", keys)
	return paths, nil
}

// tally is what the workers of a load have seen.
type tally struct {
	mu       sync.Mutex
	times    *hdrhistogram.Histogram
	answered int
	failed   int
	first    string
}

func (c *sceneCommand) measure(ctx context.Context, kind string, entry, dispatcher gw.HostEntry, paths []string) error {
	before := map[gw.HostName]samples{}
	after := map[gw.HostName]samples{}
	sample := func(into map[gw.HostName]samples) error {
		for _, host := range []gw.HostEntry{entry, dispatcher} {
			into[host.Name] = samples{}
			if err := c.metrics(ctx, host, into[host.Name]); err != nil {
				return err
			}
		}
		return nil
	}
	// Connections are opened before the measurement.
	c.work(ctx, entry, paths, time.Second)
	if err := sample(before); err != nil {
		return err
	}
	start := time.Now()
	t := c.work(ctx, entry, paths, time.Duration(c.Load)*time.Second)
	seconds := time.Since(start).Seconds()
	if err := sample(after); err != nil {
		return err
	}
	fmt.Printf("load, %s: %d workers, %.0f requests a second, %d failed %s\n",
		kind, c.Workers, float64(t.answered)/seconds, t.failed, t.first)
	fmt.Printf("  ms: p50 %.2f, p90 %.2f, p99 %.2f, p99.9 %.2f; service time %.2f\n", millis(t, 50), millis(t, 90),
		millis(t, 99), millis(t, 99.9), c.ServiceTime)
	const cpu = "process_cpu_seconds_total"
	for _, host := range []gw.HostEntry{entry, dispatcher} {
		used := after[host.Name][cpu] - before[host.Name][cpu]
		fmt.Printf("  %s: %.3f cores, %.4f CPU ms a request, %.0f requests a second and core, resident MB %.0f\n",
			host.Name, used/seconds, 1000*used/float64(t.answered), float64(t.answered)/used,
			after[host.Name]["process_resident_memory_bytes"]/1e6)
		if dispatcher.Name == entry.Name {
			break
		}
	}
	return nil
}

func millis(t *tally, percentile float64) float64 {
	return float64(t.times.ValueAtQuantile(percentile)) / 1000
}

// work keeps c.Workers requests running until d has passed.
func (c *sceneCommand) work(ctx context.Context, entry gw.HostEntry, paths []string, d time.Duration) *tally {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	t := &tally{times: hdrhistogram.New(1, slowestMicroseconds, 3)}
	transport := &http.Transport{MaxIdleConnsPerHost: c.Workers}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var workers sync.WaitGroup
	for w := range c.Workers {
		workers.Go(func() {
			for n := w; ctx.Err() == nil; n++ {
				start := time.Now()
				status, reason, err := get(context.WithoutCancel(ctx), client, "http://"+entry.CallerAddress+paths[n%len(paths)])
				t.record(time.Since(start), status, reason, err)
			}
		})
	}
	workers.Wait()
	return t
}

func (t *tally) record(took time.Duration, status int, reason string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil || status != http.StatusOK {
		t.failed++
		t.first = fmt.Sprint("(", status, " ", reason, " ", err, ")")
		return
	}
	t.answered++
	_ = t.times.RecordValue(min(took.Microseconds(), slowestMicroseconds))
}

func get(ctx context.Context, client *http.Client, address string) (status int, reason string, err error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return 0, "", err
	}
	req.Header.Set(gw.HeaderTenant, "unlimited")
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get(gw.HeaderReason), err
}

// openConnections prints the memory that idle connections of callers take, each after one request.
func (c *sceneCommand) openConnections(ctx context.Context) error {
	entry := c.scene.Listing().Hosts[0]
	before, after := samples{}, samples{}
	if err := c.metrics(ctx, entry, before); err != nil {
		return err
	}
	count := min(c.Connections, mostConnections)
	path := (&url.URL{Path: "/" + string(serviceName(0)) + "/key-1"}).String()
	var dialer net.Dialer
	for range count {
		conn, err := dialer.DialContext(ctx, "tcp", entry.CallerAddress)
		if err != nil {
			return eris.Wrap(err, "open a connection")
		}
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: unlimited\r\n\r\n",
			path, entry.CallerAddress, gw.HeaderTenant)
		if err != nil {
			return eris.Wrap(err, "send a request")
		}
		if _, err := conn.Read(make([]byte, 4096)); err != nil {
			return eris.Wrap(err, "read an answer")
		}
	}
	if !gwtimer.Sleep(ctx, time.Second) {
		return ctx.Err()
	}
	if err := c.metrics(ctx, entry, after); err != nil {
		return err
	}
	for _, name := range []string{
		"process_resident_memory_bytes", "go_memstats_heap_inuse_bytes",
		"go_memstats_stack_inuse_bytes",
	} {
		fmt.Printf("connections: %d idle, %s %.1f KB each\n", count, name,
			(after[name]-before[name])/float64(count)/1000)
	}
	return nil
}
