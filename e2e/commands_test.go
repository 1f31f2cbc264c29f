package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/sync/errgroup"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwstore"
	"github.com/geraniumworks/geraniumworks/internal/standin/gwscene"
)

func usage(ts *testscript.TestScript, args []string, n int, text string) {
	if len(args) < n {
		ts.Fatalf("usage: %s", text)
	}
}

// cmdRequest sends a request and prints the answer: request HOST METHOD PATH TENANT [BODY].
func cmdRequest(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, args, 4, "request HOST METHOD PATH TENANT [BODY]")
	body := strings.Join(args[4:], " ")
	a, err := current(ts).scene.Request(context.Background(), gw.HostName(args[0]), args[1], args[2], args[3], body)
	ts.Check(err)
	_, err = fmt.Fprintf(ts.Stdout(), "%d %s %s %s\n", a.Status, a.Outcome, orDash(string(a.Reason)), a.Server)
	ts.Check(err)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// cmdOwner sets a variable to the owner of a key: owner VARIABLE SERVICE TENANT KEY.
func cmdOwner(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, args, 4, "owner VARIABLE SERVICE TENANT KEY")
	s := current(ts)
	host := s.scene.Listing().Hosts[0].Name
	owner, err := s.scene.Owner(context.Background(), host, gw.ServiceName(args[1]), args[2], args[3])
	ts.Check(err)
	ts.Setenv(args[0], string(owner))
}

// controller returns the host that controls a cell, as the first host that answers knows it.
func controller(ts *testscript.TestScript, service gw.ServiceName, dc gw.DataCentreName) gw.HostName {
	s := current(ts)
	var state struct {
		Assignments []gw.Assignment `json:"assignments"`
	}
	for _, host := range s.scene.Listing().Hosts {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		err := s.scene.Ask(ctx, host.Name, "/v1/assignments", &state)
		cancel()
		if err == nil {
			break
		}
	}
	for _, a := range state.Assignments {
		cell, ok := a.Cell(dc)
		if ok && a.KeySpace.Service == service {
			return cell.Host
		}
	}
	return ""
}

// askTimeout bounds a question to a host that may be paused.
const askTimeout = 300 * time.Millisecond

// cmdReplaced waits until another host controls a cell: replaced SECONDS SERVICE DATA-CENTRE FORMER.
func cmdReplaced(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, args, 4, "replaced SECONDS SERVICE DATA-CENTRE FORMER")
	ctx, cancel := context.WithTimeout(context.Background(), seconds(ts, args[0]))
	defer cancel()
	err := gwscene.Until(ctx, func(context.Context) bool {
		now := controller(ts, gw.ServiceName(args[1]), gw.DataCentreName(args[2]))
		return now != "" && now != gw.HostName(args[3])
	})
	if err != nil {
		ts.Fatalf("%s still controls %s in %s after %s s", args[3], args[1], args[2], args[0])
	}
}

// cmdReady waits until every key has an owner and every server a dispatcher: ready SECONDS.
func cmdReady(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, args, 1, "ready SECONDS")
	ctx, cancel := context.WithTimeout(context.Background(), seconds(ts, args[0]))
	defer cancel()
	if err := gwscene.Until(ctx, current(ts).scene.Owned); err != nil {
		ts.Fatalf("not all keys are owned after %s s", args[0])
	}
}

// cmdIdle waits for the given time and then fails if one of the servers still gets work: idle SECONDS SERVER...
func cmdIdle(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, args, 2, "idle SECONDS SERVER...")
	s := current(ts)
	time.Sleep(seconds(ts, args[0]))
	before := map[string]int{}
	for _, name := range args[1:] {
		before[name] = executions(ts, s, name)
	}
	time.Sleep(idleWatch)
	for _, name := range args[1:] {
		if n := executions(ts, s, name); n != before[name] {
			ts.Fatalf("%s ran %d requests more than %s s after it was taken out", name, n-before[name], args[0])
		}
	}
}

