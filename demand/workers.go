package demand

import (
	"time"

	"citronbridge/assign"
	"citronbridge/track"
)

// Workers returns the pool's workers for placement, and the runs on them by the keys that
// placement uses.
func Workers(p *track.Pool) ([]*assign.Worker, map[string]*track.Run) {
	byKey := map[string]*track.Run{}
	l := make([]*assign.Worker, 0, len(p.WorkersByID))
	unequal := p.Speeds.Unequal()
	for _, w := range p.WorkersByID {
		closed := p.ClosedBy(w)
		a := &assign.Worker{
			ID: w.ID, Rack: w.Rack, Labels: w.Labels, Total: w.Capacity, Free: w.Capacity.Minus(w.Used), Closed: closed != "" && closed != track.Paused || !w.Recorded, Paused: closed == track.Paused,
			NoBestEffort: !w.PaceLevel.AdmitsBestEffort(), Probation: w.Suspect(p.Now.Steady), Failing: w.Failing(p.Now.Steady),
			Evacuated: closed == track.Evacuated, Cold: w.Cold(p.Now.Steady),
		}
		if unequal {
			a.Speed, _ = p.Speeds.Speed(w.ID, w.StartedMS)
		}
		if a.Failing {
			p.PlaceBy(w.SuspectUntil())
		}
		if !a.Closed || len(w.Runs) > 0 {
			l = append(l, a)
		}
		for _, r := range w.SortedRuns() {
			b := runOf(p, r)
			byKey[b.Key] = r
			a.Runs = append(a.Runs, b)
			if r.Phase == track.Stopping {
				a.Freeing = a.Freeing.Plus(r.Demand)
				a.StopsOverdue = a.StopsOverdue || p.Now.Steady-r.StoppedAt > p.Config.StopTime+stopSlack
			}
		}
	}
	return l, byKey
}

// stopSlack is how long a stop may take in addition to the platform's time for it, until its
// end is reported.
const stopSlack = 500 * time.Millisecond

// farFuture is later than any time that placement considers.
const farFuture = 1000 * time.Hour

// runOf converts a run to the type that placement uses.
func runOf(p *track.Pool, r *track.Run) *assign.Run {
	t := r.Task
	a := &assign.Run{Key: r.ID.String(), Demand: r.Demand, EndsAt: p.Now.Steady}
	if t == nil {
		a.NoPreempt = true
		return a
	}
	a.Priority = p.Priority(t.Step.Job)
	a.EndsAt = r.DecidedAt + t.Step.Spec.Estimate
	if t.Step.Spec.LongRunning {
		a.EndsAt = p.Now.Steady + farFuture
		a.Lasts = r.Phase != track.Stopping && !t.Step.Job.Record.State.Final()
	}
	a.NoPreempt = r.Phase != track.Running || t.Step.Job.Record.State.Final() || !t.Step.MayStop(r)
	if t.Step.Spec.Gang {
		a.Group = t.Step.Key
	}
	a.Borrowed = r.Borrowed
	a.Loss = r.Loss(p.Now.Steady)
	if t.Step.Spec.Gang {
		for _, o := range t.Step.Tasks {
			if o != t && o.Run != nil {
				a.Loss += o.Run.Loss(p.Now.Steady)
			}
		}
	}
	return a
}
