//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// host is one process of the project, started with the command of the deploy file.
type host struct {
	name, zone      string
	front, ready    string
	command         *exec.Cmd
	output          *os.File
	settings, logTo string
}

// network is the first bytes of the loopback addresses of this run. Each host has an address of its own, and ports are
// the same on all, as in a deployment.
var network = fmt.Sprintf("127.%d.%d", 10+rand.IntN(240), rand.IntN(256))

// addressOf returns the address of a host with a number, with a port.
func addressOf(number, port int) string {
	address := fmt.Sprintf("%s.%d:%d", network, number, port)
	l, err := net.Listen("tcp", address)
	if err != nil {
		fail("address of a host: %v", err)
	}
	_ = l.Close()
	return address
}

// newHost writes the settings of a host, as deploy/settings.template has them.
func newHost(dir, name, zone string, number int, storeAddress string, zones map[string]string) *host {
	h := &host{name: name, zone: zone, front: addressOf(number, 8548), ready: addressOf(number, 8542)}
	var centres []map[string]string
	for z, region := range zones {
		centres = append(centres, map[string]string{"name": z, "region": region})
	}
	settings := map[string]any{
		"host": name, "region": zones[zone], "data-centre": zone,
		"listen": map[string]string{
			"callers": h.front, "readiness": h.ready, "relay": addressOf(number, 7540),
			"peers": addressOf(number, 7555), "operators": addressOf(number, 9464),
		},
		"platform": map[string]any{"store-endpoint": storeAddress, "retry-slack": 64, "data-centres": centres},
		"log":      map[string]string{"level": "info", "format": "json"},
		"cores":    0.32, "link-megabits": 1000.0, "drain-milliseconds": 2500, "kill-after": "6s",
	}
	data, err := json.MarshalIndent(settings, "", "\t")
	if err != nil {
		fail("settings: %v", err)
	}
	h.settings = filepath.Join(dir, name+".json")
	h.logTo = filepath.Join(dir, name+".log")
	if err := os.WriteFile(h.settings, data, 0o600); err != nil {
		fail("settings: %v", err)
	}
	return h
}

func (h *host) start() {
	out, err := os.OpenFile(h.logTo, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log of a host: %v", err)
	}
	h.output = out
	h.command = exec.Command("target/geraniumworks", "run")
	h.command.Env = append(os.Environ(), "GERANIUMWORKS_SETTINGS="+h.settings)
	h.command.Stdout, h.command.Stderr = out, out
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		fail("start of a host: %v", err)
	}
}

func (h *host) kill() {
	if h.command != nil && h.command.Process != nil {
		_ = h.command.Process.Kill()
		_ = h.command.Wait()
		_ = h.output.Close()
	}
}

// waitReady waits until the host reports that it is ready.
func (h *host) waitReady(most time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		resp, err := client.Get("http://" + h.ready + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// config is the operator's configuration: one service with one safe route.
func config(divided bool) []byte {
	rows := func(columns []string, values ...any) map[string]any {
		return map[string]any{"columns": columns, "rows": [][]any{values}}
	}
	data, err := json.Marshal(map[string]any{
		"version": "r3",
		"routes": rows([]string{
			"name", "host", "prefix", "route_type", "timeout", "target_latency", "priority", "weighted_services",
			"max_attempts", "allowed_regions", "service",
		}, "lookup", clientHost, "/look/", "safe", "3000ms", "800ms", 1, nil, 2, []string{}, serviceName),
		"services": rows([]string{
			"name", "health_path", "max_connections", "protocol", "tls", "warmup", "cold_per_s", "sharded", "warm", "grants",
		}, serviceName, "/health", connections, "h1", false, "3s", 18.0, divided, "5s", "rpc"),
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms",
		},
		"base_version": "r1",
	})
	if err != nil {
		fail("configuration: %v", err)
	}
	return data
}

const clientHost = "naam.example"
