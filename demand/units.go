// Package demand converts a decider's view of its pool into the input of placement: the
// tasks that wait and the workers with their free capacity.
package demand

import (
	"time"

	"citronbridge/assign"
	"citronbridge/event"
	"citronbridge/track"
)

// Units returns the tasks that may start now, one unit for each step.
func Units(p *track.Pool) []*assign.Unit {
	var l []*assign.Unit
	idle := idleForLong(p)
	for _, j := range p.JobsByArrival {
		if j.Record.State.Final() || j.Leaving || p.QueueOf(j) == nil {
			continue
		}
		for _, st := range j.Steps {
			if u := unit(p, st, idle); u != nil {
				l = append(l, u)
			}
		}
	}
	if len(l) > 0 {
		applyGuarantees(p, l)
	}
	return l
}

// unit returns the waiting tasks of a step as a unit, or nil if none may start. In a pool that
// is mostly idle, tasks don't wait for long for the sake of others.
func unit(p *track.Pool, st *track.Step, idle bool) *assign.Unit {
	if !st.Ready || st.TasksLeft == 0 {
		return nil
	}
	u := &assign.Unit{
		Key: st.Key, Step: st.Spec, Priority: st.Job.Queue.Priority, Rank: rank(p.Now, st), MayPreempt: st.Job.Queue.Priority == 0,
		LocalityWait: st.Spec.Estimate,
	}
	avoidWorkers(p, st, u)
	if st.Spec.AntiAffinity > 0 {
		u.TasksPerWorker = map[string]int{}
	}
	waitingSince := st.ReadyAt
	for _, t := range st.Tasks {
		if u.TasksPerWorker != nil && t.Run != nil {
			// This includes runs of a task that was done in another run.
			u.TasksPerWorker[t.Run.Worker.ID]++
		}
		switch {
		case t.Done:
		case t.Run != nil:
			if st.Spec.Gang {
				return nil
			}
			if st.Spec.SameRack {
				u.Rack = t.Run.Worker.Rack
			}
		case p.MaybeRunning(t):
			if st.Spec.Gang {
				return nil
			}
		default:
			u.Indexes = append(u.Indexes, t.Index)
			waitingSince = max(waitingSince, t.WaitingSince)
			u.Starved = u.Starved || starved(p, t, idle)
		}
	}
	if len(u.Indexes) == 0 {
		return nil
	}
	u.Waited = p.Now.Steady - waitingSince
	u.Overdue = overdue(p, st)
	u.NeededSpeed = neededSpeed(p.Now, st)
	if st.Job.Queue.Advice {
		u.AllowedWorkers = workersWithTicket(p, st)
	}
	return u
}

// avoidWorkers sets which workers the unit avoids, as a task of its step failed there, and
// which of them it may use again: the others may have no room for as long as their tasks last.
func avoidWorkers(p *track.Pool, st *track.Step, u *assign.Unit) {
	if len(st.FailedOn) == 0 {
		return
	}
	u.AvoidedWorkers, u.ReleasedWorkers = map[string]bool{}, map[string]bool{}
	for id, at := range st.FailedOn {
		u.AvoidedWorkers[id] = true
		if until := at + track.SuspectTime; p.Now.Steady < until {
			p.PlaceBy(until)
		} else {
			u.ReleasedWorkers[id] = true
		}
	}
}

// Parameters of neededSpeed.
const (
	// startOverhead is how long it takes until a task that is placed now is at work, and until its
	// end is known.
	startOverhead = 250 * time.Millisecond
	// estimateMargin covers estimates that are too low and members of a gang with more work than
	// the others.
	estimateMargin = 1.15
)

// neededSpeed returns the speed of a worker, relative to a typical one, at which a task of the step
// that is started now ends in time for its job. It returns 0 if the step has no estimate, or if its
// time is over.
func neededSpeed(now event.Clock, st *track.Step) float64 {
	from, aim := objective(st)
	left := from + aim - time.Duration(now.Wall)*time.Millisecond - startOverhead
	if left <= 0 || st.Spec.LongRunning {
		return 0
	}
	return estimateMargin * st.Spec.Estimate.Seconds() / left.Seconds()
}

// lateFactor is how many times as long as it should take a job may take and still be of use.
const lateFactor = 3

// objective returns when the job of a step was accepted, or its occurrence due, in Unix time, and
// how long it should take from then on.
func objective(st *track.Step) (from, aim time.Duration) {
	j := st.Job
	accepted := j.Spec.Accepted
	if j.Spec.Times > 0 {
		accepted = j.Spec.Due(st.Occurrence)
	}
	return time.Duration(accepted) * time.Millisecond, time.Duration(j.Queue.Stretch*float64(j.Spec.CriticalPath())) + j.Queue.Slack
}

// rank orders the steps of one priority by the time at which their job should be done. It
// answers bursts of several times what the pool carries: work that can't be done in time any
// more ranks by the time up to which it is still of use, so that it doesn't make late what
// can be in time, and behind all other work once that can't be reached either.
func rank(now event.Clock, st *track.Step) time.Duration {
	from, aim := objective(st)
	end := time.Duration(now.Wall)*time.Millisecond + st.Spec.Estimate
	switch {
	case end <= from+aim:
		return from + aim
	case end <= from+lateFactor*aim:
		return from + lateFactor*aim
	}
	return from + lateFactor*aim + farFuture
}
