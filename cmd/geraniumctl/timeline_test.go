package main

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against changes of state that are missing from the timeline, out of order, or mixed with requests, and against
// a time that cannot be read and is taken for none.
func TestTimeline(t *testing.T) {
	files, err := filepath.Glob("testdata/trace/*.log")
	require.NoError(t, err)
	timeline := func(args ...string) (string, string, int) {
		var out, errOut bytes.Buffer
		code := run(append(append([]string{"timeline"}, args...), files...), &out, &errOut)
		return out.String(), errOut.String(), code
	}
	text, _, code := timeline()
	require.Zero(t, code)
	require.Regexp(t, `(?s)session-expired.*session-started`, text)
	require.NotContains(t, text, "request ended")
	require.NotContains(t, text, "attempt ended")
	times := strings.Split(strings.TrimSpace(text), "\n")[1:]
	require.IsIncreasing(t, append([]string{""}, times...))

	text, _, code = timeline("--server", "s1")
	require.Zero(t, code)
	require.NotContains(t, text, "other-server")

	_, problem, code := timeline("--from", "25:61")
	require.NotZero(t, code)
	require.Contains(t, problem, "15:04:05")
	_, problem, code = timeline("--host", "no-such-host")
	require.NotZero(t, code)
	require.Contains(t, problem, "no change of state")
}