// cmdRan fails unless each server has run the given number of requests: ran N SERVER...
func cmdRan(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, args, 2, "ran N SERVER...")
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	for _, name := range args[1:] {
		if n := executions(ts, current(ts), name); n != want {
			ts.Fatalf("%s ran %d requests, not %d", name, n, want)
		}
	}
}

// cmdAbsent fails if the store, a log line or a metric contains a text: absent TEXT.
func cmdAbsent(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, args, 1, "absent TEXT")
	s := current(ts)
	logs, err := os.ReadFile(s.log.Name())
	ts.Check(err)
	requireAbsent(ts, "the logs", string(logs), args[0])
	requireAbsent(ts, "the store", storeContent(ts, s), args[0])
	for _, host := range s.scene.Listing().Hosts {
		requireAbsent(ts, "the metrics of "+string(host.Name),
			fetch(ts, "http://"+s.scene.OperatorsAddress(host)+"/metrics"), args[0])
	}
}

func requireAbsent(ts *testscript.TestScript, where, content, text string) {
	if content == "" {
		ts.Fatalf("%s are empty, which proves nothing", where)
	}
	if strings.Contains(content, text) {
		ts.Fatalf("%s contain %q", where, text)
	}
}

// storeContent returns all values in the store.
func storeContent(ts *testscript.TestScript, s *session) string {
	store, err := gwstore.New(gwstore.WithEndpoints(s.scene.StoreAddress()))
	ts.Check(err)
	values, err := store.List(context.Background(), "")
	ts.Check(err)
	var all strings.Builder
	for _, v := range values {
		all.WriteString(v.Key)
		all.Write(v.Data)
	}
	return all.String()
}

func fetch(ts *testscript.TestScript, url string) string {
	resp, err := http.Get(url)
	ts.Check(err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	ts.Check(err)
	return string(data)
}

// idleWatch is how long a server that was taken out is watched.
const idleWatch = time.Second

func executions(ts *testscript.TestScript, s *session, name string) int {
	server, ok := s.scene.Server(gw.ServerName(name))
	if !ok {
		ts.Fatalf("no server %s", name)
	}
	resp, err := http.Get("http://" + server.Address + "/admin/executions")
	ts.Check(err)
	defer func() { _ = resp.Body.Close() }()
	var report struct {
		Total int `json:"total"`
	}
	ts.Check(json.NewDecoder(resp.Body).Decode(&report))
	return report.Total
}

// cmdControl sets a variable to the host that controls a cell: control VARIABLE SERVICE DATA-CENTRE.
func cmdControl(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, args, 3, "control VARIABLE SERVICE DATA-CENTRE")
	host := controller(ts, gw.ServiceName(args[1]), gw.DataCentreName(args[2]))
	if host == "" {
		ts.Fatalf("nobody controls %s in %s", args[1], args[2])
	}
	ts.Setenv(args[0], string(host))
}

// cmdSignal sends a signal to processes: signal KILL|STOP|CONT|TERM|HUP NAME...
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, args, 2, "signal KILL|STOP|CONT|TERM|HUP NAME...")
	signals := map[string]syscall.Signal{
		"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM,
		"HUP": syscall.SIGHUP,
	}
	sig, ok := signals[args[0]]
	if !ok {
		ts.Fatalf("unknown signal %s", args[0])
	}
	for _, name := range args[1:] {
		ts.Check(current(ts).scene.Signal(name, sig))
	}
}

// cmdRun starts processes that have ended: run NAME...
func cmdRun(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, args, 1, "run NAME...")
	for _, name := range args {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		// A killed process ends with an error, which is expected.
		_ = current(ts).scene.Wait(ctx, name)
		cancel()
		ts.Check(current(ts).scene.StartProcess(context.Background(), name))
	}
}

