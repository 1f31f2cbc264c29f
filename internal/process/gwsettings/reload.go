package gwsettings

import (
	"reflect"
	"strings"
)

// Changes names the settings that differ after the file was read again.
type Changes struct {
	// Applied took effect at once, AfterRestart do so when the process starts again.
	Applied      []string
	AfterRestart []string
}

// WithReloaded returns the settings of a running process after next was read: those that need no restart are taken from
// next, which are the log level and the times of a planned stop.
func (s Settings) WithReloaded(next Settings) (Settings, Changes) {
	merged := s
	merged.Log.Level = next.Log.Level
	merged.DrainMilliseconds, merged.StopMilliseconds = next.DrainMilliseconds, next.StopMilliseconds
	merged.KillAfter = next.KillAfter
	return merged, Changes{Applied: differences(s, merged), AfterRestart: differences(merged, next)}
}

// differences returns the names of the settings in which x and y differ.
func differences(x, y Settings) []string {
	var names []string
	from, to := reflect.ValueOf(x), reflect.ValueOf(y)
	for i := range from.NumField() {
		if !reflect.DeepEqual(from.Field(i).Interface(), to.Field(i).Interface()) {
			name, _, _ := strings.Cut(from.Type().Field(i).Tag.Get("json"), ",")
			names = append(names, name)
		}
	}
	return names
}
