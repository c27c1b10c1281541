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

// place chooses workers for what waits, and sends the orders.
func (s *State) place() {
	if s.Limits.NoStarts || s.Limits.NoOrders || s.Rules == nil {
		return
	}
	room := s.StartBudget()
	if s.held = room <= 0; s.held {
		return
	}
	units := demand.Units(s.Pool)
	if len(units) == 0 {
		return
	}
	workers, runs := demand.Workers(s.Pool)
	p := assign.Decide(s.Now.Steady, workers, units)
	if !s.surveyed() {
		// Room may turn up where no worker has answered yet.
		p.Stops = nil
		s.PlaceBy(s.Taken + surveyTime)
	}
	for _, r := range p.Stops {
		if o := runs[r.Key]; o != nil {
			s.Note(o.Task.Step.Job, o.Worker, o, "stopped for more urgent work")
			s.Stop(o)
		}
	}
	starts := first(p.Starts, room)
	s.held = len(starts) < len(p.Starts)
	s.start(starts)
	demand.Ask(s.Pool, units, workers)
}

// surveyTime is how long a new decider waits for the workers' first answers before
// it stops work for more urgent work: as long as a worker's answer may take.
const surveyTime = 600 * time.Millisecond

// surveyed reports whether all workers that can be asked have told what runs there,
// or have had the time to.
func (s *State) surveyed() bool {
	if s.Now.Steady-s.Taken >= surveyTime {
		return true
	}
	return !slices.ContainsFunc(s.Sorted, func(w *track.Worker) bool {
		return w.Listed && !w.Gone && !w.Draining && (!w.Synced || s.OwnedAt <= w.SyncedAt)
	})
}

// first returns the first placements: as many as there is room for, gangs whole.
func first(l []assign.Placement, room int) []assign.Placement {
	if len(l) <= room {
		return l
	}
	for room < len(l) && l[room].Unit.Step.Gang && l[room].Unit == l[room-1].Unit {
		room++
	}
	return l[:room]
}

// start carries out placements.
func (s *State) start(l []assign.Placement) {
	gangs, touched := map[string]int{}, map[*track.Job]int64{}
	for _, p := range l {
		id := p.Unit.TaskID(p.Index)
		j := s.Jobs[id.Job]
		st := j.Step(id.Occurrence, id.Step)
		t := st.Tasks[p.Index]
		n := s.NextRun(t.Last)
		saved := t.Saved
		if st.Spec.Gang {
			saved = st.Saved
			if gangs[st.Key] == 0 {
				gangs[st.Key] = s.NextRun(st.Last)
			}
			n = gangs[st.Key]
			st.Last = n
		}
		w := s.Workers[p.Worker]
		r := &track.Run{ID: t.ID(), N: n, Task: t, Worker: w, Demand: st.Spec.CapacityDemand(), Saved: saved, Since: s.Now.Steady, Pace: pacing.FullPercent}
		t.Run, t.Last, t.Inherited = r, n, false
		w.Runs[r.ID] = r
		w.Used = w.Used.Plus(r.Demand)
		if j.Queue.Advice {
			r.Ticket, _ = s.Advice.Ticket(st.Key, w.LifeID(), s.Now.Steady)
		}
		s.Note(j, w, r, "task placed")
		// The order is sent once the record says where the task may be.
		j.Record.State, j.Record.Pool = work.Running, s.Config.Pool
		j.Record.SetPlaced(st.Occurrence, st.Index, t.Index, w.ID)
		if touched[j] == 0 {
			s.touch(j)
			touched[j] = j.Seq
		}
		r.Seq = touched[j]
	}
}

// moveSlow stops runs that would end sooner elsewhere, where it is the worker
// that is slow and not the work.
func (s *State) moveSlow(w *track.Worker) {
	for _, r := range w.SortedRuns() {
		if !speed.Moves(s.Pool, r) {
			continue
		}
		s.Note(r.Task.Step.Job, w, r, "run is slow here and moves")
		w.ClosedUntil = s.Now.Steady + badPause
		st := r.Task.Step
		for _, t := range st.Tasks {
			if t == r.Task || (st.Spec.Gang && t.Run != nil) {
				t.Moves++
				s.Stop(t.Run)
			}
		}
	}
}

// advised takes in what the advice service said.
func (s *State) advised(e event.Advised) {
	if e.Err != nil {
		s.Advice.HandleFailure(s.Now.Steady)
		s.Changed = true
		return
	}
	s.Advice.HandleAnswer(e.Call, e.Tickets, e.Sent, e.Valid)
	s.Changed = true
}
