package node

import (
	"os"
	"runtime/debug"
	"time"

	"citronbridge/platform"
)

// settingsPollInterval is how often a host looks whether its settings file has
// changed, as it may without a signal.
const settingsPollInterval = time.Second

// memoryShare is the part of the memory's bound that the runtime aims for.
const memoryShare = 0.7

// fileVersion tells versions of a file apart.
type fileVersion struct {
	modTime time.Time
	size    int64
}

// statVersion returns the version of a file, or the zero version if it can't be
// looked at.
func statVersion(file string) fileVersion {
	i, err := os.Stat(file)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{i.ModTime(), i.Size()}
}

// Reload reads the settings file again, if it has changed or always, and puts
// what it says in force. Settings with faults change nothing.
func (h *Host) Reload(force bool) {
	h.reloading.Lock()
	defer h.reloading.Unlock()
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
		h.log.Warn().Str("name", s.Host).Interface("listen", s.Listen).Msg("name and addresses of a host hold from its next start")
		s.Host, s.Listen = old.Host, old.Listen
	}
	h.applySettings(s)
	h.poolMu.Lock()
	defer h.poolMu.Unlock()
	for _, c := range h.pools {
		c.notifyBounds(s.Bounds)
	}
	h.log.Info().Interface("bounds", s.Bounds).Str("store", s.Store.Address).Int64("memory", s.Limits.MemoryMB).Msg("settings are in force")
}

// applySettings puts settings in force.
func (h *Host) applySettings(s *platform.Settings) {
	maxAge := platform.Milliseconds(s.Bounds.RevokeMS) - revokeSlack
	h.gate.Limit(maxAge, min(maxReadyAge, maxAge))
	h.directStore.Move(s.Store.Address)
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.Limits.MemoryMB<<20)))
	}
	h.settings.Store(s)
}
