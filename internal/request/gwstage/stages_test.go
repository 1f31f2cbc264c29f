package gwstage

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
)

// Guards against times that are counted under another stage or in another unit than seconds.
func TestTimeIsCountedUnderItsStage(t *testing.T) {
	registry := prometheus.NewRegistry()
	times := New(registry, "relay", "service")
	times.Since(time.Now().Add(-250*time.Millisecond), StageQueue, "s")
	times.Since(time.Now(), StageServer, "s")
	families, err := registry.Gather()
	require.NoError(t, err)
	require.Len(t, families, 1)
	require.Equal(t, "geraniumworks_relay_stage_seconds", families[0].GetName())
	sums := map[string]float64{}
	for _, m := range families[0].GetMetric() {
		for _, l := range m.GetLabel() {
			if l.GetName() == "stage" {
				require.EqualValues(t, 1, m.GetHistogram().GetSampleCount())
				sums[l.GetValue()] = m.GetHistogram().GetSampleSum()
			}
		}
	}
	require.InDelta(t, 0.25, sums["queue"], 0.2)
	require.Less(t, sums["server"], 0.2)
}

func BenchmarkSince(b *testing.B) {
	times := New(nil, "relay", "service")
	start := time.Now()
	for b.Loop() {
		times.Since(start, StageQueue, "s")
	}
}
