package launch

import (
	"maps"
	"slices"

	"citronbridge/event"
	"citronbridge/track"
)

// SetEvacuations replaces the set of data centres in which no task may start.
func (s *Launcher) SetEvacuations(dataCentres []string) {
	m := map[string]bool{}
	for _, d := range dataCentres {
		m[d] = true
	}
	if maps.Equal(m, s.Evacuated) {
		return
	}
	s.Evacuated, s.NeedsPlacement = m, true
	maps.DeleteFunc(s.announced, func(d string, _ bool) bool { return !m[d] })
}

// WithdrawStarts gives up the starts on workers in evacuated data centres. One that wasn't
// sent is cancelled. One that was sent and had no answer is stopped instead of sent again,
// which makes sure that the worker doesn't carry it out later. A gang is given up as a whole
// unless all of it was sent. Runs that have started continue.
func (s *Launcher) WithdrawStarts() {
	if len(s.Evacuated) == 0 {
		return
	}
	for _, w := range s.WorkersByID {
		if !s.InEvacuation(w) {
			continue
		}
		for _, r := range w.SortedRuns() {
			// An earlier run of the loop may have released it with its gang.
			if w.Runs[r.ID] == r && r.Task != nil && mustWithdraw(r) {
				s.withdraw(r)
			}
		}
	}
	s.announceEvacuations()
}

// mustWithdraw reports whether a run in an evacuated data centre is to be given up.
func mustWithdraw(r *track.Run) bool {
	switch {
	case r.Phase == track.Stopping:
		return false
	case unsent(r):
		return true
	case r.Phase == track.Starting && r.AwaitingAnswer && !r.InFlight:
		// A long-running task may be serving already. If its step lacks too many others, the
		// worker is asked first.
		return !exceedsMayMiss(r) || r.Worker.ReportedAt > r.UnansweredAt
	}
	st := r.Task.Step
	return st.Spec.Gang && slices.ContainsFunc(st.Tasks, func(t *track.Task) bool {
		return t.Run != nil && t.Run.N == r.N && unsent(t.Run)
	})
}

// unsent reports whether no start of the run was sent.
func unsent(r *track.Run) bool {
	return r.Phase == track.Recording || r.Phase == track.Starting && r.StartsSent == 0
}

// withdraw gives up the start of a run, and those of its gang.
func (s *Launcher) withdraw(r *track.Run) {
	s.Log(r.Task.Step.Job, r.Worker, r, "start withdrawn: the worker's data centre is evacuated; placing the task again")
	l := []*track.Run{r}
	if st := r.Task.Step; st.Spec.Gang {
		l = nil
		for _, t := range st.Tasks {
			if t.Run != nil && t.Run.N == r.N {
				l = append(l, t.Run)
			}
		}
		st.GangOrderedAt = 0
	}
	for _, o := range l {
		if o.Phase == track.Recording || o.Phase == track.Starting {
			s.Emit(event.StartWithdrawn{Reason: event.Evacuated})
		}
	}
	for _, o := range l {
		// Releasing the first of them may have stopped the others.
		if o.Worker.Runs[o.ID] == o {
			s.Stop(o)
		}
	}
}

// announceEvacuations logs the evacuations that have come into effect: no start that was sent
// to the data centre is unanswered.
func (s *Launcher) announceEvacuations() {
	if s.Limits.NoOrders || len(s.announced) == len(s.Evacuated) {
		return
	}
	unsettled := map[string]bool{}
	for _, w := range s.WorkersByID {
		if w.DataCentre == "" && w.MayHaveUnknownRuns() {
			// A former decider used it, and it may be in any data centre.
			return
		}
		if !s.InEvacuation(w) {
			continue
		}
		unsettled[w.DataCentre] = unsettled[w.DataCentre] || w.MayHaveUnknownRuns()
		for _, r := range w.Runs {
			if r.Phase == track.Starting || r.StartUnconfirmed && r.AwaitingAnswer {
				unsettled[w.DataCentre] = true
			}
		}
	}
	if s.announced == nil {
		s.announced = map[string]bool{}
	}
	for _, d := range slices.Sorted(maps.Keys(s.Evacuated)) {
		if !unsettled[d] && !s.announced[d] {
			s.announced[d] = true
			s.Log(nil, nil, nil, "evacuation of data centre "+d+" is in effect in this pool")
		}
	}
}
