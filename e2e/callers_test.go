package e2e

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/standin/gwscene"
)

const (
	// callersSettings is the settings file of the host under test: the smallest machine, with few descriptors.
	callersSettings = `{"memory-megabytes": 144, "descriptors": 700}`
	// callersMaxBytes is the memory of the smallest entry host. It bounds the resident size of the process.
	callersMaxBytes = 144 << 20
	// callersMaxDescriptors bounds the open descriptors of the process.
	callersMaxDescriptors = 700
	// callersTime is how long the callers of a case go on, less than the deadline of their requests.
	callersTime = 3 * time.Second
	// callersConnections is the number of connections of a case, callersMany that of a case that aims at descriptors.
	callersConnections = 128
	callersMany        = 900
	// callersPause is the time between the bytes of callers that send them one at a time.
	callersPause = 5 * time.Millisecond
)

// callersOrdinary is a request that is served, callersClaim one with a body whose length follows.
const (
	callersOrdinary = "GET /documents/1 HTTP/1.1\r\nHost: x\r\n" + gw.HeaderTenant + ": members\r\n\r\n"
	callersClaim    = "POST /claims/1 HTTP/1.1\r\nHost: x\r\n" + gw.HeaderTenant +
		": members\r\nContent-Length: %d\r\n\r\n"
)

// sendCaller sends what one caller sends until the connection fails or ctx ends.
type sendCaller func(ctx context.Context, conn net.Conn)

// sendThen returns a caller that sends first, and then again and again what follows.
func sendThen(first string, again []byte, pause time.Duration) sendCaller {
	return func(ctx context.Context, conn net.Conn) {
		if _, err := io.WriteString(conn, first); err != nil {
			return
		}
		for len(again) > 0 && ctx.Err() == nil {
			if _, err := conn.Write(again); err != nil {
				return
			}
			if pause > 0 {
				time.Sleep(pause)
			}
		}
	}
}

// sendBytes returns a caller that sends first at once, and the rest one byte at a time.
func sendBytes(first, rest string) sendCaller {
	return func(ctx context.Context, conn net.Conn) {
		_, err := io.WriteString(conn, first)
		for i := 0; i < len(rest) && err == nil && ctx.Err() == nil; i++ {
			_, err = io.WriteString(conn, rest[i:i+1])
			time.Sleep(callersPause)
		}
	}
}

// callersHead returns the head of a request of legal size, 16 KiB, that consists of lines. line returns the nth line.
func callersHead(line func(n int) string) string {
	const legal = 16 << 10
	var head strings.Builder
	head.WriteString(strings.TrimSuffix(callersOrdinary, "\r\n"))
	for n := 0; ; n++ {
		next := line(n)
		if next == "" || head.Len()+len(next)+len("\r\n") > legal {
			return head.String() + "\r\n"
		}
		head.WriteString(next)
	}
}

// tinyLine returns the nth of 2,401 lines of five bytes with different names.
func tinyLine(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_|"
	if n >= len(letters)*len(letters) {
		return ""
	}
	return string(letters[n/len(letters)]) + string(letters[n%len(letters)]) + ":\r\n"
}

// unusualLine returns the nth line of a head with folded lines, line ends without CR, repeated names and long names.
func unusualLine(n int) string {
	return []string{"a:\n", "a:\r\n", " \r\n", "A:\t\n", "\t\n", fmt.Sprintf("X-%x: \n", n)}[n%6]
}

