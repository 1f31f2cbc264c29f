package main

import (
	"io"
	"log/slog"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/geraniumworks/geraniumworks/internal/process/gwhost"
	"github.com/geraniumworks/geraniumworks/internal/process/gwsettings"
)

// description is the text form of a prometheus.Desc, which has no accessors.
var description = regexp.MustCompile(
	`^Desc\{fqName: "([^"]+)", help: "((?:[^"\\]|\\.)*)", (?:unit: "[^"]*", )?` +
		`constLabels: \{(.*?)\}, variableLabels: \{(.*)\}\}$`)

// metricRows returns a table row for each of the project's own metrics that a host serves.
func metricRows(t *testing.T, settings gwsettings.Settings, options ...gwhost.Option) []string {
	t.Helper()
	log := settings.NewLog(io.Discard)
	options = append(options, gwhost.WithCollectors(log.Collector()))
	host, err := gwhost.New(settings, slog.New(slog.DiscardHandler), options...)
	require.NoError(t, err)
	descriptions := make(chan *prometheus.Desc)
	go func() {
		host.Metrics().Describe(descriptions)
		close(descriptions)
	}()
	var rows []string
	for d := range descriptions {
		m := description.FindStringSubmatch(d.String())
		require.NotNil(t, m, d.String())
		if !strings.HasPrefix(m[1], "geraniumworks_") {
			continue
		}
		var labels []string
		for _, l := range strings.Split(m[3]+","+m[4], ",") {
			if name, _, _ := strings.Cut(l, "="); name != "" {
				labels = append(labels, name)
			}
		}
		slices.Sort(labels)
		if len(labels) == 0 {
			labels = []string{"-"}
		}
		row := "| `" + m[1] + "` | " + strings.Join(labels, ", ") + " | " + m[2] + " |"
		if !slices.Contains(rows, row) {
			rows = append(rows, row)
		}
	}
	return rows
}

// Guards the operators' page: a metric that was added, renamed or given other labels must be explained there, and one
// that is gone must not be looked for.
func TestMetricsPageNamesEveryMetric(t *testing.T) {
	own, err := gwsettings.Load("../../samples/settings/holland-a-entry-1.json", gwsettings.Overrides{})
	require.NoError(t, err)
	onPlatform := own
	onPlatform.Platform.StoreEndpoint = "127.0.0.1:1"
	want := metricRows(t, own)
	for _, row := range metricRows(t, onPlatform, gwhost.WithBackend(platformBackend(onPlatform))) {
		if !slices.Contains(want, row) {
			want = append(want, row)
		}
	}
	slices.Sort(want)
	page, err := os.ReadFile("../../docs/METRICS.md")
	require.NoError(t, err)
	var got []string
	for _, line := range strings.Split(string(page), "\n") {
		// Rows of the table have three cells, and the name alone in the first one.
		if strings.HasPrefix(line, "| `geraniumworks_") && strings.Count(line, " | ") == 2 {
			got = append(got, line)
		}
	}
	require.Equal(t, want, got, "the table has to be:\n%s", strings.Join(want, "\n"))
}
