// Package speed decides whether a run is slow because of its worker, and would end sooner
// on another one.
package speed

import (
	"slices"
	"time"

	"citronbridge/track"
)

// Limits for judging the speed of runs.
const (
	// slowSpeed is the share of the expected speed below which a run may be moved.
	// Estimates are typically off by a third at most.
	slowSpeed = 0.4
	// moveCost is the time that a move takes in addition to the work itself.
	moveCost = 500 * time.Millisecond
	// maxMoves is how often one task may be moved.
	maxMoves = 3
)

// ShouldMove reports whether a run should be stopped to start again on another worker.
func ShouldMove(p *track.Pool, r *track.Run) bool {
	v, ok := relativeSpeed(p, r)
	if !ok || v >= slowSpeed {
		r.SlowSince = 0
		return false
	}
	if r.SlowSince == 0 {
		r.SlowSince = r.PreviousSampleAt
	}
	return r.Task.Moves < maxMoves && worthMoving(p, r) && workerAtFault(p, r, v)
}

// relativeSpeed returns a run's speed as a share of the expected one. It returns false if
// the speed is unknown, was measured while the worker was cold, or the run has no work left.
func relativeSpeed(p *track.Pool, r *track.Run) (float64, bool) {
	if r.Task == nil || r.Phase != track.Running || r.Rate == 0 || r.Progress >= 100 || r.PreviousSampleAt < r.Worker.ColdUntil {
		return 0, false
	}
	st := r.Task.Step
	if st.Spec.LongRunning || st.Spec.Fills || st.Spec.Estimate == 0 {
		return 0, false
	}
	expectedRate := 100 / expected(p, r).Seconds()
	return r.Rate / expectedRate, true
}

// expected returns how long a run should take on its worker.
func expected(p *track.Pool, r *track.Run) time.Duration {
	st := r.Task.Step
	far := st.Spec.Affinity != "" && st.Spec.Affinity != r.Worker.Rack
	if st.Spec.SameRack {
		for _, t := range st.Tasks {
			far = far || (t.Run != nil && t.Run.Worker.Rack != r.Worker.Rack)
		}
	}
	if far {
		return time.Duration(float64(st.Spec.Estimate) * p.Config.FarFactor)
	}
	return st.Spec.Estimate
}

// worthMoving reports whether a run is expected to end later here than if it started again
// elsewhere.
func worthMoving(p *track.Pool, r *track.Run) bool {
	left := float64(100-r.Progress) / 100
	// A run that has been slow for some time is expected to stay slow for as long again.
	rest := min(100*left/r.Rate, (p.Now.Steady-r.SlowSince).Seconds()+left*expected(p, r).Seconds())
	again := r.Task.Step.Spec.Estimate.Seconds()
	if r.Task.Step.Spec.Checkpoint {
		again *= left
	}
	return rest > again+moveCost.Seconds()
}

// workerAtFault reports whether a slow run's worker is the cause: runs of other jobs are
// slow there too, or tasks of the same step are faster elsewhere. If there is nothing to
// compare with, it reports whether the run makes no progress at all.
func workerAtFault(p *track.Pool, r *track.Run, v float64) bool {
	var here, elsewhere []float64
	for _, o := range r.Worker.SortedRuns() {
		if o.Task == nil || o.Task.Step.Job == r.Task.Step.Job {
			continue
		}
		if x, ok := relativeSpeed(p, o); ok {
			here = append(here, x)
		}
	}
	for _, t := range r.Task.Step.Tasks {
		if t.Run == nil || t.Run.Worker == r.Worker {
			continue
		}
		if t.Run.Progress >= 100 {
			elsewhere = append(elsewhere, 1)
		} else if x, ok := relativeSpeed(p, t.Run); ok {
			elsewhere = append(elsewhere, x)
		}
	}
	switch {
	case len(here) > 0:
		return median(here) < slowSpeed
	case len(elsewhere) > 0:
		return median(elsewhere) > 2*v
	}
	return r.Stalled
}

func median(l []float64) float64 {
	slices.Sort(l)
	return l[len(l)/2]
}
