// Package gwscene runs entry hosts and the stand-ins around them as processes on loopback addresses, for tests and
// the demonstration.
package gwscene

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
)

// ErrNoProcess reports the name of a process that the scene does not run.
var ErrNoProcess = errors.New("no such process")

// Ports of all processes. Each process has a loopback address of its own.
const (
	portCallers   = 8080
	portRelay     = 8081
	portPeers     = 8082
	portOperators = 8083
	portStandIn   = 7000
)

// Networks that scenes use, as second number of the loopback address.
const (
	firstNetwork = 2
	networks     = 250
)

// stopTimeout is how long Stop waits for processes after SIGTERM before it kills them.
const stopTimeout = 15 * time.Second

// Service describes the servers of one service in each data centre.
type Service struct {
	Name         gw.ServiceName
	DividedByKey bool
	Servers      int
	Slots        int
	Connections  int
	Flags        []string
}

// Plan describes what a scene runs.
type Plan struct {
	Regions  []gw.Region
	Hosts    int // entry hosts in each data centre
	Services []Service
	// HostFlags are given to all entry hosts.
	HostFlags []string
}

// Scene runs the processes of a plan.
type Scene struct {
	plan Plan
	dir  string
	bin  func(program string) string
	log  io.Writer

	network  int
	reserved net.Listener

	mu    sync.Mutex
	procs map[string]*process
	// listing is what the host list shows.
	listing gw.Listing
	args    map[string][]string
}

type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// New returns a scene that keeps its files in dir. bin returns the path of a program, and log gets the output of all
// processes.
func New(plan Plan, dir string, bin func(program string) string, log io.Writer) *Scene {
	return &Scene{
		plan: plan, dir: dir, bin: bin, log: log,
		procs: map[string]*process{},
		args:  map[string][]string{},
	}
}

// reserveNetwork picks a loopback network that no other scene on this machine uses, and keeps it until Stop.
func (s *Scene) reserveNetwork(ctx context.Context) error {
	var config net.ListenConfig
	for _, n := range rand.Perm(networks) {
		listener, err := config.Listen(ctx, "tcp", fmt.Sprintf("127.%d.255.254:%d", firstNetwork+n, portStandIn))
		if err == nil {
			s.network = firstNetwork + n
			s.reserved = listener
			return nil
		}
	}
	return eris.New("all loopback networks are in use")
}

func (s *Scene) address(group, member, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", s.network, group, member, port)
}

// StoreAddress returns the address of the store.
func (s *Scene) StoreAddress() string {
	return s.address(0, 1, portStandIn)
}

// HostListAddress returns the address of the host list.
func (s *Scene) HostListAddress() string {
	return s.address(0, 2, portStandIn)
}

// Listing returns the hosts and servers of the scene.
func (s *Scene) Listing() gw.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listing
}

// Host returns the entry of a host.
func (s *Scene) Host(name gw.HostName) (gw.HostEntry, bool) {
	for _, h := range s.Listing().Hosts {
		if h.Name == name {
			return h, true
		}
	}
	return gw.HostEntry{}, false
}

// Server returns the entry of a backend server.
func (s *Scene) Server(name gw.ServerName) (gw.ServerEntry, bool) {
	for _, server := range s.Listing().Servers {
		if server.Name == name {
			return server, true
		}
	}
	return gw.ServerEntry{}, false
}

// OperatorsAddress returns the address of a host's operators' listener.
func (s *Scene) OperatorsAddress(host gw.HostEntry) string {
	return withPort(host.PeerAddress, portOperators)
}

// Prepare gives every process an address without starting it. Start does so too when it was not done before.
func (s *Scene) Prepare(ctx context.Context) error {
	if s.reserved != nil {
		return nil
	}
	if err := s.reserveNetwork(ctx); err != nil {
		return err
	}
	s.layOut()
	return s.writeListing()
}

