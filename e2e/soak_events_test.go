package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/standin/gwscene"
)

const (
	soakDrain = 800 * time.Millisecond
	soakStop  = 10 * time.Second
	// soakExit is added to soakStop: an HTTP server may close its connections for two seconds after a planned stop.
	soakExit = 3 * time.Second
	// soakPublishTimeout bounds geraniumctl.
	soakPublishTimeout = 5 * time.Second
	// soakSignalEvery is the time between signals of a series through a planned stop.
	soakSignalEvery = 20 * time.Millisecond
)

// soakHost is a host process and what the events do with it.
type soakHost struct {
	name gw.HostName
	dc   gw.DataCentreName
	// up is true while the process is ready for signals and nobody stops it.
	up atomic.Bool
	// stopping is true from SIGTERM to the end of the process.
	stopping atomic.Bool
	// ended receives the error of a process that ended after SIGTERM.
	ended chan error
}

// soakEvents brings about planned work.
type soakEvents struct {
	scene    *gwscene.Scene
	start    time.Time
	settings string
	config   string
	hosts    []*soakHost
	// publishing lets one geraniumctl run at a time, which else would report a conflict.
	publishing sync.Mutex
	published  atomic.Int64

	// settingsMu is held while the settings file is not valid, and shared while a process starts.
	settingsMu sync.RWMutex

	watching sync.WaitGroup

	mu       sync.Mutex
	stopped  map[gw.DataCentreName]int
	lines    []string
	problems []string
}

func (e *soakEvents) note(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lines = append(e.lines, e.stamp(time.Now())+fmt.Sprintf(format, args...))
}

func (e *soakEvents) fail(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.problems = append(e.problems, e.stamp(time.Now())+fmt.Sprintf(format, args...))
}

func (e *soakEvents) stamp(at time.Time) string {
	if at.IsZero() {
		return "never "
	}
	return fmt.Sprintf("%s (%6.3f s) ", at.UTC().Format("15:04:05.000"), at.Sub(e.start).Seconds())
}

// watch reports a process that ends though nobody stopped it, and starts it again.
func (e *soakEvents) watch(ctx context.Context, h *soakHost) {
	e.watching.Go(func() { e.watchHost(ctx, h) })
}

func (e *soakEvents) watchHost(ctx context.Context, h *soakHost) {
	for {
		err := e.scene.Wait(ctx, string(h.name))
		if ctx.Err() != nil {
			return
		}
		if h.stopping.Load() {
			h.ended <- err
			return
		}
		h.up.Store(false)
		e.fail("%s ended by itself: %v", h.name, err)
		if !e.startHost(ctx, h) {
			return
		}
	}
}

// startHost starts the process of a host and waits until it is live.
func (e *soakEvents) startHost(ctx context.Context, h *soakHost) bool {
	e.settingsMu.RLock()
	defer e.settingsMu.RUnlock()
	err := e.scene.StartProcess(ctx, string(h.name))
	if err == nil {
		live, cancel := context.WithTimeout(ctx, startTimeout)
		defer cancel()
		err = gwscene.Until(live, func(ctx context.Context) bool { return e.scene.Ask(ctx, h.name, "/livez", nil) == nil })
	}
	if err != nil {
		e.fail("%s does not start: %v", h.name, err)
		return false
	}
	h.up.Store(true)
	return true
}

// restart stops a host as planned and starts it again. during runs while the process stops, until its context ends. One
// host of each data centre keeps running, so that it can take over the servers of the others.
func (e *soakEvents) restart(ctx context.Context, h *soakHost, during func(context.Context)) {
	e.mu.Lock()
	busy := e.stopped[h.dc] >= *soakHosts-1 || !h.up.Load()
	if !busy {
		h.up.Store(false)
		e.stopped[h.dc]++
	}
	e.mu.Unlock()
	if busy {
		e.note("%s is not stopped, since it or another host of its data centre is not up", h.name)
		return
	}
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.stopped[h.dc]--
	}()
	h.stopping.Store(true)
	begun := time.Now()
	e.signal(h, syscall.SIGTERM)
	stop, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		during(stop)
	}()
	late := time.AfterFunc(soakStop+soakExit, func() {
		e.fail("%s still runs %v after SIGTERM", h.name, soakStop+soakExit)
		_ = e.scene.Signal(string(h.name), syscall.SIGKILL)
	})
	err := <-h.ended
	late.Stop()
	e.note("%s ended %v after SIGTERM", h.name, time.Since(begun).Round(time.Millisecond))
	if err != nil {
		e.fail("%s did not stop as planned: %v", h.name, err)
	}
	cancel()
	<-done
	h.stopping.Store(false)
	if e.startHost(ctx, h) {
		e.watch(ctx, h)
	}
}

func (e *soakEvents) signal(h *soakHost, sig syscall.Signal) {
	e.note("%v to %s", sig, h.name)
	// The process may have ended at the same time.
	_ = e.scene.Signal(string(h.name), sig)
}

// reload sends SIGHUP to a host that runs.
func (e *soakEvents) reload(h *soakHost) {
	if h.up.Load() {
		e.signal(h, syscall.SIGHUP)
	}
}

// writeSettings replaces the settings file of all hosts at once.
func (e *soakEvents) writeSettings(content string) {
	next := e.settings + ".next"
	err := os.WriteFile(next, []byte(content), 0o600)
	if err == nil {
		err = os.Rename(next, e.settings)
	}
	if err != nil {
		e.fail("write settings: %v", err)
	}
}

