package gwsettings

import (
	"io"
	"log/slog"

	"github.com/geraniumworks/geraniumworks/internal/process/gwlog"
)

// NewLog returns a log with the level and format of the settings that writes to w.
func (s Settings) NewLog(w io.Writer) *gwlog.Log {
	levels := map[string]slog.Level{
		"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError,
	}
	return gwlog.New(w, levels[s.Log.Level], s.Log.Format != "json")
}
