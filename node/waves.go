package node

import (
	"maps"
	"slices"
	"sync"

	"citronbridge/decide"
	"citronbridge/platform/cloud"
	"citronbridge/repo"
	"citronbridge/upkeep"
)

// waves are the operator's waves of upkeep.
type waves struct {
	mu sync.Mutex
	by map[int64]upkeep.Wave
}

// list returns the waves by their numbers.
func (w *waves) list() []upkeep.Wave {
	w.mu.Lock()
	defer w.mu.Unlock()
	var l []upkeep.Wave
	for _, n := range slices.Sorted(maps.Keys(w.by)) {
		l = append(l, w.by[n])
	}
	return l
}

// set notes a wave, or that it was taken back.
func (w *waves) set(n int64, v *upkeep.Wave) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.by == nil {
		w.by = map[int64]upkeep.Wave{}
	}
	if v == nil {
		delete(w.by, n)
	} else {
		w.by[n] = *v
	}
}

// takeWave takes in a row of the operator that may be a wave, and tells the
// deciders on this host.
func (h *Host) takeWave(r repo.Row) {
	n, ok := cloud.ParseWaveKey(r.Key)
	if !ok {
		return
	}
	if r.Deleted {
		h.waves.set(n, nil)
		h.log.Info().Int64("wave", n).Msg("wave of upkeep is taken back")
		h.tellDeciders(func(d *decide.Decider) { d.WaveDropped(n) })
		return
	}
	v, err := cloud.DecodeWave(n, r.Value)
	if err != nil {
		h.log.Error().Err(err).Msg("wave of upkeep can't be read")
		return
	}
	h.waves.set(n, &v)
	h.log.Info().Int64("wave", n).Int("machines", len(v.Machines)).Int("cap", v.Cap).Dur("within", v.Within).Msg("wave of upkeep is asked for")
	h.tellDeciders(func(d *decide.Decider) { d.WaveAsked(v) })
}

// tellDeciders calls f for each decider on this host.
func (h *Host) tellDeciders(f func(*decide.Decider)) {
	h.poolMu.Lock()
	defer h.poolMu.Unlock()
	for _, c := range h.pools {
		if c.decider != nil {
			f(c.decider)
		}
	}
}
