package gwhost

import (
	"github.com/geraniumworks/geraniumworks/internal/process/gwsettings"
)

// Reload reads the settings again, applies those that need no restart, and returns the settings in force. When they
// cannot be read or are invalid, nothing changes.
func (h *Host) Reload(load func() (gwsettings.Settings, error)) gwsettings.Settings {
	current := *h.settings.Load()
	next, err := load()
	if err != nil {
		h.log.Error("settings cannot be read, the ones before stay in force", "error", err)
		return current
	}
	merged, changes := current.WithReloaded(next)
	h.settings.Store(&merged)
	h.log.Info("settings reloaded", "applied", changes.Applied, "after-restart", changes.AfterRestart)
	return merged
}
