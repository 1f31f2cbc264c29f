package gwrelay

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// Guards against a dispatcher that runs out of memory because many hosts send it bodies at the same time, against
// refusals without a time to return, and against memory that is not given back.
func TestBodiesOfOtherHostsAreBounded(t *testing.T) {
	b := bodies{limit: 250 << 10}
	upload := &http.Request{ContentLength: 60 << 10}
	var releases []func()
	for range 2 {
		release, refusal := b.reserve(upload)
		require.Nil(t, refusal)
		releases = append(releases, release)
	}
	release, refusal := b.reserve(upload)
	require.NotNil(t, refusal)
	require.Equal(t, gw.OutcomeNotRun, refusal.Reason.Outcome())
	require.Positive(t, refusal.RetryAfterMilliseconds)
	release()
	_, refusal = b.reserve(&http.Request{})
	require.Nil(t, refusal, "a request without a body")
	releases[0]()
	release, refusal = b.reserve(&http.Request{ContentLength: -1})
	require.Nil(t, refusal)
	release()
	releases[1]()
	require.Zero(t, b.held.Load())
}