// Start starts all processes of the plan.
func (s *Scene) Start(ctx context.Context) error {
	if err := s.Prepare(ctx); err != nil {
		return err
	}
	names := []string{"store", "host-list"}
	for _, server := range s.listing.Servers {
		names = append(names, string(server.Name))
	}
	for _, host := range s.listing.Hosts {
		names = append(names, string(host.Name))
	}
	for _, name := range names {
		if err := s.StartProcess(ctx, name); err != nil {
			return err
		}
	}
	return nil
}

// StartProcess starts a process of the plan that is not running, with the arguments it had before.
func (s *Scene) StartProcess(ctx context.Context, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	args, ok := s.args[name]
	if !ok {
		return eris.Wrapf(ErrNoProcess, "start %s", name)
	}
	if p, ok := s.procs[name]; ok {
		select {
		case <-p.done:
		default:
			return eris.Errorf("process %s is running", name)
		}
	}
	cmd := exec.CommandContext(context.WithoutCancel(ctx), s.bin(args[0]), args[1:]...) //nolint:gosec // own programs
	cmd.Stdout = s.log
	cmd.Stderr = s.log
	cmd.Env = append(os.Environ(), "GERANIUMWORKS_SCENE="+name)
	if err := cmd.Start(); err != nil {
		return eris.Wrapf(err, "start %s", name)
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go p.wait()
	s.procs[name] = p
	return nil
}

// wait ends with the process, which Stop ends.
func (p *process) wait() {
	p.err = p.cmd.Wait()
	close(p.done)
}

// Signal sends a signal to a process.
func (s *Scene) Signal(name string, sig os.Signal) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.procs[name]
	if !ok {
		return eris.Wrapf(ErrNoProcess, "signal %s", name)
	}
	return eris.Wrapf(p.cmd.Process.Signal(sig), "signal %s", name)
}

// PeakBytes returns the most memory that a running process has had, in bytes. It returns an error for one that has
// ended.
func (s *Scene) PeakBytes(name string) (int64, error) {
	s.mu.Lock()
	p, ok := s.procs[name]
	s.mu.Unlock()
	if !ok {
		return 0, eris.Wrapf(ErrNoProcess, "memory of %s", name)
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, eris.Wrapf(err, "memory of %s", name)
	}
	var kilobytes int64
	for line := range strings.Lines(string(status)) {
		if n, err := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); err == nil && n == 1 {
			return kilobytes << 10, nil
		}
	}
	return 0, eris.Wrapf(ErrNoProcess, "memory of %s", name)
}

// Descriptors returns the number of descriptors that a running process has open.
func (s *Scene) Descriptors(name string) (int, error) {
	s.mu.Lock()
	p, ok := s.procs[name]
	s.mu.Unlock()
	if !ok {
		return 0, eris.Wrapf(ErrNoProcess, "descriptors of %s", name)
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(open), eris.Wrapf(err, "descriptors of %s", name)
}

// Wait waits until a process has ended and returns its error, or that of ctx.
func (s *Scene) Wait(ctx context.Context, name string) error {
	s.mu.Lock()
	p, ok := s.procs[name]
	s.mu.Unlock()
	if !ok {
		return eris.Wrapf(ErrNoProcess, "wait for %s", name)
	}
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stop ends all processes: first the entry hosts as planned, then the stand-ins.
func (s *Scene) Stop() {
	s.mu.Lock()
	hosts := map[string]*process{}
	others := map[string]*process{}
	for name, p := range s.procs {
		if s.args[name][0] == programHost {
			hosts[name] = p
			continue
		}
		others[name] = p
	}
	s.mu.Unlock()
	terminate(hosts)
	terminate(others)
	if s.reserved != nil {
		_ = s.reserved.Close()
	}
}

func terminate(procs map[string]*process) {
	for _, p := range procs {
		// A process that a test has stopped cannot act on SIGTERM until it continues.
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
	}
	timeout := time.After(stopTimeout)
	for _, p := range procs {
		select {
		case <-p.done:
		case <-timeout:
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
}

func (s *Scene) listingFile() string {
	return filepath.Join(s.dir, "listing.json")
}

func (s *Scene) writeListing() error {
	data, err := json.MarshalIndent(s.listing, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode the listing")
	}
	return eris.Wrap(os.WriteFile(s.listingFile(), data, 0o600), "write the listing")
}
