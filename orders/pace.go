package orders

import (
	"strconv"
	"time"

	"citronbridge/event"
	"citronbridge/pacing"
	"citronbridge/track"
)

// sharedHoldWait is how long a worker that runs both latency-sensitive and
// best-effort tasks may delay its answer to a Hold. It is short because reported tail
// latencies cover only the last half second.
const sharedHoldWait = 400 * time.Millisecond

// UpdatePace throttles a worker's best-effort tasks by the tail latencies of the
// latency-sensitive tasks that share the worker.
func (s *Sender) UpdatePace(w *track.Worker) {
	var serving []pacing.ServingTask
	for _, r := range w.Runs {
		if r.LatencySensitive() && r.Phase == track.Running {
			serving = append(serving, pacing.ServingTask{Target: r.Task.Step.Spec.Target, TailLatency: r.TailLatency})
		}
	}
	oldLevel := w.PaceLevel
	w.PaceLevel = pacing.Next(w.PaceLevel, s.Now.Steady, serving)
	if w.PaceLevel.AdmitsBestEffort() != oldLevel.AdmitsBestEffort() {
		s.NeedsPlacement = true
	}
	for _, r := range w.SortedRuns() {
		if r.Task == nil || !r.Task.Step.Spec.Fills || r.Phase != track.Running {
			continue
		}
		if r.Pace == w.PaceLevel.Percent || s.Limits.NoOrders {
			continue
		}
		s.Log(r.Task.Step.Job, w, r, "setting the pace of the best-effort task to "+strconv.Itoa(w.PaceLevel.Percent)+" percent")
		r.Pace = w.PaceLevel.Percent
		c := s.Call(w)
		c.Task, c.Run = r.ID, r.N
		s.Emit(event.Pace{Call: c, Percent: r.Pace})
	}
}

// HandlePaceAnswered handles the outcome of a Pace.
func (s *Sender) HandlePaceAnswered(e event.PaceAnswered) {
	w := s.Workers[e.Call.Worker]
	if w == nil || w.Incarnation != e.Call.Incarnation || e.Outcome == event.Accepted {
		return
	}
	if r := w.Runs[e.Call.Task]; r != nil && r.N == e.Call.Run {
		// UpdatePace sends the Pace again after the next report.
		r.Pace = track.UnknownPace
	}
}
