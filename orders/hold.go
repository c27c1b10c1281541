package orders

import (
	"time"

	"citronbridge/event"
	"citronbridge/launch"
	"citronbridge/track"
	"citronbridge/work"
)

// Holds asks what workers there is something to ask, those first that may run
// what a former decider started. It returns when to look again.
func (s *Sender) Holds() time.Duration {
	next := s.Now.Steady + time.Second
	first := 0
	for _, w := range s.Sorted {
		if w.Holding && !w.Synced {
			first++
		}
	}
	for _, inherited := range []bool{true, false} {
		for _, w := range s.Sorted {
			if w.Inherited != inherited || !w.Synced && first >= maxFirst {
				continue
			}
			asked := w.Holding
			next = min(next, s.hold(w))
			if !asked && w.Holding && !w.Synced {
				first++
			}
		}
	}
	return next
}

// hold keeps one Hold under way for a worker that has something to tell, and
// returns when to look again.
func (s *Sender) hold(w *track.Worker) time.Duration {
	now := s.Now.Steady
	idle := now + time.Second
	if w.Holding || w.Gone || w.Address == "" || s.Limits.NoOrders {
		return idle
	}
	needed := len(w.Runs) > 0 || !w.Synced || w.Silent > 0 || w.Durable > w.Told || len(w.Ends) > 0 || w.Replaced > 0
	if !needed {
		return idle
	}
	if !w.Listed && len(w.Runs) == 0 && (!w.Inherited || now-s.Taken > s.Config.Inherit) {
		s.forget(w)
		return idle
	}
	if now < w.NextHold {
		return w.NextHold
	}
	h := event.Hold{Call: s.Call(w)}
	if w.Durable > w.Told {
		// Only when there is something to forget: in a life that isn't known
		// yet the number would forget ends that nobody has seen.
		h.SeenUpto = w.Durable
	}
	if w.Synced && w.Silent == 0 && w.Recorded && len(w.Runs) > 0 {
		h.DeadlineMS = s.Deadline(w)
		h.Wait = holdWait
		if w.Shared() {
			h.Wait = sharedWait
		}
		if len(w.Ends) > 0 {
			h.Wait = 0
		}
	}
	w.Holding, w.Telling = true, w.Durable
	s.Do(h)
	return idle
}

// Reported takes in the answer to a Hold. It returns the worker if that told
// what runs there and what has ended.
func (s *Sender) Reported(e event.Reported) *track.Worker {
	w := s.Workers[e.Call.Worker]
	if w == nil || w.Life != e.Call.Life {
		return nil
	}
	w.Holding = false
	w.NextHold = s.Now.Steady
	switch e.Outcome {
	case event.Accepted:
	case event.OtherLife:
		s.Ended(w)
		return nil
	default:
		if w.Silent == 0 {
			s.Note(nil, w, nil, "worker doesn't answer: "+string(e.Outcome))
		}
		w.Silent++
		w.NextHold = s.Now.Steady + min(launch.RetryPause*time.Duration(w.Silent), time.Second)
		s.Changed = true
		return nil
	}
	if e.Born != 0 && w.Born != 0 && e.Born != w.Born {
		if e.Born < w.Born {
			return nil
		}
		s.reborn(w, e.Born)
		return nil
	}
	w.Born = max(w.Born, e.Born)
	if w.Silent > 0 {
		s.Note(nil, w, nil, "worker answers again")
		s.Changed = true
	}
	w.Silent = 0
	if e.Call.Sent > w.Replaced && w.Replaced > 0 {
		w.Replaced, s.Changed = 0, true
	}
	if w.Lapsing {
		w.Lapsing = false
		s.Record(w, 0)
	}
	if !w.Recorded {
		w.NextHold = s.Now.Steady + savePause
	}
	w.ReadClock(s.Now.Steady, e.ClockMS)
	if !w.Synced {
		w.Synced, w.SyncedAt = true, s.Now.Steady
		s.Changed = true
	}
	w.Told = max(w.Told, w.Telling)
	return w
}

// Next sets when the worker is asked again, once its answer is taken in.
func (s *Sender) Next(w *track.Worker) {
	if len(w.Ends) > 0 {
		w.NextHold = s.Now.Steady + savePause
	}
	s.forgetEnds(w)
}

