package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/lockedfile"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

var update = flag.Bool("update", false, "write golden output into the scripts")

// scriptTime is the time in audit trails of scripts.
var scriptTime = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

type scriptClock struct{}

func (scriptClock) Now() time.Time { return scriptTime }

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"geraniumctl": func() {
			openStore = func(address string) (gw.Store, error) {
				return fileStore(strings.TrimPrefix(address, "file://")), nil
			}
			clock = scriptClock{}
			main()
		},
	})
}

// Guards against a change of what operators see and of exit codes. Each script is a session of the tool with a store
// that can fail, and a host that answers with the files versions/1.json, versions/2.json and so on, one a request.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/script",
		UpdateScripts: *update,
		Setup: func(env *testscript.Env) error {
			host := httptest.NewServer(&scriptHost{dir: env.WorkDir})
			env.Defer(host.Close)
			samples, err := filepath.Abs("../../samples")
			env.Setenv("GERANIUMCTL_STORE", "file://"+filepath.Join(env.WorkDir, "store.json"))
			env.Setenv("GERANIUMCTL_AS", "anna")
			env.Setenv("GERANIUMCTL_FROM", "desk-1")
			env.Setenv("HOST_URL", host.URL)
			env.Setenv("SAMPLES", samples)
			return err
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			// exits N COMMAND... runs a command and compares its exit code.
			"exits": func(ts *testscript.TestScript, _ bool, args []string) {
				err := ts.Exec(args[1], args[2:]...)
				code := 0
				if err != nil {
					code = exitCodeOf(err)
				}
				if strconv.Itoa(code) != args[0] {
					ts.Fatalf("exit code %d, want %s", code, args[0])
				}
			},
			// fault OP KEY KIND makes the next call of get or swap whose key has the prefix fail.
			"fault": func(ts *testscript.TestScript, _ bool, args []string) {
				ts.Check(fileStore(ts.MkAbs("store.json")).change(func(s *storeFile) error {
					s.Faults = append(s.Faults, storeFault{args[0], args[1], args[2]})
					return nil
				}))
			},
			// late applies the writes whose answers were lost.
			"late": func(ts *testscript.TestScript, _ bool, _ []string) {
				ts.Check(fileStore(ts.MkAbs("store.json")).change(func(s *storeFile) error {
					for _, w := range s.Late {
						_, _ = s.apply(w)
					}
					s.Late = nil
					return nil
				}))
			},
			// replace KEY OLD NEW changes text in a stored value.
			"replace": func(ts *testscript.TestScript, _ bool, args []string) {
				ts.Check(fileStore(ts.MkAbs("store.json")).change(func(s *storeFile) error {
					v := s.Values[args[0]]
					v.Data = []byte(strings.Replace(string(v.Data), args[1], args[2], 1))
					s.Values[args[0]] = v
					return nil
				}))
			},
		},
	})
}

func exitCodeOf(err error) int {
	coder, ok := err.(interface{ ExitCode() int })
	if !ok {
		return -1
	}
	return coder.ExitCode()
}

// scriptHost is the operators' listener of a host.
type scriptHost struct {
	dir   string
	mu    sync.Mutex
	calls int
}

func (h *scriptHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/versions":
		h.mu.Lock()
		defer h.mu.Unlock()
		names, _ := filepath.Glob(filepath.Join(h.dir, "versions", "*.json"))
		sort.Strings(names)
		if len(names) == 0 {
			http.Error(w, "host is not ready", http.StatusServiceUnavailable)
			return
		}
		http.ServeFile(w, r, names[min(h.calls, len(names)-1)])
		h.calls++
	case "/v1/owner":
		q := r.URL.Query()
		fmt.Fprintf(w, `{"service": %q, "owner": "server-3", "characters-in-key": %d, "tenant": %q}`,
			q.Get("service"), len([]rune(q.Get("key"))), q.Get("tenant"))
	case "/v1/where":
		q := r.URL.Query()
		http.ServeFile(w, r, filepath.Join(h.dir, "where", q.Get("host")+q.Get("bytes")+".json"))
	default:
		http.NotFound(w, r)
	}
}

// fileStore is a store in a file, so that the commands of a script share it. The file also holds the faults to come.
type fileStore string

type storeFault struct{ Op, Key, Kind string }

type storeWrite struct {
	Key      string
	Expected gw.StoreVersion
	Data     []byte
}

type storeFile struct {
	Values map[string]gw.StoredValue
	Faults []storeFault
	Late   []storeWrite
}

