package sched

import (
	"slices"
	"time"
)

// How the speed of runs is judged.
const (
	// speedSpan is the shortest time over which progress is measured, as it
	// is told in whole percent.
	speedSpan = 800 * time.Millisecond
	// slowSpeed is the part of the expected speed below which a run may be
	// moved. Estimates are off by a third at most, as a rule.
	slowSpeed = 0.4
	// moveCost is what a move takes beside the work itself.
	moveCost = 500 * time.Millisecond
	// maxMoves bounds the moves of one task.
	maxMoves = 3
	// leastStep is what a run that shows no progress may have made, in percent.
	leastStep = 0.5
)

// measure takes in a run's progress.
func (r *run) measure(now time.Duration, percent int) {
	r.percent = percent
	if r.markAt == 0 {
		r.mark, r.markAt = percent, now
		return
	}
	if span := now - r.markAt; span >= speedSpan {
		r.rate = max(float64(percent-r.mark), leastStep) / span.Seconds()
		r.stuck = percent == r.mark
		r.wasAt = r.markAt
		r.mark, r.markAt = percent, now
	}
}

// speed returns the run's speed against the expected one, and false if it
// isn't known or the run has nothing left to do.
func (s *State) speed(r *run) (float64, bool) {
	if r.task == nil || r.phase != working || r.rate == 0 || r.percent >= 100 {
		return 0, false
	}
	st := r.task.step
	if st.spec.LongRunning || st.spec.Fills || st.spec.Estimate == 0 {
		return 0, false
	}
	expected := 100 / s.expected(r).Seconds()
	return r.rate / expected, true
}

// expected returns how long a run should take where it is.
func (s *State) expected(r *run) time.Duration {
	st := r.task.step
	far := st.spec.Affinity != "" && st.spec.Affinity != r.w.Rack
	if st.spec.SameRack {
		for _, t := range st.tasks {
			far = far || (t.run != nil && t.run.w.Rack != r.w.Rack)
		}
	}
	if far {
		return time.Duration(float64(st.spec.Estimate) * s.c.FarFactor)
	}
	return st.spec.Estimate
}

// moveSlow stops runs that would end sooner elsewhere, where it is the worker
// that is slow and not the work.
func (s *State) moveSlow(w *worker) {
	for _, r := range s.runsOf(w) {
		v, ok := s.speed(r)
		if !ok || v >= slowSpeed {
			r.slowAt = 0
			continue
		}
		if r.slowAt == 0 {
			r.slowAt = r.wasAt
		}
		if r.task.moves >= maxMoves || !s.worthMoving(r) || !s.workerAtFault(r, v) {
			continue
		}
		s.note(r.task.step.job, w, r, "run is slow here and moves")
		w.closedUntil = s.now.Steady + badPause
		st := r.task.step
		for _, t := range st.tasks {
			if t == r.task || (st.spec.Gang && t.run != nil) {
				t.moves++
				s.stop(t.run)
			}
		}
	}
}

// worthMoving reports whether a run is expected to end later here than if it
// began again.
func (s *State) worthMoving(r *run) bool {
	left := float64(100-r.percent) / 100
	// What has been slow for a time is expected to be so for as long again.
	rest := min(100*left/r.rate, (s.now.Steady-r.slowAt).Seconds()+left*s.expected(r).Seconds())
	again := r.task.step.spec.Estimate.Seconds()
	if r.task.step.spec.Checkpoint {
		again *= left
	}
	return rest > again+moveCost.Seconds()
}

// workerAtFault reports whether a slow run's worker is at fault: other jobs are slow
// there too, or the same step's tasks are faster elsewhere, or nothing moves.
func (s *State) workerAtFault(r *run, v float64) bool {
	var here, elsewhere []float64
	for _, o := range s.runsOf(r.w) {
		if o.task == nil || o.task.step.job == r.task.step.job {
			continue
		}
		if x, ok := s.speed(o); ok {
			here = append(here, x)
		}
	}
	for _, t := range r.task.step.tasks {
		if t.run == nil || t.run.w == r.w {
			continue
		}
		if t.run.percent >= 100 {
			elsewhere = append(elsewhere, 1)
		} else if x, ok := s.speed(t.run); ok {
			elsewhere = append(elsewhere, x)
		}
	}
	switch {
	case len(here) > 0:
		return median(here) < slowSpeed
	case len(elsewhere) > 0:
		return median(elsewhere) > 2*v
	}
	return r.stuck
}

func median(l []float64) float64 {
	slices.Sort(l)
	return l[len(l)/2]
}
