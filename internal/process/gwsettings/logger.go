package gwsettings

import (
	"io"
	"log/slog"

	"github.com/geraniumworks/geraniumworks/internal/process/gwlog"
)

// NewLog returns a log with the level and format of the settings that writes to w.
func (s Settings) NewLog(w io.Writer) *gwlog.Log {
	return gwlog.New(w, s.LogLevel(), s.Log.Format != "json")
}

// LogLevel returns the lowest level of the log lines that are written.
func (s Settings) LogLevel() slog.Level {
	return map[string]slog.Level{
		"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError,
	}[s.Log.Level]
}