// cmdExits waits until a process has ended without error: exits NAME SECONDS.
func cmdExits(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, args, 2, "exits NAME SECONDS")
	ctx, cancel := context.WithTimeout(context.Background(), seconds(ts, args[1]))
	defer cancel()
	ts.Check(current(ts).scene.Wait(ctx, args[0]))
}

func seconds(ts *testscript.TestScript, text string) time.Duration {
	d, err := time.ParseDuration(text + "s")
	ts.Check(err)
	return d
}

// cmdServed waits until a key is served, and fails when that takes longer than given:
// served SECONDS HOST PATH TENANT [not SERVER].
func cmdServed(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, args, 4, "served SECONDS HOST PATH TENANT [not SERVER]")
	s := current(ts)
	not := gw.ServerName("")
	if len(args) == 6 && args[4] == "not" {
		not = gw.ServerName(args[5])
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), seconds(ts, args[0]))
	defer cancel()
	var last gwscene.Answer
	err := gwscene.Until(ctx, func(ctx context.Context) bool {
		a, err := s.scene.Request(ctx, gw.HostName(args[1]), http.MethodGet, args[2], args[3], "")
		if err == nil {
			last = a
		}
		return err == nil && a.Status == http.StatusOK && a.Server != not
	})
	if err != nil {
		ts.Fatalf("%s is not served within %s s; last answer %+v", args[2], args[0], last)
	}
	ts.Logf("%s served by %s after %d ms", args[2], last.Server, time.Since(start).Milliseconds())
}

// cmdAllServed waits until each of a number of keys has been served once, and fails when that takes longer than given:
// all-served SECONDS SERVICE HOST TENANT KEYS.
func cmdAllServed(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, args, 5, "all-served SECONDS SERVICE HOST TENANT KEYS")
	s := current(ts)
	keys, err := strconv.Atoi(args[4])
	ts.Check(err)
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), seconds(ts, args[0]))
	defer cancel()
	var group errgroup.Group
	for n := range keys {
		path := "/names/all-" + strconv.Itoa(n)
		group.Go(func() error {
			return gwscene.Until(ctx, func(ctx context.Context) bool {
				a, err := s.scene.Request(ctx, gw.HostName(args[2]), http.MethodGet, path, args[3], "")
				return err == nil && a.Status == http.StatusOK
			})
		})
	}
	if err := group.Wait(); err != nil {
		ts.Fatalf("not all of %d keys are served within %s s", keys, args[0])
	}
	ts.Logf("%d keys served after %d ms", keys, time.Since(start).Milliseconds())
}

// cmdRefused waits until a request is refused with a reason: refused SECONDS HOST PATH TENANT REASON.
func cmdRefused(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, args, 5, "refused SECONDS HOST PATH TENANT REASON")
	s := current(ts)
	ctx, cancel := context.WithTimeout(context.Background(), seconds(ts, args[0]))
	defer cancel()
	err := gwscene.Until(ctx, func(ctx context.Context) bool {
		a, err := s.scene.Request(ctx, gw.HostName(args[1]), http.MethodGet, args[2], args[3], "")
		return err == nil && a.Reason == gw.Reason(args[4])
	})
	if err != nil {
		ts.Fatalf("%s is not refused with %s within %s s", args[2], args[4], args[0])
	}
}

// cmdFault brings about a fault at a stand-in: fault store|SERVER PATH JSON, as in fault store /admin/down
// {"down":true}.
func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, args, 3, "fault store|SERVER PATH JSON")
	s := current(ts)
	address := s.scene.StoreAddress()
	if args[0] != "store" {
		server, ok := s.scene.Server(gw.ServerName(args[0]))
		if !ok {
			ts.Fatalf("no server %s", args[0])
		}
		address = server.Address
	}
	resp, err := http.Post("http://"+address+args[1], "application/json", strings.NewReader(args[2]))
	ts.Check(err)
	ts.Check(resp.Body.Close())
	if resp.StatusCode >= http.StatusBadRequest {
		ts.Fatalf("%s: %s", args[1], resp.Status)
	}
}
