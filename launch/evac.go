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

// evacuationSlop is how much later than the worker's departure a run may be expected to end
// and still be left to end there, as workers tend to stay longer than announced.
const evacuationSlop = 300 * time.Millisecond

// EvacuateAt returns when a run on a draining worker is to be stopped that may leave at a
// time, or false if it is left to end there.
//
// It answers the load of workers that are replaced one after the other while jobs of several
// workers run: a run that can't be done in time and doesn't save its progress is stopped at
// once, as all further work of it, and of its gang, would be thrown away. A gang that can be
// done in time is left alone: its end is reported by all its workers, so it isn't lost with
// one of them.
func EvacuateAt(now, leavesAt, stopTime time.Duration, r *track.Run) (time.Duration, bool) {
	last := leavesAt - stopTime - evacuationSlack
	if r.Task == nil || r.Task.Step.Spec.LongRunning || r.Task.Step.Spec.Checkpoint {
		return last, true
	}
	end, known := r.ExpectedEnd()
	switch {
	case !known:
		return last, true
	case end > leavesAt+evacuationSlop:
		return min(now, last), true
	case r.Task.Step.Spec.Gang && r.Task.Step.RunsBeyondDraining():
		return 0, false
	}
	return last, true
}

// Evacuate stops what still runs on a draining worker before the worker may leave. It returns
// the steady time by which it is to be called again.
func (s *Launcher) Evacuate(w *track.Worker) time.Duration {
	nextCheck := s.Now.Steady + time.Second
	leavesAt, known := w.LeavesAt()
	if !known || len(w.Runs) == 0 || s.Limits.NoOrders {
		return nextCheck
	}
	for _, r := range w.SortedRuns() {
		if r.Task == nil || r.Phase == track.Stopping {
			continue
		}
		at, stop := EvacuateAt(s.Now.Steady, leavesAt, s.Config.StopTime, r)
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
