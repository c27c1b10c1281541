package node

import (
	"maps"
	"slices"
	"sync"

	"citronbridge/decide"
	"citronbridge/platform"
	"citronbridge/repo"
)

// evacuationSet holds the data centres that the operator evacuates.
type evacuationSet struct {
	mu          sync.Mutex
	dataCentres map[string]bool
}

// sorted returns the evacuated data centres.
func (s *evacuationSet) sorted() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.dataCentres))
}

// set adds or removes a data centre. It returns the number of evacuated ones, and whether
// that has changed.
func (s *evacuationSet) set(dataCentre string, evacuated bool) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dataCentres[dataCentre] == evacuated {
		return len(s.dataCentres), false
	}
	if s.dataCentres == nil {
		s.dataCentres = map[string]bool{}
	}
	if evacuated {
		s.dataCentres[dataCentre] = true
	} else {
		delete(s.dataCentres, dataCentre)
	}
	return len(s.dataCentres), true
}

// handleEvacuations handles the evacuations among rows of the operator, and passes the set
// to the deciders on this host if it has changed.
func (h *Host) handleEvacuations(rows []repo.Row) {
	changed := false
	for _, r := range rows {
		d, ok := platform.ParseEvacuationKey(r.Key)
		switch {
		case !ok:
		case d == "":
			h.log.Warn().Str("key", r.Key).Msg("evacuation names no data centre; ignoring it")
		default:
			changed = h.setEvacuated(d, !r.Deleted) || changed
		}
	}
	if changed {
		h.forEachDecider((*decide.Decider).EvacuationsChanged)
	}
}

// setEvacuated records and logs a request to evacuate a data centre, or its withdrawal. It
// reports whether that changes anything.
func (h *Host) setEvacuated(dataCentre string, evacuated bool) bool {
	n, changed := h.evacuations.set(dataCentre, evacuated)
	if !changed {
		return false
	}
	h.meter.EvacuatedDataCentres.Set(float64(n))
	text := "evacuation of a data centre requested by the operator"
	if !evacuated {
		text = "evacuation of a data centre withdrawn by the operator"
	}
	h.log.Info().Str("dataCentre", dataCentre).Msg(text)
	return true
}

// pruneEvacuations ends the evacuations that are missing from a complete listing of the
// operator's rows. The store's history may no longer hold their deletion.
func (h *Host) pruneEvacuations(rows []repo.Row) {
	requested := map[string]bool{}
	for _, r := range rows {
		if d, ok := platform.ParseEvacuationKey(r.Key); ok && !r.Deleted {
			requested[d] = true
		}
	}
	changed := false
	for _, d := range h.evacuations.sorted() {
		if !requested[d] {
			changed = h.setEvacuated(d, false) || changed
		}
	}
	if changed {
		h.forEachDecider((*decide.Decider).EvacuationsChanged)
	}
}
