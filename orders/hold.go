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
	for _, w := range s.WorkersByID {
		if w.HoldInFlight && !w.Synced {
			firstHolds++
		}
	}
	for _, inherited := range []bool{true, false} {
		for _, w := range s.WorkersByID {
			if w.Inherited != inherited || !w.Synced && firstHolds >= maxFirstHolds {
				continue
			}
			wasHolding := w.HoldInFlight
			next = min(next, s.sendHold(w))
			if !wasHolding && w.HoldInFlight && !w.Synced {
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
	if w.HoldInFlight || w.Terminated || w.Address == "" || s.Limits.NoOrders {
		return nextCheck
	}
	needed := len(w.Runs) > 0 || !w.Synced || w.UnansweredCalls > 0 || w.DurableEnd > w.ConfirmedAck || len(w.PendingEnds) > 0 || w.ReplacedAt > 0 || w.EntryDoubtedAt > 0 ||
		w.Listed && now-w.ClockAt > track.MaxClockAge
	if !needed {
		return nextCheck
	}
	if !w.Listed && len(w.Runs) == 0 && !w.MoreEnds && (!w.Inherited || now-s.AcquiredAt > s.Config.InheritTime) {
		s.forgetWorker(w)
		return nextCheck
	}
	if now < w.NextHold {
		return w.NextHold
	}
	h := event.Hold{Call: s.Call(w)}
	if w.DurableEnd > w.ConfirmedAck {
		// The number is one of the incarnation that the call is for. Any other would
		// forget ends that no decider has seen.
		h.AckedEnd = w.DurableEnd
	}
	if w.Synced && w.UnansweredCalls == 0 && w.Recorded && w.ClockMS != 0 && len(w.Runs) > 0 {
		h.DeadlineMS = s.ExtendLease(w)
		h.Wait = holdWait
		if w.Shared() {
			h.Wait = sharedHoldWait
		}
		if len(w.PendingEnds) > 0 {
			h.Wait = 0
		}
	}
	w.HoldInFlight, w.SendingAck = true, w.DurableEnd
	s.Emit(h)
	return nextCheck
}

// HandleReport handles the outcome of a Hold. It returns the worker if the outcome is
// a report of the current incarnation, whose runs and ends are to be handled then,
// and nil otherwise.
func (s *Sender) HandleReport(e event.HoldAnswered) *track.Worker {
	w := s.Workers[e.Call.Worker]
	if w == nil || w.Incarnation != e.Call.Incarnation {
		return nil
	}
	w.HoldInFlight = false
	w.NextHold = s.Now.Steady
	switch e.Outcome {
	case event.Accepted:
	case event.OtherIncarnation:
		s.IncarnationEnded(w)
		return nil
	case event.Restarted:
		// The connection was made after the incarnation was known that the Hold was meant
		// for, so the one that answered is later, whatever its time of day.
		s.beginIncarnation(w, e.StartedMS)
		return nil
	default:
		if w.UnansweredCalls == 0 {
			s.Log(nil, w, nil, "Hold failed; the worker gets no new tasks: "+string(e.Outcome))
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
		s.beginIncarnation(w, e.StartedMS)
		return nil
	}
	w.StartedMS = max(w.StartedMS, e.StartedMS)
	if e.Call.Sent >= w.EntryDoubtedAt {
		w.EntryDoubtedAt = 0
	}
	if w.UnansweredCalls > 0 {
		s.Log(nil, w, nil, "Holds succeed again; the worker may get new tasks")
		s.NeedsPlacement = true
	}
	w.UnansweredCalls, w.ReportedAt = 0, max(w.ReportedAt, e.Call.Sent)
	if e.Call.Sent > w.ReplacedAt && w.ReplacedAt > 0 {
		w.ReplacedAt, s.NeedsPlacement = 0, true
	}
	if w.Lapsing {
		w.Lapsing = false
		s.RecordWorker(w, 0)
	}
	if !w.Recorded {
		w.NextHold = s.Now.Steady + savePollPause
	}
	w.RecordClock(s.Now.Steady, e.ClockMS)
	if !w.Synced {
		w.Synced, w.SyncedAt = true, s.Now.Steady
		s.NeedsPlacement = true
	}
	w.ConfirmedAck = max(w.ConfirmedAck, w.SendingAck)
	if w.MoreEnds && !e.MoreEnds {
		s.NeedsPlacement = true
	}
	w.MoreEnds = e.MoreEnds
	return w
}

// ScheduleNextHold sets the time of a worker's next Hold after its report was handled.
func (s *Sender) ScheduleNextHold(w *track.Worker) {
	if len(w.PendingEnds) > 0 {
		w.NextHold = s.Now.Steady + savePollPause
	}
	s.advanceDurable(w)
}

// ReconcileRuns compares the runs that a worker reports with those that are expected
// there. Unexpected runs are adopted or stopped. Missing ones are released, unless the
// report may have left out their ends.
func (s *Sender) ReconcileRuns(w *track.Worker, e event.HoldAnswered) {
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
		if x.Checkpoint != "" && x.Checkpoint != r.Checkpoint {
			r.Checkpoint = x.Checkpoint
		}
		if wasServing := r.Progress >= 100; r.RecordProgress(s.Now.Steady, x.Progress) && !wasServing && r.LongRunning() {
			// As this task is serving now, another one of its step may be stopped.
			s.NeedsPlacement = true
		}
		r.TailLatency = time.Duration(x.Metric) * time.Millisecond
		if r.Phase == track.Starting {
			r.Phase, r.AwaitingAnswer, r.AnsweredAt = track.Running, false, s.Now.Steady
			s.RunStarted(r)
		}
	}
	if e.MoreEnds {
		return
	}
	for _, r := range w.SortedRuns() {
		if seen[r.ID] || r.Phase == track.Recording {
			continue
		}
		// A report proves that a run isn't there only if its Hold was sent after
		// the last order about the run was answered.
		notBefore := r.AnsweredAt
		if r.Phase == track.Stopping {
			notBefore += s.Config.StopTime
		}
		if !r.AwaitingAnswer && e.Call.Sent > notBefore {
			s.Log(nil, w, r, "run is missing from its worker's report; releasing it")
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
	r := &track.Run{ID: x.Task, N: x.Run, Worker: w, Phase: track.Running, Checkpoint: x.Checkpoint, DecidedAt: s.Now.Steady, AnsweredAt: s.Now.Steady, Progress: x.Progress, Pace: track.UnknownPace}
	j, t := s.FindTask(x.Task)
	wanted := false
	if t != nil {
		j.Record.Started = true
		r.Demand = t.Step.Spec.CapacityDemand()
		t.LastRun = max(t.LastRun, x.Run)
		t.Step.LastRun = max(t.Step.LastRun, x.Run)
		wanted = !t.Done && t.Run == nil && !j.Record.State.Final() && !j.HandingOver && t.Step.MatchesGangRun(x.Run)
		if t.Run == nil {
			r.Task, t.Run, t.Inherited = t, r, false
		}
		if r.LongRunning() {
			// A former decider may have ordered its stop, so it counts as serving
			// only once another report lists it.
			r.Progress = 0
		}
	}
	switch {
	case t != nil:
	case j != nil && x.Task.Step < len(j.Spec.Steps):
		// Its occurrence is done.
		r.Demand = j.Spec.Steps[x.Task.Step].CapacityDemand()
	default:
		// The demand of an unknown task isn't known, so it holds the whole worker.
		r.Demand, r.WholeWorker = w.Capacity, true
	}
	w.Runs[x.Task] = r
	w.Used = w.Used.Plus(r.Demand)
	s.AssumeLease(w)
	if wanted {
		s.Log(j, w, r, "adopted a run that the worker reports")
		if t.Step.Spec.Gang {
			s.TrackGangStart(t.Step)
		}
		s.RunStarted(r)
		return
	}
	if s.NotYetLoaded(x.Task.Job) {
		return
	}
	s.Log(j, w, r, "stopping reported run: its task does not need it")
	s.Stop(r)
}

// AdvanceDurableEnds updates, for each worker, up to which end its ends are durable and
// may be forgotten there.
func (s *Sender) AdvanceDurableEnds() {
	for _, w := range s.WorkersByID {
		s.advanceDurable(w)
	}
}

// advanceDurable updates up to which end a worker's ends are durable: their jobs'
// records are saved, or they belong to no open job.
func (s *Sender) advanceDurable(w *track.Worker) {
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
