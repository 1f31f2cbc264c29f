package main

import (
	"bytes"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a request whose way through several hosts cannot be followed from their logs, and against lines
// of other requests, or of a later time, that are taken for its cause. The logs are in testdata/trace.
func TestTrace(t *testing.T) {
	files, err := filepath.Glob("testdata/trace/*.log")
	require.NoError(t, err)
	var out, errOut bytes.Buffer
	code := run(append([]string{"trace", "r-7"}, files...), &out, &errOut)
	require.Zero(t, code, errOut.String())
	text := out.String()
	require.Regexp(t, `(?s)cell changed.*event=session-expired.*server=s1.*`+
		`attempt ended.*reason=no-server.*request ended.*reason=no-owner`, text)
	require.NotContains(t, text, "r-8")
	require.NotContains(t, text, "session-started", "it came after the end of the request")
	require.NotContains(t, text, "other-server")

	out.Reset()
	require.NotZero(t, run(append([]string{"trace", "r-9"}, files...), &out, &errOut))
	require.Contains(t, errOut.String(), "r-9")
	require.NotZero(t, run([]string{"trace", "r-7", "testdata/trace/missing.log"}, &out, &errOut))
}
