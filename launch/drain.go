package launch

import (
	"time"

	"citronbridge/track"
)

// drainSlack is the time that draining a worker allows, in
// addition to that of a stop, for the order to arrive and for the end of the task to
// be reported. A worker may leave immediately after a task's end, and the report of
// the end is lost then.
const drainSlack = 500 * time.Millisecond

// endMargin is how long before its worker may leave a gang must be expected to end to be left
// to end there. It covers the rounding of the reported progress.
const endMargin = 300 * time.Millisecond

// DrainStopAt returns when a run is to be stopped on a draining worker that may leave at a
// time, or false if the run is left to end there.
//
// It answers the load of workers that are replaced one after the other while jobs of several
// workers run: a run that can't be done in time and doesn't save its progress is stopped at
// once, as all further work of it, and of its gang, would be thrown away. A gang that its
// progress shows to be done just in time is left alone if one of its members runs on a worker
// that stays: its end is reported there too, so it isn't lost with the worker that leaves.
func DrainStopAt(now, leavesAt, stopTime time.Duration, r *track.Run) (time.Duration, bool) {
	last := leavesAt - stopTime - drainSlack
	if r.Task == nil || r.Task.Step.Spec.LongRunning || r.Task.Step.Spec.Checkpoint {
		return last, true
	}
	end, known := r.ExpectedEnd()
	switch {
	case !known || end <= last:
		return last, true
	case r.Rate > 0 && end <= leavesAt-endMargin && r.Task.Step.RunsBeyondDraining():
		return 0, false
	}
	return min(now, last), true
}

// Drain stops what still runs on a draining worker before the worker may leave. It returns
// the steady time by which it is to be called again.
func (s *Launcher) Drain(w *track.Worker) time.Duration {
	nextCheck := s.Now.Steady + time.Second
	leavesAt, known := w.LeavesAt()
	if !known || len(w.Runs) == 0 || s.Limits.NoOrders {
		return nextCheck
	}
	for _, r := range w.SortedRuns() {
		if r.Task == nil || r.Phase == track.Stopping {
			continue
		}
		at, stop := DrainStopAt(s.Now.Steady, leavesAt, s.Config.StopTime, r)
		switch {
		case !stop:
		case s.Now.Steady < at:
			nextCheck = min(nextCheck, at)
		default:
			s.Log(r.Task.Step.Job, w, r, "stopping run: its draining worker is about to leave")
			s.Stop(r)
		}
	}
	return nextCheck
}
