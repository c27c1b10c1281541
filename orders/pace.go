package orders

import (
	"strconv"
	"time"

	"citronbridge/event"
	"citronbridge/pacing"
	"citronbridge/track"
)

// sharedWait is how long a worker with latency-sensitive and best-effort tasks
// keeps its answer back: tails are those of the last half second.
const sharedWait = 400 * time.Millisecond

// Pace throttles best-effort tasks by the tails of the latency-sensitive ones
// beside them.
func (s *Sender) Pace(w *track.Worker) {
	var serving []pacing.ServingTask
	for _, r := range w.Runs {
		if r.Sensitive() && r.Phase == track.Working {
			serving = append(serving, pacing.ServingTask{Target: r.Task.Step.Spec.Target, TailLatency: r.Tail})
		}
	}
	before := w.Level
	w.Level = pacing.Next(w.Level, s.Now.Steady, serving)
	if w.Level.AdmitsBestEffort() != before.AdmitsBestEffort() {
		s.Changed = true
	}
	for _, r := range w.SortedRuns() {
		if r.Task == nil || !r.Task.Step.Spec.Fills || r.Phase != track.Working {
			continue
		}
		if r.Pace == w.Level.Percent || s.Limits.NoOrders {
			continue
		}
		s.Note(r.Task.Step.Job, w, r, "pace changes to "+strconv.Itoa(w.Level.Percent)+" percent beside latency-sensitive tasks")
		r.Pace = w.Level.Percent
		c := s.Call(w)
		c.Task, c.Run = r.ID, r.N
		s.Do(event.Pace{Call: c, Percent: r.Pace})
	}
}

// Paced takes in the outcome of a Pace.
func (s *Sender) Paced(e event.Paced) {
	w := s.Workers[e.Call.Worker]
	if w == nil || w.Life != e.Call.Life || e.Outcome == event.Accepted {
		return
	}
	if r := w.Runs[e.Call.Task]; r != nil && r.N == e.Call.Run {
		// The next report sends it again.
		r.Pace = track.UnknownPace
	}
}
