package node

import (
	"os"
	"runtime/debug"
	"time"

	"citronbridge/platform"
)

// settingsPeriod is how often a host looks whether its settings file has
// changed, as it may without a signal.
const settingsPeriod = time.Second

// memoryShare is the part of the memory's bound that the runtime aims for.
const memoryShare = 0.7

// fileVersion tells versions of a file apart.
type fileVersion struct {
	at   time.Time
	size int64
}

// versionOf returns the version of a file, or the zero version if it can't be
// looked at.
func versionOf(file string) fileVersion {
	i, err := os.Stat(file)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{i.ModTime(), i.Size()}
}

// Reload reads the settings file again, if it has changed or always, and puts
// what it says in force. Settings with faults change nothing.
func (h *Host) Reload(always bool) {
	h.reloading.Lock()
	defer h.reloading.Unlock()
	v := versionOf(h.file)
	if h.file == "" || v == h.read && !always {
		return
	}
	s, err := platform.LoadSettings(h.file)
	if err != nil {
		h.log.Error().Err(err).Msg("changed settings have faults; the former ones stay in force")
		h.read = v
		return
	}
	h.read = v
	old := h.now()
	if s.Host != old.Host || s.Listen != old.Listen {
		h.log.Warn().Str("name", s.Host).Interface("listen", s.Listen).Msg("name and addresses of a host hold from its next start")
		s.Host, s.Listen = old.Host, old.Listen
	}
	h.apply(s)
	h.poolMu.Lock()
	defer h.poolMu.Unlock()
	for _, c := range h.pools {
		c.tellBounds(s.Bounds)
	}
	h.log.Info().Interface("bounds", s.Bounds).Str("store", s.Store.Address).Int64("memory", s.Limits.MemoryMB).Msg("settings are in force")
}

// apply puts settings in force.
func (h *Host) apply(s *platform.Settings) {
	maxAge := platform.Milliseconds(s.Bounds.RevokeMS) - revokeSlack
	h.gate.Limit(maxAge, min(readyAge, maxAge))
	h.direct.SetAddress(s.Store.Address)
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.Limits.MemoryMB<<20)))
	}
	h.settings.Store(s)
}
