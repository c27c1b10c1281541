package node

import (
	"maps"
	"slices"
	"sync"

	"citronbridge/decide"
	"citronbridge/maint"
	"citronbridge/platform/cloud"
	"citronbridge/repo"
)

// waveSet holds the operator's maintenance waves by their numbers.
type waveSet struct {
	mu       sync.Mutex
	byNumber map[int64]maint.Wave
}

// sorted returns the waves in the order of their numbers.
func (w *waveSet) sorted() []maint.Wave {
	w.mu.Lock()
	defer w.mu.Unlock()
	var l []maint.Wave
	for _, n := range slices.Sorted(maps.Keys(w.byNumber)) {
		l = append(l, w.byNumber[n])
	}
	return l
}

// missingFrom returns the numbers of the waves that aren't in known.
func (w *waveSet) missingFrom(known map[int64]bool) []int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	var l []int64
	for n := range w.byNumber {
		if !known[n] {
			l = append(l, n)
		}
	}
	return l
}

// set adds or replaces the wave n, or removes it if v is nil.
func (w *waveSet) set(n int64, v *maint.Wave) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byNumber == nil {
		w.byNumber = map[int64]maint.Wave{}
	}
	if v == nil {
		delete(w.byNumber, n)
	} else {
		w.byNumber[n] = *v
	}
}

// handleWave handles a row. A maintenance wave is stored and passed to the deciders on this host.
func (h *Host) handleWave(r repo.Row) {
	n, ok := cloud.ParseWaveKey(r.Key)
	if !ok {
		return
	}
	if r.Deleted {
		h.removeWave(n)
		return
	}
	v, err := cloud.DecodeWave(n, r.Value)
	if err != nil {
		h.log.Error().Err(err).Msg("maintenance wave can't be decoded; ignoring it")
		return
	}
	v.Version = r.Version
	h.waves.set(n, &v)
	h.log.Info().Int64("wave", n).Int("machines", len(v.Machines)).Int("cap", v.Cap).Dur("within", v.Within).Msg("maintenance wave requested by the operator")
	h.forEachDecider(func(d *decide.Decider) { d.WaveRequested(v) })
}

// removeWave removes a wave that the operator has withdrawn.
func (h *Host) removeWave(n int64) {
	h.waves.set(n, nil)
	h.log.Info().Int64("wave", n).Msg("maintenance wave withdrawn by the operator")
	h.forEachDecider(func(d *decide.Decider) { d.WaveWithdrawn(n) })
}

// pruneWaves removes the waves that are missing from a complete listing of the
// operator's rows. The store's history may no longer hold their deletion.
func (h *Host) pruneWaves(rows []repo.Row) {
	known := map[int64]bool{}
	for _, r := range rows {
		if n, ok := cloud.ParseWaveKey(r.Key); ok {
			known[n] = true
		}
	}
	for _, n := range h.waves.missingFrom(known) {
		h.removeWave(n)
	}
}

// forEachDecider calls f for each decider on this host.
func (h *Host) forEachDecider(f func(*decide.Decider)) {
	h.poolMu.Lock()
	defer h.poolMu.Unlock()
	for _, c := range h.pools {
		if c.decider != nil {
			f(c.decider)
		}
	}
}
