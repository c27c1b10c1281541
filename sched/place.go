package sched

import (
	"slices"
	"time"

	"citronbridge/assign"
	"citronbridge/demand"
	"citronbridge/event"
	"citronbridge/pacing"
	"citronbridge/speed"
	"citronbridge/track"
	"citronbridge/work"
)

// place chooses workers for the waiting tasks and requests the starts and stops.
func (s *State) place() {
	if s.Limits.NoStarts || s.Limits.NoOrders || s.Rules == nil {
		return
	}
	budget := s.StartBudget()
	if s.startsDeferred = budget <= 0; s.startsDeferred {
		return
	}
	units := demand.Units(s.Pool)
	if len(units) == 0 {
		return
	}
	workers, runs := demand.Workers(s.Pool)
	p := assign.Decide(s.Now.Steady, workers, units)
	if !s.Surveyed() {
		// Workers that haven't answered yet may turn out to have room.
		p.Stops = nil
		s.PlaceBy(s.AcquiredAt + surveyTime)
	}
	for _, r := range p.Stops {
		if o := runs[r.Key]; o != nil {
			s.Log(o.Task.Step.Job, o.Worker, o, "stopping run: its room is needed for more urgent work")
			s.Stop(o)
		}
	}
	starts := firstPlacements(p.Starts, budget)
	s.startsDeferred = len(starts) < len(p.Starts)
	s.start(starts)
	demand.AskAdvice(s.Pool, units, workers)
	demand.TrackWaits(s.Pool, units, workers)
}

// surveyTime is how long a new decider waits for the workers' first answers before it stops
// runs for more urgent work. It is as long as a worker's answer may take.
const surveyTime = 600 * time.Millisecond

// Surveyed reports whether all workers that can be asked have reported what they run, or
// surveyTime has passed.
func (s *State) Surveyed() bool {
	if s.Now.Steady-s.AcquiredAt >= surveyTime {
		return true
	}
	return !slices.ContainsFunc(s.WorkersByID, func(w *track.Worker) bool {
		return w.Listed && !w.Terminated && !w.Draining && (!w.Synced || s.OwnedAt <= w.SyncedAt)
	})
}

// firstPlacements returns the first placements, up to a number of starts. A gang isn't
// split, so the result may be longer.
func firstPlacements(l []assign.Placement, limit int) []assign.Placement {
	if len(l) <= limit {
		return l
	}
	for limit < len(l) && l[limit].Unit.Step.Gang && l[limit].Unit == l[limit-1].Unit {
		limit++
	}
	return l[:limit]
}

// start creates runs for the placements. Their orders follow once the placements are
// durable.
func (s *State) start(l []assign.Placement) {
	gangs, recordSeqs := map[string]int{}, map[*track.Job]int64{}
	for _, p := range l {
		id := p.Unit.TaskID(p.Index)
		j := s.Jobs[id.Job]
		st := j.Step(id.Occurrence, id.Step)
		t := st.Tasks[p.Index]
		n := s.NextRun(t.Step.Job, t.LastRun)
		checkpoint := t.Checkpoint
		if st.Spec.Gang {
			checkpoint = st.Checkpoint
			if gangs[st.Key] == 0 {
				gangs[st.Key] = s.NextRun(st.Job, st.LastRun)
			}
			n = gangs[st.Key]
			st.LastRun = n
		}
		w := s.Workers[p.Worker]
		r := &track.Run{ID: t.ID(), N: n, Task: t, Worker: w, Demand: st.Spec.CapacityDemand(), Checkpoint: checkpoint, DecidedAt: s.Now.Steady, Pace: pacing.FullPercent}
		t.Run, t.LastRun, t.Inherited = r, n, false
		w.Runs[r.ID] = r
		w.Used = w.Used.Plus(r.Demand)
		if j.Queue.Advice {
			r.Ticket, _ = s.Advice.Ticket(st.Key, w.IncarnationID(), s.Now.Steady)
		}
		text := "task placed"
		if p.Waived {
			text = "task placed on any worker with room, as it has waited for long"
		}
		s.Log(j, w, r, text)
		// The order is sent once the record durably says where the task may be running.
		j.Record.State, j.Record.Pool = work.Running, s.Config.Pool
		j.Record.SetPlaced(st.Occurrence, st.Index, t.Index, w.ID)
		if recordSeqs[j] == 0 {
			s.markDirty(j)
			recordSeqs[j] = j.Seq
		}
		r.Seq = recordSeqs[j]
	}
}

// moveSlow stops runs that should end sooner on another worker, where the worker is slow
// and not the work itself.
func (s *State) moveSlow(w *track.Worker) {
	for _, r := range w.SortedRuns() {
		if !speed.ShouldMove(s.Pool, r) {
			continue
		}
		s.Log(r.Task.Step.Job, w, r, "run is slow on its worker; moving it to another one")
		w.PausedUntil = s.Now.Steady + workerPause
		st := r.Task.Step
		for _, t := range st.Tasks {
			if t == r.Task || (st.Spec.Gang && t.Run != nil) {
				t.Moves++
				s.Stop(t.Run)
			}
		}
	}
}

// adviceAnswered handles an answer of the advice service.
func (s *State) adviceAnswered(e event.AdviceAnswered) {
	if e.Err != nil {
		s.Advice.HandleFailure(s.Now.Steady)
		s.NeedsPlacement = true
		return
	}
	s.Advice.HandleAnswer(e.Call, e.Tickets, e.Sent, e.Valid)
	s.NeedsPlacement = true
}
