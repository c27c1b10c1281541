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
	var serving []pacing.Serving
	for _, r := range w.Runs {
		if r.LatencySensitive() && r.Phase == track.Running {
			serving = append(serving, pacing.Serving{Target: r.Task.Step.Spec.Target, Tail: r.TailLatency})
		}
	}
	before := w.PaceLevel
	w.PaceLevel = pacing.Next(w.PaceLevel, s.Now.Steady, serving)
	if w.PaceLevel.Admits() != before.Admits() {
		s.NeedsPlacement = true
	}
	for _, r := range w.SortedRuns() {
		if r.Task == nil || !r.Task.Step.Spec.Fills || r.Phase != track.Running {
			continue
		}
		if r.Pace == w.PaceLevel.Percent || s.Limits.NoOrders {
			continue
		}
		s.Log(r.Task.Step.Job, w, r, "pace changes to "+strconv.Itoa(w.PaceLevel.Percent)+" percent beside latency-sensitive tasks")
		r.Pace = w.PaceLevel.Percent
		c := s.Call(w)
		c.Task, c.Run = r.ID, r.N
		s.Emit(event.Pace{Call: c, Percent: r.Pace})
	}
}

// Paced takes in the outcome of a Pace.
func (s *Sender) Paced(e event.PaceAnswered) {
	w := s.Workers[e.Call.Worker]
	if w == nil || w.Incarnation != e.Call.Incarnation || e.Outcome == event.Accepted {
		return
	}
	if r := w.Runs[e.Call.Task]; r != nil && r.N == e.Call.Run {
		// The next report sends it again.
		r.Pace = track.UnknownPace
	}
}
