package launch

import (
	"citronbridge/event"
	"citronbridge/track"
)

// IncarnationEnded handles the end of a worker's incarnation: another worker or
// incarnation answers at its address, or its machine has another worker.
func (s *Launcher) IncarnationEnded(w *track.Worker) {
	s.Log(nil, w, nil, "worker was replaced or has restarted; its runs are lost")
	w.Terminated, w.Synced, w.HoldInFlight, w.ReplacedAt = true, false, false, 0
	w.Inherited, w.MoreEnds = false, false
	w.PendingEnds = nil
	s.LoseRuns(w)
}

// LoseRuns releases all runs of a worker whose incarnation or lease has ended.
func (s *Launcher) LoseRuns(w *track.Worker) {
	for _, r := range w.SortedRuns() {
		s.Release(r, event.Lapsed, "")
	}
	s.NeedsPlacement = true
}

// AbandonOrders cancels the starts at a worker that has restarted, as the worker may
// be of another kind now. A start that was already sent may have been carried out by
// the new incarnation, whose next report shows whether it was. No stop needs to be
// repeated, as what it was to stop has ended with the former incarnation.
func (s *Launcher) AbandonOrders(w *track.Worker) {
	for _, r := range w.SortedRuns() {
		switch {
		case r.Phase == track.Starting && r.StartsSent > 0, r.Phase == track.Stopping:
			r.AwaitingAnswer, r.AnsweredAt = false, s.Now.Steady
		case r.Phase == track.Recording, r.Phase == track.Starting:
			s.Log(r.Task.Step.Job, w, r, "start cancelled: worker has restarted; placing the task again")
			s.Release(r, event.Stopped, "")
		}
	}
}