func soakSettings(level string) string {
	return fmt.Sprintf(`{"log": {"level": %q}, "drain-milliseconds": %d, "stop-milliseconds": %d}`,
		level, soakDrain.Milliseconds(), soakStop.Milliseconds())
}

// publish publishes a new version of the configuration, and does not wait until hosts have it.
func (e *soakEvents) publish(ctx context.Context) {
	e.publishing.Lock()
	defer e.publishing.Unlock()
	n := e.published.Add(1)
	name := filepath.Join(e.config, "documents.gw.json")
	data, err := os.ReadFile("testdata/soak/documents.gw.json")
	text := strings.Replace(string(data), `"queue-length": 64`, fmt.Sprintf(`"queue-length": %d`, 64+n), 1)
	text = strings.Replace(text, `"routes": [`, fmt.Sprintf(
		`"routes": [{"name": "added-%d", "path-prefix": "/added-%d", "service": "documents"}, `, n, n), 1)
	if err == nil {
		err = os.WriteFile(name, []byte(text), 0o600)
	}
	if err != nil {
		e.fail("publish: %v", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, soakPublishTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(programs, "geraniumctl"), "--store", e.scene.StoreAddress(),
		"--as", "test", "publish", "--no-wait", "--root", e.config, e.config)
	if out, err := cmd.CombinedOutput(); err != nil {
		e.fail("publish: %v: %s", err, out)
		return
	}
	e.note("configuration with the route added-%d is published", n)
}

// draw draws an event.
func (e *soakEvents) draw(rng *rand.Rand) (string, func(context.Context)) {
	order := rng.Perm(len(e.hosts))
	h, wait := e.hosts[order[0]], time.Duration(rng.IntN(1500))*time.Millisecond
	several := order[:min(len(order), 2+rng.IntN(3))]
	nothing := func(context.Context) {}
	switch rng.IntN(13) {
	case 0:
		return fmt.Sprintf("reload of %s", h.name), func(context.Context) { e.reload(h) }
	case 1:
		return "reloads of several hosts within a second", func(ctx context.Context) {
			for _, i := range several {
				e.reload(e.hosts[i])
				pauseFor(ctx, wait/8)
			}
		}
	case 2:
		return fmt.Sprintf("two reloads of %s in a row", h.name), func(ctx context.Context) {
			e.reload(h)
			pauseFor(ctx, wait/50)
			e.reload(h)
		}
	case 3, 4:
		return fmt.Sprintf("restart of %s", h.name), func(ctx context.Context) { e.restart(ctx, h, nothing) }
	case 5:
		return "restarts of several hosts, one after the other", func(ctx context.Context) {
			for _, i := range several {
				e.restart(ctx, e.hosts[i], nothing)
			}
		}
	case 6:
		return fmt.Sprintf("reload during a stop of %s", h.name), func(ctx context.Context) {
			e.restart(ctx, h, func(ctx context.Context) {
				pauseFor(ctx, wait)
				e.signal(h, syscall.SIGHUP)
			})
		}
	case 7:
		return fmt.Sprintf("reloads of %s until its stop ends", h.name), func(ctx context.Context) {
			e.restart(ctx, h, func(ctx context.Context) {
				e.note("SIGHUP to %s every %v", h.name, soakSignalEvery)
				for ctx.Err() == nil {
					_ = e.scene.Signal(string(h.name), syscall.SIGHUP)
					pauseFor(ctx, soakSignalEvery)
				}
			})
		}
	case 8:
		return fmt.Sprintf("stop of %s during a reload", h.name), func(ctx context.Context) {
			e.reload(h)
			pauseFor(ctx, wait/100)
			e.restart(ctx, h, nothing)
		}
	case 9:
		level := []string{"debug", "info", "warn"}[rng.IntN(3)]
		return "log level " + level + " and reloads", func(ctx context.Context) {
			e.changeSettings(ctx, soakSettings(level), several)
		}
	case 10:
		return "settings that are not valid and reloads", func(ctx context.Context) {
			e.settingsMu.Lock()
			defer e.settingsMu.Unlock()
			e.changeSettings(ctx, `{"log": {"level": "loud"}`, several)
			e.writeSettings(soakSettings("info"))
		}
	case 11:
		return "new configuration", e.publish
	default:
		return fmt.Sprintf("new configuration during a stop of %s", h.name), func(ctx context.Context) {
			e.restart(ctx, h, func(ctx context.Context) {
				pauseFor(ctx, wait)
				e.publish(context.WithoutCancel(ctx))
			})
		}
	}
}

// changeSettings replaces the settings and sends SIGHUP to some hosts, which get time to read them.
func (e *soakEvents) changeSettings(ctx context.Context, content string, hosts []int) {
	e.writeSettings(content)
	for _, i := range hosts {
		e.reload(e.hosts[i])
	}
	pauseFor(ctx, 100*time.Millisecond)
}

// run brings about events for a length of time and waits until all have ended.
func (e *soakEvents) run(ctx context.Context, rng *rand.Rand, length time.Duration) {
	var running sync.WaitGroup
	for at := 300 * time.Millisecond; at < length; at += time.Duration(100+rng.IntN(900)) * time.Millisecond {
		name, event := e.draw(rng)
		pauseFor(ctx, time.Until(e.start.Add(at)))
		e.note("event: %s", name)
		running.Go(func() { event(ctx) })
	}
	running.Wait()
}
