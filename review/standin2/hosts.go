//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// place is a zone with its region.
type place struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// host is a machine with one process of the project.
type host struct {
	name, zone, region            string
	callers, readiness, operators string
	settings                      string
	dir                           string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	starts  int
}

// freeAddresses returns different addresses of an IP on which nobody listens.
func freeAddresses(ip string, n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		// It stays open until all are found, so that none is found twice.
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// newHost writes the settings of a machine, as deploy/settings.template has them.
func newHost(dir, name, ip string, at place, places []place, store string) (*host, error) {
	addresses, err := freeAddresses(ip, 5)
	if err != nil {
		return nil, err
	}
	h := &host{
		name: name, zone: at.Name, region: at.Region, callers: addresses[0], readiness: addresses[1],
		operators: addresses[4], dir: dir, settings: filepath.Join(dir, name+".json"),
	}
	data, err := json.Marshal(map[string]any{
		"host": name, "region": at.Region, "data-centre": at.Name,
		"listen": map[string]any{
			"callers": addresses[0], "readiness": addresses[1], "relay": addresses[2], "peers": addresses[3],
			"operators": addresses[4],
		},
		"platform": map[string]any{
			"store-endpoint": store, "retry-slack": 64,
			"contracts":    []string{"base", "drain", "config", "cost", "retry", "recover", "own", "places", "platform"},
			"data-centres": places,
		},
		"log":   map[string]any{"level": "info", "format": "json"},
		"cores": 0.32, "link-megabits": 1000.0, "memory-megabytes": 284, "descriptors": 4100,
		"drain-milliseconds": 2500, "kill-after": "6s",
	})
	if err != nil {
		return nil, err
	}
	return h, os.WriteFile(h.settings, data, 0o600)
}

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts++
	log, err := os.Create(filepath.Join(h.dir, fmt.Sprintf("%s-%d.log", h.name, h.starts)))
	if err != nil {
		return err
	}
	c := exec.Command("target/geraniumworks", "run")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GERANIUMWORKS_SETTINGS=" + h.settings}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.process, h.ended = c, ended
	go func() {
		_ = c.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process if it runs.
func (h *host) signal(s os.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		// A process that has ended already needs no signal.
		_ = h.process.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// isReady asks the process whether it is ready, as the platform does.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.readiness + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var errNotReady = errors.New("a host did not become ready")

// awaitReady waits until all hosts are ready.
func awaitReady(hosts []*host, most time.Duration) error {
	end := time.Now().Add(most)
	for _, h := range hosts {
		for !h.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%w: %s", errNotReady, h.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
