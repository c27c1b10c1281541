package launch

import (
	"time"

	"citronbridge/track"
)

// evacSlack is kept from the time at which a worker may leave, beside that of a
// stop: for the order to get there, and for the end to be heard of. A worker may
// leave right behind an end, whose answer is lost then.
const evacSlack = 500 * time.Millisecond

// Evacuate stops what still runs on a draining worker before that may leave, and
// returns when to look again.
func (s *Launcher) Evacuate(w *track.Worker) time.Duration {
	idle := s.Now.Steady + time.Second
	at, known := w.LeavesAt()
	if !known || len(w.Runs) == 0 || s.Limits.NoOrders {
		return idle
	}
	at -= s.Config.StopTime + evacSlack
	if s.Now.Steady < at {
		return min(idle, at)
	}
	for _, r := range w.SortedRuns() {
		if r.Task == nil || r.Phase == track.Stopping {
			continue
		}
		s.Log(r.Task.Step.Job, w, r, "stopped as its worker leaves")
		s.Stop(r)
	}
	return idle
}
