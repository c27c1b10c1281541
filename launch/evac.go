package launch

import (
	"time"

	"citronbridge/track"
)

// evacuationSlack is the time that the evacuation of a draining worker allows, in
// addition to that of a stop, for the order to arrive and for the end of the task to
// be reported. A worker may leave immediately after a task's end, and the report of
// the end is lost then.
const evacuationSlack = 500 * time.Millisecond

// Evacuate stops what still runs on a draining worker shortly before the worker may
// leave. It returns the steady time by which it is to be called again.
func (s *Launcher) Evacuate(w *track.Worker) time.Duration {
	nextCheck := s.Now.Steady + time.Second
	at, known := w.LeavesAt()
	if !known || len(w.Runs) == 0 || s.Limits.NoOrders {
		return nextCheck
	}
	at -= s.Config.StopTime + evacuationSlack
	if s.Now.Steady < at {
		return min(nextCheck, at)
	}
	for _, r := range w.SortedRuns() {
		if r.Task == nil || r.Phase == track.Stopping {
			continue
		}
		s.Log(r.Task.Step.Job, w, r, "stopping run: its draining worker is about to leave")
		s.Stop(r)
	}
	return nextCheck
}
