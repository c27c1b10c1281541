package sched

import (
	"strconv"
	"time"

	"citronbridge/event"
	"citronbridge/pacing"
)

// sharedWait is how long a worker with latency-sensitive and best-effort tasks
// keeps its answer back: tails are those of the last half second.
const sharedWait = 400 * time.Millisecond

// shared reports whether latency-sensitive and best-effort tasks share the
// worker.
func (w *worker) shared() bool {
	sensitive, bestEffort := false, false
	for _, r := range w.runs {
		if r.task != nil {
			sensitive = sensitive || r.sensitive()
			bestEffort = bestEffort || r.task.step.spec.Fills
		}
	}
	return sensitive && bestEffort
}

// sensitive reports whether a run has a target for its response times.
func (r *run) sensitive() bool {
	return r.task != nil && r.task.step.spec.LongRunning && r.task.step.spec.Target > 0
}

// pace throttles best-effort tasks by the tails of the latency-sensitive ones
// beside them.
func (s *State) pace(w *worker) {
	var serving []pacing.Serving
	for _, r := range w.runs {
		if r.sensitive() && r.phase == working {
			serving = append(serving, pacing.Serving{Target: r.task.step.spec.Target, Tail: r.tail})
		}
	}
	before := w.level
	w.level = pacing.Next(w.level, s.now.Steady, serving)
	if w.level.Admits() != before.Admits() {
		s.changed = true
	}
	for _, r := range s.runsOf(w) {
		if r.task == nil || !r.task.step.spec.Fills || r.phase != working {
			continue
		}
		if r.pace == w.level.Percent || s.limits.NoOrders {
			continue
		}
		s.note(r.task.step.job, w, r, "pace changes to "+strconv.Itoa(w.level.Percent)+" percent beside latency-sensitive tasks")
		r.pace = w.level.Percent
		c := s.call(w)
		c.Task, c.Run = r.id, r.n
		s.do(event.Pace{Call: c, Percent: r.pace})
	}
}

// unknownPace says that a run's pace isn't known: a former decider may have
// changed it, or an order about it may be lost.
const unknownPace = -1

// paced takes in the outcome of a Pace.
func (s *State) paced(e event.Paced) {
	w := s.pool[e.Call.Worker]
	if w == nil || w.life != e.Call.Life || e.Outcome == event.Accepted {
		return
	}
	if r := w.runs[e.Call.Task]; r != nil && r.n == e.Call.Run {
		// The next report sends it again.
		r.pace = unknownPace
	}
}

// mayStop reports whether a run may be stopped for more urgent work: so many
// of a long-running step's tasks may be away at a time. The first ones that
// are at work may go; each stop makes it fewer.
func (s *step) mayStop(r *run) bool {
	if !s.spec.LongRunning {
		return true
	}
	left := s.spec.MayMiss
	for _, t := range s.tasks {
		if t.run == nil || t.run.phase != working || t.run.percent < 100 {
			left--
		}
	}
	for _, t := range s.tasks {
		if left <= 0 {
			return false
		}
		if t.run == nil || t.run.phase != working || t.run.percent < 100 {
			continue
		}
		if t.run == r {
			return true
		}
		left--
	}
	return false
}
