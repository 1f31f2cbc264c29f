package gwreach

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// Guards against a host that takes the loss of some servers for the loss of its own path, and against one that does not
// notice the latter. The script is in testdata/evidence.txt.
func TestEvidence(t *testing.T) {
	data, err := os.ReadFile("testdata/evidence.txt")
	require.NoError(t, err)
	start := time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)
	now := start
	var e evidence
	for n, line := range strings.Split(string(data), "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		where := fmt.Sprintf("line %d: %s", n+1, line)
		switch words[0] {
		case "at":
			ms, err := strconv.Atoi(words[1])
			require.NoError(t, err, where)
			now = start.Add(time.Duration(ms) * time.Millisecond)
			if words[2] == "answer" {
				e.answered(now, words[3])
			} else {
				e.failed(now, gw.ServerName(words[3]), words[4])
			}
		case "suspicious":
			require.Equal(t, words[1] == "yes", e.suspicious(now), where)
		case "addresses":
			require.Equal(t, words[1:], e.addresses(checkedServers), where)
		default:
			t.Fatal(where)
		}
	}
}
