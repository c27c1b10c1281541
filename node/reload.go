package node

import (
	"os"
	"time"

	"citronbridge/memory"
	"citronbridge/platform"
)

// settingsPollInterval is how often the settings file is checked for changes made without a signal.
const settingsPollInterval = time.Second

// fileVersion identifies a version of a file by its modification time and size.
type fileVersion struct {
	modTime time.Time
	size    int64
}

// statVersion returns the version of a file, or the zero version if os.Stat fails.
func statVersion(file string) fileVersion {
	i, err := os.Stat(file)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{i.ModTime(), i.Size()}
}

// Reload reads the settings file again if it has changed, or in any case with force, and applies
// the settings. A file with faults changes nothing. Some settings only change with a restart: the
// host's name, its listening addresses (also for metrics), the seeds, the limit of file
// descriptors, and the capacity that the host announces.
func (h *Host) Reload(force bool) {
	h.reloadMu.Lock()
	defer h.reloadMu.Unlock()
	v := statVersion(h.settingsFile)
	if h.settingsFile == "" || v == h.settingsVersion && !force {
		return
	}
	s, err := platform.LoadSettings(h.settingsFile)
	if err != nil {
		h.log.Error().Err(err).Msg("changed settings have faults; the former ones stay in force")
		h.settingsVersion = v
		return
	}
	h.settingsVersion = v
	old := h.current()
	if s.Host != old.Host || s.Listen != old.Listen {
		h.log.Warn().Str("name", s.Host).Interface("listen", s.Listen).Msg("changed host name and listen addresses take effect at the next start")
		s.Host, s.Listen = old.Host, old.Listen
	}
	h.applySettings(s)
	h.updateBudgets()
	h.poolMu.Lock()
	defer h.poolMu.Unlock()
	for _, c := range h.pools {
		c.notifyBounds(s.Bounds)
	}
	h.log.Info().Interface("bounds", s.Bounds).Str("store", s.Store.Address).Int64("memory", s.Limits.MemoryMB).Msg("settings are in force")
}

// applySettings makes s the settings in force.
func (h *Host) applySettings(s *platform.Settings) {
	maxAge := platform.Milliseconds(s.Bounds.RevokeMS) - revokeSlack
	h.gate.SetMaxAges(maxAge, min(maxReadyAge, maxAge))
	h.directStore.SetAddress(s.Store.Address)
	if s.Limits.MemoryMB > 0 {
		memory.SetLimit(s.Limits.MemoryMB << 20)
	}
	h.settings.Store(s)
}
