package launch

import (
	"citronbridge/event"
	"citronbridge/track"
)

// IncarnationEnded takes in that a worker's life is over and another one answers at its
// address.
func (s *Launcher) IncarnationEnded(w *track.Worker) {
	s.Note(nil, w, nil, "worker's life is over")
	w.Gone, w.Synced, w.Holding, w.Replaced = true, false, false, 0
	w.Inherited = false
	w.Ends = nil
	s.LoseRuns(w)
}

// LoseRuns takes all runs off a worker, whose life or lease is over.
func (s *Launcher) LoseRuns(w *track.Worker) {
	for _, r := range w.SortedRuns() {
		s.Release(r, event.Lapsed, "")
	}
	s.Changed = true
}

// AbandonStarts gives up the starts at a worker that has restarted: that may be of
// another kind now. One that was sent may have been carried out by the new life,
// which tells whether it has it.
func (s *Launcher) AbandonStarts(w *track.Worker) {
	for _, r := range w.SortedRuns() {
		switch {
		case r.Phase == track.Starting && r.Tries > 0:
			r.Waiting, r.Settled = false, s.Now.Steady
		case r.Phase == track.Marking, r.Phase == track.Starting:
			s.Note(r.Task.Step.Job, w, r, "start given up: worker has restarted")
			s.Release(r, event.Stopped, "")
		}
	}
}
