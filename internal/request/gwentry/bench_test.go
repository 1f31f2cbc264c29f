package gwentry_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwpool"
)

// cpuTime returns the CPU time that the process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRequest measures a POST of 1 KiB whose answer repeats the body. Caller and server run in the same process,
// so the result of "direct" has to be subtracted from the others.
func BenchmarkRequest(b *testing.B) {
	body := bytes.Repeat([]byte("x"), 1024)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(gw.HeaderRequestID, r.Header.Get(gw.HeaderRequestID))
		data, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(data)
	}))
	b.Cleanup(backend.Close)
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	bare := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out, err := http.NewRequestWithContext(r.Context(), r.Method, backend.URL+r.URL.Path, r.Body)
		if err != nil {
			panic(err)
		}
		out.ContentLength = r.ContentLength
		resp, err := transport.RoundTrip(out)
		if err != nil {
			panic(err)
		}
		defer func() { _ = resp.Body.Close() }()
		w.Header().Set("Content-Length", resp.Header.Get("Content-Length"))
		_, _ = io.Copy(w, resp.Body)
	}))
	b.Cleanup(bare.Close)
	hop := func(local bool) *system {
		sys := newSystem(b, setup{
			local: local, servers: map[gw.ServerName]string{"s1": backend.Listener.Addr().String()},
		})
		sys.dispatcher.servers["s1"] = gw.DispatchServer{
			Name: "s1", Address: backend.Listener.Addr().String(), Slots: 64, Connections: 64,
		}
		return sys
	}
	local, relayed := hop(true), hop(false)
	for _, c := range []struct{ name, url string }{
		{"direct", backend.URL}, {"bare", bare.URL}, {"local", local.url}, {"relay", relayed.url},
	} {
		b.Run(c.name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
			defer client.CloseIdleConnections()
			b.ReportAllocs()
			before := cpuTime(b)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					post(b, client, c.url, body)
				}
			})
			b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
			for _, sys := range []*system{local, relayed} {
				sys.dispatcher.results, sys.dispatcher.asked, sys.router.calls = nil, nil, nil
			}
		})
	}
}

func post(b *testing.B, client *http.Client, url string, body []byte) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url+"/claims/1", bytes.NewReader(body))
	if err != nil {
		b.Error(err)
		return
	}
	r.Header.Set(gw.HeaderTenant, "harbour")
	resp, err := client.Do(r)
	if err != nil {
		b.Error(err)
		return
	}
	n, err := io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if err != nil || n != int64(len(body)) || resp.StatusCode != http.StatusOK {
		b.Errorf("status %d, %d bytes, %v", resp.StatusCode, n, err)
	}
}

// memory returns the bytes in use by heap and stacks.
func memory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// BenchmarkIdleConnections measures the memory of 2,000 idle connections: of the pool to a server, and of callers to an
// entry host. The remote ends of the connections are in the same process; "raw" measures their share.
func BenchmarkIdleConnections(b *testing.B) {
	const count = 2000
	report := func(b *testing.B, open func() (closeAll func())) {
		for range b.N {
			before := memory()
			closeAll := open()
			used := memory() - before
			b.ReportMetric(used/count, "B/conn")
			b.ReportMetric(used/(1<<20), "MiB")
			closeAll()
		}
	}
	server := rawServer(b, func(int64, *http.Request) string { return okAnswer })
	b.Run("raw", func(b *testing.B) {
		report(b, func() func() { return openRaw(b, server, count) })
	})
	b.Run("pool", func(b *testing.B) {
		report(b, func() func() {
			pool := gwpool.New(gwpool.WithIdleMilliseconds(60_000))
			conns := make([]*gwpool.Conn, count)
			for i := range conns {
				conns[i] = usePooled(b, pool, server, count)
			}
			for _, c := range conns {
				c.Release()
			}
			require.Equal(b, count, pool.Idle(server))
			return pool.Close
		})
	})
	sys := newSystem(b, setup{local: true, servers: map[gw.ServerName]string{"s1": server}})
	b.Run("entry", func(b *testing.B) {
		report(b, func() func() { return openRaw(b, sys.server.Listener.Addr().String(), count) })
	})
}

// usePooled takes a new connection from the pool and runs one request on it.
func usePooled(b *testing.B, pool *gwpool.Pool, server string, limit int) *gwpool.Conn {
	c, err := pool.Acquire(context.Background(), server, limit)
	require.NoError(b, err)
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://x/", http.NoBody)
	require.NoError(b, err)
	resp, err := c.RoundTrip(r, 1000)
	require.NoError(b, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(b, err)
	require.NoError(b, resp.Body.Close())
	return c
}

// openRaw opens connections, runs one request on each and returns a function that closes them.
func openRaw(b *testing.B, address string, count int) func() {
	conns := make([]net.Conn, count)
	in := bufio.NewReaderSize(strings.NewReader(""), 4096)
	for i := range conns {
		conn, err := net.Dial("tcp", address)
		require.NoError(b, err)
		_, err = fmt.Fprint(conn, "GET /claims/1 HTTP/1.1\r\nHost: x\r\nGw-Tenant: harbour\r\n\r\n")
		require.NoError(b, err)
		in.Reset(conn)
		resp, err := http.ReadResponse(in, nil)
		require.NoError(b, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(b, err)
		require.NoError(b, resp.Body.Close())
		conns[i] = conn
	}
	return func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}
}
