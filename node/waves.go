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

// waveSet are the operator's waves of maintenance.
type waveSet struct {
	mu       sync.Mutex
	byNumber map[int64]maint.Wave
}

// sorted returns the waves by their numbers.
func (w *waveSet) sorted() []maint.Wave {
	w.mu.Lock()
	defer w.mu.Unlock()
	var l []maint.Wave
	for _, n := range slices.Sorted(maps.Keys(w.byNumber)) {
		l = append(l, w.byNumber[n])
	}
	return l
}

// missingFrom returns the waves that aren't among some.
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

// set notes a wave, or that it was taken back.
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

// handleWave takes in a row of the operator that may be a wave, and tells the
// deciders on this host.
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
		h.log.Error().Err(err).Msg("wave of maintenance can't be read")
		return
	}
	h.waves.set(n, &v)
	h.log.Info().Int64("wave", n).Int("machines", len(v.Machines)).Int("cap", v.Cap).Dur("within", v.Within).Msg("wave of maintenance is asked for")
	h.forEachDecider(func(d *decide.Decider) { d.WaveRequested(v) })
}

// removeWave forgets a wave that was taken back.
func (h *Host) removeWave(n int64) {
	h.waves.set(n, nil)
	h.log.Info().Int64("wave", n).Msg("wave of maintenance is taken back")
	h.forEachDecider(func(d *decide.Decider) { d.WaveWithdrawn(n) })
}

// pruneWaves forgets the waves that a list of the operator's rows has no more:
// their removal may be in a history that is gone.
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
