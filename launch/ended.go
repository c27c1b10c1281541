package launch

import (
	"citronbridge/event"
	"citronbridge/track"
)

// Ended takes in that a worker's life is over and another one answers at its
// address.
func (s *Launcher) Ended(w *track.Worker) {
	s.Log(nil, w, nil, "worker's life is over")
	w.Terminated, w.Synced, w.HoldInFlight, w.ReplacedAt = true, false, false, 0
	w.Inherited = false
	w.PendingEnds = nil
	s.Lose(w)
}

// Lose takes all runs off a worker, whose life or lease is over.
func (s *Launcher) Lose(w *track.Worker) {
	for _, r := range w.SortedRuns() {
		s.Release(r, event.Lapsed, "")
	}
	s.NeedsPlacement = true
}

// GiveUpStarts gives up the starts at a worker that has restarted: that may be of
// another kind now. One that was sent may have been carried out by the new life,
// which tells whether it has it.
func (s *Launcher) GiveUpStarts(w *track.Worker) {
	for _, r := range w.SortedRuns() {
		switch {
		case r.Phase == track.Starting && r.StartsSent > 0:
			r.AwaitingAnswer, r.AnsweredAt = false, s.Now.Steady
		case r.Phase == track.Recording, r.Phase == track.Starting:
			s.Log(r.Task.Step.Job, w, r, "start given up: worker has restarted")
			s.Release(r, event.Stopped, "")
		}
	}
}