// Compare matches what a worker lists as running with what is expected there.
func (s *Sender) Compare(w *track.Worker, e event.Reported) {
	seen := map[work.TaskID]bool{}
	for _, x := range e.Running {
		r := w.Runs[x.Task]
		if r == nil || r.N < x.Run {
			s.Adopt(w, x)
			seen[x.Task] = true
			continue
		}
		if r.N > x.Run {
			continue
		}
		seen[x.Task] = true
		if x.Saved != "" && x.Saved != r.Saved {
			r.Saved = x.Saved
		}
		if up := r.Percent >= 100; r.Measure(s.Now.Steady, x.Percent) && !up && r.LongRunning() {
			// Another task of its step may be stopped now.
			s.Changed = true
		}
		r.Tail = time.Duration(x.Figure) * time.Millisecond
		if r.Phase == track.Starting {
			r.Phase, r.Waiting, r.Settled = track.Working, false, s.Now.Steady
			s.Begun(r)
		}
	}
	for _, r := range w.SortedRuns() {
		if seen[r.ID] || r.Phase == track.Marking {
			continue
		}
		// Only an answer to a Hold that was sent after the last order about
		// the run was answered tells that it isn't there.
		late := r.Settled
		if r.Phase == track.Stopping {
			late += s.Config.StopTime
		}
		if !r.Waiting && e.Call.Sent > late {
			s.Note(nil, w, r, "run is not at its worker")
			s.Release(r, event.Lapsed, "")
		}
	}
}

// Adopt takes in a run that a worker lists and that isn't expected there.
func (s *Sender) Adopt(w *track.Worker, x event.Running) {
	if old := w.Runs[x.Task]; old != nil {
		s.Release(old, event.Lapsed, "")
	}
	r := &track.Run{ID: x.Task, N: x.Run, Worker: w, Phase: track.Working, Saved: x.Saved, Since: s.Now.Steady, Settled: s.Now.Steady, Percent: x.Percent, Pace: track.UnknownPace}
	j, t := s.Find(x.Task)
	wanted := false
	if t != nil {
		r.Demand = t.Step.Spec.CapacityDemand()
		t.Last = max(t.Last, x.Run)
		t.Step.Last = max(t.Step.Last, x.Run)
		wanted = !t.Done && t.Run == nil && !j.Record.State.Final() && t.Step.Joins(x.Run)
		if t.Run == nil {
			r.Task, t.Run, t.Inherited = t, r, false
		}
		if r.LongRunning() {
			// A former decider may have ordered its end: it counts as at work
			// once another answer lists it.
			r.Percent = 0
		}
	}
	if t == nil {
		// What an unknown task takes isn't known: nothing goes beside it.
		r.Demand = w.Capacity
	}
	w.Runs[x.Task] = r
	w.Used = w.Used.Plus(r.Demand)
	if wanted {
		s.Note(j, w, r, "run adopted")
		if t.Step.Spec.Gang {
			s.Opens(t.Step)
		}
		s.Begun(r)
		return
	}
	if s.Unknown(x.Task.Job) {
		return
	}
	s.Note(j, w, r, "run isn't wanted")
	s.Stop(r)
}

// Settle moves on what may be forgotten at each worker.
func (s *Sender) Settle() {
	for _, w := range s.Sorted {
		s.forgetEnds(w)
	}
}

// forgetEnds finds how far a worker's ends are durable.
func (s *Sender) forgetEnds(w *track.Worker) {
	for len(w.Ends) > 0 {
		p := w.Ends[0]
		if p.Unread != nil {
			w.Durable = max(w.Durable, p.N-1)
			return
		}
		if j := s.Jobs[p.Job]; j != nil && j.SavedSeq < p.Seq {
			w.Durable = max(w.Durable, p.N-1)
			return
		}
		w.Ends = w.Ends[1:]
		w.Durable = max(w.Durable, p.N)
		if len(w.Ends) == 0 {
			w.NextHold = min(w.NextHold, s.Now.Steady)
		}
	}
	w.Durable = max(w.Durable, w.Processed)
}