// Guards against a process that runs out of memory or descriptors because of what callers send: heads of legal size
// with thousands of lines took it beyond the memory of its machine. Cases run one at a time, and each has a process of
// its own, since the resident size is that of the whole case.
func TestCallersStayWithinTheMemoryOfAHost(t *testing.T) {
	tiny, unusual := callersHead(tinyLine), callersHead(unusualLine)
	malformed := callersHead(func(n int) string { return []string{"a:\r\n", "b :\r\n", ":\r\n", "c\x00:\r\n"}[n%4] })
	body := strings.Repeat("b", 500<<10)
	for _, each := range []struct {
		name        string
		connections int
		send        sendCaller
	}{
		{"many tiny header lines", callersMany, sendThen(callersOrdinary, []byte(tiny), 0)},
		{"unusual header lines", callersMany, sendThen(callersOrdinary, []byte(unusual), 0)},
		{"malformed header lines", callersMany, sendThen(callersOrdinary, []byte(malformed), 0)},
		{"heads that exceed the limit", callersConnections, sendThen(callersOrdinary+strings.TrimSuffix(tiny, "\r\n"),
			bytes.Repeat([]byte("x: y\r\n"), 1<<10), 0)},
		{"heads that never end", callersMany, sendThen(strings.TrimSuffix(tiny, "\r\n"), []byte("x: y\r\n"),
			100*time.Millisecond)},
		{"empty lines", callersConnections, sendThen("", bytes.Repeat([]byte("\r\n"), 1<<10), 0)},
		{"empty lines behind a request", callersConnections, sendThen(callersOrdinary, bytes.Repeat([]byte("\n"), 1<<10), 0)},
		{"bytes one at a time", callersMany, sendBytes("", tiny)},
		{"requests behind an unread response", callersMany, sendThen(callersOrdinary, []byte(callersOrdinary), 0)},
		{"responses that are not read", callersMany, sendThen(callersOrdinary, nil, 0)},
		{"bodies one byte at a time", callersMany, sendBytes(fmt.Sprintf(callersClaim, len(body)), body)},
		{"ends of bodies one byte at a time", 2 * callersConnections, sendBytes(
			fmt.Sprintf(callersClaim, len(body))+body[:len(body)-4000], body[:4000])},
	} {
		t.Run(each.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			s, host := callersScene(ctx, t, strings.ReplaceAll(each.name, " ", "-"))
			descriptors := runCallers(ctx, t, s, host, each.connections, each.send)
			peak, err := s.PeakBytes(string(host.Name))
			require.NoError(t, err, "the process has ended")
			t.Logf("peak of %d KB and %d descriptors", peak>>10, descriptors)
			assert.Less(t, peak, int64(callersMaxBytes))
			assert.Less(t, descriptors, callersMaxDescriptors)
			ordinaryRequest(ctx, t, "http://"+host.CallerAddress+"/names/zeemeeuw")
		})
	}
}

// ordinaryRequest sends one request and requires a response, however long the machine takes for it.
func ordinaryRequest(ctx context.Context, t *testing.T, url string) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	require.NoError(t, err)
	req.Header.Set(gw.HeaderTenant, "members")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err, "an ordinary request got no response")
	require.NoError(t, resp.Body.Close())
}

// callersScene starts a small deployment and returns the host under test. Servers of documents answer without end.
func callersScene(ctx context.Context, t *testing.T, name string) (*gwscene.Scene, gw.HostEntry) {
	t.Helper()
	log, err := os.Create(filepath.Join(logFolder(), "callers-"+name+".log"))
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, log.Close()) })
	settings := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(settings, []byte(callersSettings), 0o600))
	plan := plan()
	plan.Hosts, plan.HostFlags = 1, []string{"--settings", settings}
	for i := range plan.Regions {
		plan.Regions[i].DataCentres = plan.Regions[i].DataCentres[:1]
	}
	s := gwscene.New(plan, t.TempDir(), func(name string) string { return filepath.Join(programs, name) }, log)
	require.NoError(t, s.Start(ctx))
	t.Cleanup(s.Stop)
	require.NoError(t, gwscene.Until(ctx, s.Live))
	publishFrom(ctx, t, s, "testdata/callers")
	require.NoError(t, gwscene.Until(ctx, s.Owned))
	for _, server := range s.Listing().Servers {
		if server.Service == "documents" {
			require.NoError(t, fault(ctx, server.Address, "answer-endlessly", `{"milliseconds":20}`))
		}
	}
	return s, s.Listing().Hosts[0]
}

// runCallers runs callers that never read for callersTime, ends the endless answers, and returns the largest number of
// descriptors that the host had.
func runCallers(
	ctx context.Context, t *testing.T, s *gwscene.Scene, host gw.HostEntry, connections int, send sendCaller,
) int {
	t.Helper()
	sending, end := context.WithTimeout(ctx, callersTime)
	defer end()
	var callers sync.WaitGroup
	for range connections {
		callers.Go(func() {
			conn, err := new(net.Dialer).DialContext(sending, "tcp", host.CallerAddress)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			// Ends a write that waits because the host reads no more.
			defer context.AfterFunc(sending, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })()
			send(sending, conn)
			<-sending.Done()
		})
	}
	most := 0
	for sending.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		// A process that has ended has no descriptors. Its memory is looked at afterwards, and shows that.
		n, err := s.Descriptors(string(host.Name))
		if err == nil {
			most = max(most, n)
		}
	}
	callers.Wait()
	for _, server := range s.Listing().Servers {
		require.NoError(t, fault(ctx, server.Address, "reset", `{}`))
	}
	return most
}