func (s *storeFile) apply(w storeWrite) (gw.StoreVersion, error) {
	if s.Values[w.Key].Version != w.Expected {
		return 0, gw.ErrConflict
	}
	s.Values[w.Key] = gw.StoredValue{Key: w.Key, Version: w.Expected + 1, Data: w.Data}
	return w.Expected + 1, nil
}

func (s *storeFile) fault(op, key string) string {
	for i, f := range s.Faults {
		if f.Op == op && strings.HasPrefix(key, f.Key) {
			s.Faults = append(s.Faults[:i:i], s.Faults[i+1:]...)
			return f.Kind
		}
	}
	return ""
}

// change reads the file, calls f, and writes the file, also when f fails.
func (p fileStore) change(f func(*storeFile) error) error {
	var failed error
	err := lockedfile.Transform(string(p), func(data []byte) ([]byte, error) {
		s := storeFile{Values: map[string]gw.StoredValue{}}
		if len(data) > 0 {
			if err := json.Unmarshal(data, &s); err != nil {
				return nil, err
			}
		}
		failed = f(&s)
		return json.Marshal(s)
	})
	if err != nil {
		return err
	}
	return failed
}

func (p fileStore) Get(_ context.Context, key string) (gw.StoredValue, error) {
	var value gw.StoredValue
	err := p.change(func(s *storeFile) error {
		if s.fault("get", key) != "" {
			return gw.ErrStoreUnavailable
		}
		var ok bool
		if value, ok = s.Values[key]; !ok {
			return gw.ErrNotFound
		}
		return nil
	})
	return value, err
}

func (p fileStore) CompareAndSwap(
	_ context.Context, key string, expected gw.StoreVersion, data []byte,
) (gw.StoreVersion, error) {
	var version gw.StoreVersion
	err := p.change(func(s *storeFile) error {
		w := storeWrite{key, expected, data}
		switch s.fault("swap", key) {
		case "down":
			return gw.ErrStoreUnavailable
		case "lost-applied":
			_, _ = s.apply(w)
			return gw.ErrWriteUnknown
		case "lost-late-down":
			// The write is applied later, and no attempt of the tool can read the store back.
			s.Late = append(s.Late, w)
			for range 8 {
				s.Faults = append(s.Faults, storeFault{"get", key, "down"})
			}
			return gw.ErrWriteUnknown
		}
		var err error
		version, err = s.apply(w)
		return err
	})
	return version, err
}

func (p fileStore) List(context.Context, string) ([]gw.StoredValue, error) {
	return nil, gw.ErrStoreUnavailable
}

func (p fileStore) Watch(context.Context, string, gw.StoreVersion) (gw.StoredValue, error) {
	return gw.StoredValue{}, gw.ErrStoreUnavailable
}

// scriptedVersions answers with one listing after the other, and with the last one from then on.
type scriptedVersions struct {
	answers [][]HostVersion
	calls   int
}

func (v *scriptedVersions) InForce(context.Context) ([]HostVersion, error) {
	answer := v.answers[min(v.calls, len(v.answers)-1)]
	v.calls++
	if answer == nil {
		return nil, gw.ErrStoreUnavailable
	}
	return answer, nil
}

// Guards against a wait that ends before the last host has the version, that takes no host for all hosts, or that does
// not survive a host which cannot be asked.
func TestWaitEndsWhenAllHostsHaveTheVersion(t *testing.T) {
	var notes []string
	note := func(format string, args ...any) { notes = append(notes, fmt.Sprintf(format, args...)) }
	versions := &scriptedVersions{answers: [][]HostVersion{
		{}, nil, {{"h1", "a", 4}, {"h2", "b", 3}}, {{"h1", "a", 4}, {"h2", "b", 3}}, {{"h1", "a", 4}, {"h2", "b", 5}},
	}}
	require.NoError(t, waitInForce(context.Background(), versions, 4, time.Millisecond, note))
	require.Equal(t, []string{
		"version 4 is in force on 0 of 0 hosts",
		"hosts cannot be asked: store is unavailable",
		"version 4 is in force on 1 of 2 hosts, not on h2 (3)",
		"version 4 is in force on 2 of 2 hosts",
	}, notes)

	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	err := waitInForce(ctx, &scriptedVersions{answers: versions.answers[2:3]}, 4, time.Millisecond, note)
	require.ErrorIs(t, err, errNotInForce)
	require.Equal(t, exitNotInForce, exitCode(err))
}
