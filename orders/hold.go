package orders

import (
	"time"

	"citronbridge/event"
	"citronbridge/launch"
	"citronbridge/track"
	"citronbridge/work"
)

// SendHolds sends a Hold to each worker that needs one, first to workers that may run
// what a former decider started. The number of first Holds in flight is limited to
// maxFirstHolds. It returns the steady time by which it is to be called again.
func (s *Sender) SendHolds() time.Duration {
	next := s.Now.Steady + time.Second
	firstHolds := 0
	for _, w := range s.Sorted {
		if w.Holding && !w.Synced {
			firstHolds++
		}
	}
	for _, inherited := range []bool{true, false} {
		for _, w := range s.Sorted {
			if w.Inherited != inherited || !w.Synced && firstHolds >= maxFirstHolds {
				continue
			}
			wasHolding := w.Holding
			next = min(next, s.sendHold(w))
			if !wasHolding && w.Holding && !w.Synced {
				firstHolds++
			}
		}
	}
	return next
}

// sendHold sends a Hold to a worker if one is needed and none is in flight. A worker
// that isn't listed any more and runs nothing is forgotten instead. It returns the
// steady time by which it is to be called again.
func (s *Sender) sendHold(w *track.Worker) time.Duration {
	now := s.Now.Steady
	nextCheck := now + time.Second
	if w.Holding || w.Gone || w.Address == "" || s.Limits.NoOrders {
		return nextCheck
	}
	needed := len(w.Runs) > 0 || !w.Synced || w.Silent > 0 || w.Durable > w.Told || len(w.Ends) > 0 || w.Replaced > 0
	if !needed {
		return nextCheck
	}
	if !w.Listed && len(w.Runs) == 0 && (!w.Inherited || now-s.Taken > s.Config.Inherit) {
		s.forgetWorker(w)
		return nextCheck
	}
	if now < w.NextHold {
		return w.NextHold
	}
	h := event.Hold{Call: s.Call(w)}
	if w.Durable > w.Told {
		// The number is sent only if there are ends to forget. In an incarnation
		// that hasn't reported yet, it would make the worker forget ends that no
		// decider has seen.
		h.SeenUpto = w.Durable
	}
	if w.Synced && w.Silent == 0 && w.Recorded && len(w.Runs) > 0 {
		h.DeadlineMS = s.Deadline(w)
		h.Wait = holdWait
		if w.Shared() {
			h.Wait = sharedHoldWait
		}
		if len(w.Ends) > 0 {
			h.Wait = 0
		}
	}
	w.Holding, w.Telling = true, w.Durable
	s.Do(h)
	return nextCheck
}

// HandleReport handles the outcome of a Hold. It returns the worker if the outcome is
// a report of the current incarnation, whose runs and ends are to be handled then,
// and nil otherwise.
func (s *Sender) HandleReport(e event.Reported) *track.Worker {
	w := s.Workers[e.Call.Worker]
	if w == nil || w.Life != e.Call.Life {
		return nil
	}
	w.Holding = false
	w.NextHold = s.Now.Steady
	switch e.Outcome {
	case event.Accepted:
	case event.OtherLife:
		s.IncarnationEnded(w)
		return nil
	default:
		if w.Silent == 0 {
			s.Note(nil, w, nil, "Hold failed; the worker gets no new tasks: "+string(e.Outcome))
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
		s.beginIncarnation(w, e.Born)
		return nil
	}
	w.Born = max(w.Born, e.Born)
	if w.Silent > 0 {
		s.Note(nil, w, nil, "Holds succeed again; the worker may get new tasks")
		s.Changed = true
	}
	w.Silent = 0
	if e.Call.Sent > w.Replaced && w.Replaced > 0 {
		w.Replaced, s.Changed = 0, true
	}
	if w.Lapsing {
		w.Lapsing = false
		s.RecordWorker(w, 0)
	}
	if !w.Recorded {
		w.NextHold = s.Now.Steady + savePollPause
	}
	w.ReadClock(s.Now.Steady, e.ClockMS)
	if !w.Synced {
		w.Synced, w.SyncedAt = true, s.Now.Steady
		s.Changed = true
	}
	w.Told = max(w.Told, w.Telling)
	return w
}

// ScheduleNextHold sets the time of a worker's next Hold after its report was handled.
func (s *Sender) ScheduleNextHold(w *track.Worker) {
	if len(w.Ends) > 0 {
		w.NextHold = s.Now.Steady + savePollPause
	}
	s.advanceDurable(w)
}

// ReconcileRuns compares the runs that a worker reports with those that are expected
// there. Unexpected runs are adopted or stopped, missing ones are released.
func (s *Sender) ReconcileRuns(w *track.Worker, e event.Reported) {
	seen := map[work.TaskID]bool{}
	for _, x := range e.Running {
		r := w.Runs[x.Task]
		if r == nil || r.N < x.Run {
			s.AdoptRun(w, x)
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
		if wasRunning := r.Percent >= 100; r.Measure(s.Now.Steady, x.Percent) && !wasRunning && r.LongRunning() {
			// As this task is running now, another one of its step may be stopped.
			s.Changed = true
		}
		r.Tail = time.Duration(x.Figure) * time.Millisecond
		if r.Phase == track.Starting {
			r.Phase, r.Waiting, r.Settled = track.Working, false, s.Now.Steady
			s.RunStarted(r)
		}
	}
	for _, r := range w.SortedRuns() {
		if seen[r.ID] || r.Phase == track.Marking {
			continue
		}
		// A report proves that a run isn't there only if its Hold was sent after
		// the last order about the run was answered.
		notBefore := r.Settled
		if r.Phase == track.Stopping {
			notBefore += s.Config.StopTime
		}
		if !r.Waiting && e.Call.Sent > notBefore {
			s.Note(nil, w, r, "run is missing from its worker's report; releasing it")
			s.Release(r, event.Lapsed, "")
		}
	}
}

// AdoptRun handles a run that a worker reports and that isn't expected there. The run
// is adopted if its task needs one. Otherwise it is stopped, unless the jobs of its
// partition aren't known yet.
func (s *Sender) AdoptRun(w *track.Worker, x event.Running) {
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
			// A former decider may have ordered its stop, so it counts as running
			// only once another report lists it.
			r.Percent = 0
		}
	}
	if t == nil {
		// The demand of an unknown task isn't known, so it holds the whole worker.
		r.Demand = w.Capacity
	}
	w.Runs[x.Task] = r
	w.Used = w.Used.Plus(r.Demand)
	if wanted {
		s.Note(j, w, r, "adopted a run that the worker reports")
		if t.Step.Spec.Gang {
			s.TrackGangStart(t.Step)
		}
		s.RunStarted(r)
		return
	}
	if s.Unknown(x.Task.Job) {
		return
	}
	s.Note(j, w, r, "stopping a run that isn't wanted")
	s.Stop(r)
}

// AdvanceDurableEnds updates, for each worker, up to which end its ends are durable and
// may be forgotten there.
func (s *Sender) AdvanceDurableEnds() {
	for _, w := range s.Sorted {
		s.advanceDurable(w)
	}
}

// advanceDurable updates up to which end a worker's ends are durable: their jobs'
// records are saved, or they belong to no open job.
func (s *Sender) advanceDurable(w *track.Worker) {
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
