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
	for _, w := range s.WorkersByID {
		if w.HoldInFlight && !w.Synced {
			first++
		}
	}
	for _, inherited := range []bool{true, false} {
		for _, w := range s.WorkersByID {
			if w.Inherited != inherited || !w.Synced && first >= maxFirst {
				continue
			}
			asked := w.HoldInFlight
			next = min(next, s.hold(w))
			if !asked && w.HoldInFlight && !w.Synced {
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
	if w.HoldInFlight || w.Terminated || w.Address == "" || s.Limits.NoOrders {
		return idle
	}
	needed := len(w.Runs) > 0 || !w.Synced || w.UnansweredCalls > 0 || w.DurableEnd > w.ConfirmedAck || len(w.PendingEnds) > 0 || w.ReplacedAt > 0
	if !needed {
		return idle
	}
	if !w.Listed && len(w.Runs) == 0 && (!w.Inherited || now-s.AcquiredAt > s.Config.InheritTime) {
		s.forget(w)
		return idle
	}
	if now < w.NextHold {
		return w.NextHold
	}
	h := event.Hold{Call: s.Call(w)}
	if w.DurableEnd > w.ConfirmedAck {
		// Only when there is something to forget: in a life that isn't known
		// yet the number would forget ends that nobody has seen.
		h.AckedEnd = w.DurableEnd
	}
	if w.Synced && w.UnansweredCalls == 0 && w.Recorded && len(w.Runs) > 0 {
		h.DeadlineMS = s.ExtendLease(w)
		h.Wait = holdWait
		if w.Shared() {
			h.Wait = sharedWait
		}
		if len(w.PendingEnds) > 0 {
			h.Wait = 0
		}
	}
	w.HoldInFlight, w.SendingAck = true, w.DurableEnd
	s.Emit(h)
	return idle
}

// Reported takes in the answer to a Hold. It returns the worker if that told
// what runs there and what has ended.
func (s *Sender) Reported(e event.HoldAnswered) *track.Worker {
	w := s.Workers[e.Call.Worker]
	if w == nil || w.Incarnation != e.Call.Incarnation {
		return nil
	}
	w.HoldInFlight = false
	w.NextHold = s.Now.Steady
	switch e.Outcome {
	case event.Accepted:
	case event.OtherIncarnation:
		s.Ended(w)
		return nil
	default:
		if w.UnansweredCalls == 0 {
			s.Log(nil, w, nil, "worker doesn't answer: "+string(e.Outcome))
		}
		w.UnansweredCalls++
		w.NextHold = s.Now.Steady + min(launch.RetryPause*time.Duration(w.UnansweredCalls), time.Second)
		s.NeedsPlacement = true
		return nil
	}
	if e.StartedMS != 0 && w.StartedMS != 0 && e.StartedMS != w.StartedMS {
		if e.StartedMS < w.StartedMS {
			return nil
		}
		s.reborn(w, e.StartedMS)
		return nil
	}
	w.StartedMS = max(w.StartedMS, e.StartedMS)
	if w.UnansweredCalls > 0 {
		s.Log(nil, w, nil, "worker answers again")
		s.NeedsPlacement = true
	}
	w.UnansweredCalls = 0
	if e.Call.Sent > w.ReplacedAt && w.ReplacedAt > 0 {
		w.ReplacedAt, s.NeedsPlacement = 0, true
	}
	if w.Lapsing {
		w.Lapsing = false
		s.Record(w, 0)
	}
	if !w.Recorded {
		w.NextHold = s.Now.Steady + savePause
	}
	w.RecordClock(s.Now.Steady, e.ClockMS)
	if !w.Synced {
		w.Synced, w.SyncedAt = true, s.Now.Steady
		s.NeedsPlacement = true
	}
	w.ConfirmedAck = max(w.ConfirmedAck, w.SendingAck)
	return w
}

// Next sets when the worker is asked again, once its answer is taken in.
func (s *Sender) Next(w *track.Worker) {
	if len(w.PendingEnds) > 0 {
		w.NextHold = s.Now.Steady + savePause
	}
	s.forgetEnds(w)
}

// Compare matches what a worker lists as running with what is expected there.
func (s *Sender) Compare(w *track.Worker, e event.HoldAnswered) {
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
		if x.Checkpoint != "" && x.Checkpoint != r.Checkpoint {
			r.Checkpoint = x.Checkpoint
		}
		if up := r.Progress >= 100; r.RecordProgress(s.Now.Steady, x.Progress) && !up && r.LongRunning() {
			// Another task of its step may be stopped now.
			s.NeedsPlacement = true
		}
		r.TailLatency = time.Duration(x.Metric) * time.Millisecond
		if r.Phase == track.Starting {
			r.Phase, r.AwaitingAnswer, r.AnsweredAt = track.Running, false, s.Now.Steady
			s.Begun(r)
		}
	}
	for _, r := range w.SortedRuns() {
		if seen[r.ID] || r.Phase == track.Recording {
			continue
		}
		// Only an answer to a Hold that was sent after the last order about
		// the run was answered tells that it isn't there.
		late := r.AnsweredAt
		if r.Phase == track.Stopping {
			late += s.Config.StopTime
		}
		if !r.AwaitingAnswer && e.Call.Sent > late {
			s.Log(nil, w, r, "run is not at its worker")
			s.Release(r, event.Lapsed, "")
		}
	}
}

// Adopt takes in a run that a worker lists and that isn't expected there.
func (s *Sender) Adopt(w *track.Worker, x event.Running) {
	if old := w.Runs[x.Task]; old != nil {
		s.Release(old, event.Lapsed, "")
	}
	r := &track.Run{ID: x.Task, N: x.Run, Worker: w, Phase: track.Running, Checkpoint: x.Checkpoint, DecidedAt: s.Now.Steady, AnsweredAt: s.Now.Steady, Progress: x.Progress, Pace: track.UnknownPace}
	j, t := s.FindTask(x.Task)
	wanted := false
	if t != nil {
		r.Demand = t.Step.Spec.Counted()
		t.LastRun = max(t.LastRun, x.Run)
		t.Step.LastRun = max(t.Step.LastRun, x.Run)
		wanted = !t.Done && t.Run == nil && !j.Record.State.Final() && t.Step.MatchesGangRun(x.Run)
		if t.Run == nil {
			r.Task, t.Run, t.Inherited = t, r, false
		}
		if r.LongRunning() {
			// A former decider may have ordered its end: it counts as at work
			// once another answer lists it.
			r.Progress = 0
		}
	}
	if t == nil {
		// What an unknown task takes isn't known: nothing goes beside it.
		r.Demand = w.Capacity
	}
	w.Runs[x.Task] = r
	w.Used = w.Used.Plus(r.Demand)
	if wanted {
		s.Log(j, w, r, "run adopted")
		if t.Step.Spec.Gang {
			s.Opens(t.Step)
		}
		s.Begun(r)
		return
	}
	if s.NotYetLoaded(x.Task.Job) {
		return
	}
	s.Log(j, w, r, "run isn't wanted")
	s.Stop(r)
}

// Settle moves on what may be forgotten at each worker.
func (s *Sender) Settle() {
	for _, w := range s.WorkersByID {
		s.forgetEnds(w)
	}
}

// forgetEnds finds how far a worker's ends are durable.
func (s *Sender) forgetEnds(w *track.Worker) {
	for len(w.PendingEnds) > 0 {
		p := w.PendingEnds[0]
		if p.Unapplied != nil {
			w.DurableEnd = max(w.DurableEnd, p.N-1)
			return
		}
		if j := s.Jobs[p.Job]; j != nil && j.SavedSeq < p.Seq {
			w.DurableEnd = max(w.DurableEnd, p.N-1)
			return
		}
		w.PendingEnds = w.PendingEnds[1:]
		w.DurableEnd = max(w.DurableEnd, p.N)
		if len(w.PendingEnds) == 0 {
			w.NextHold = min(w.NextHold, s.Now.Steady)
		}
	}
	w.DurableEnd = max(w.DurableEnd, w.HandledEnd)
}
