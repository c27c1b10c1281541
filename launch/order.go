package launch

import (
	"citronbridge/event"
	"citronbridge/pacing"
	"citronbridge/track"
)

// Start queues the start of a run. Dispatch sends it.
func (s *Launcher) Start(r *track.Run) {
	r.Phase, r.AwaitingAnswer, r.SentAt = track.Starting, true, s.Now.Steady
	s.enqueue(r)
}

// Stop queues the stop of a run, or releases the run if its start was never sent. It
// does nothing if the run is already being stopped.
func (s *Launcher) Stop(r *track.Run) {
	switch {
	case r.Phase == track.Stopping:
		return
	case r.Phase == track.Recording, r.Phase == track.Starting && r.StartsSent == 0:
		// No start was sent, so the worker doesn't have the run.
		s.Release(r, event.Stopped, "")
		return
	}
	r.StartUnconfirmed = r.Phase == track.Starting
	r.Phase, r.AwaitingAnswer, r.SentAt, r.StoppedAt = track.Stopping, true, s.Now.Steady, s.Now.Steady
	s.enqueue(r)
}

// HandleAnswer handles the outcome of a Start or a Stop. An order whose outcome is
// unknown is sent again later.
func (s *Launcher) HandleAnswer(e event.OrderAnswered) {
	w := s.Workers[e.Call.Worker]
	s.finishCall(w, e)
	if w == nil {
		return
	}
	s.handleAnswer(w, e)
	if r := w.Runs[e.Call.Task]; r != nil && r.N == e.Call.Run && r.AwaitingAnswer && !r.Queued && !r.InFlight {
		s.unanswered = append(s.unanswered, r)
	}
}

// handleAnswer applies the outcome of an order to its run.
func (s *Launcher) handleAnswer(w *track.Worker, e event.OrderAnswered) {
	if w.Incarnation != e.Call.Incarnation {
		return
	}
	w.RecordClock(s.Now.Steady, e.ClockMS)
	if e.Outcome == event.OtherIncarnation {
		s.IncarnationEnded(w)
		return
	}
	r := w.Runs[e.Call.Task]
	if r == nil || r.N != e.Call.Run {
		return
	}
	if e.Call.Stop {
		if e.Outcome == event.Accepted && r.Phase == track.Stopping {
			r.AwaitingAnswer, r.AnsweredAt = false, s.Now.Steady
		}
		return
	}
	if r.Phase != track.Starting {
		return
	}
	switch e.Outcome {
	case event.Accepted:
		r.Phase, r.AwaitingAnswer, r.AnsweredAt = track.Running, false, s.Now.Steady
		s.RunStarted(r)
	case event.NoAnswer, event.NotSent, event.Fenced:
		// This order or an earlier copy may have been carried out. The start is sent
		// again, unless the answer to the next Hold shows that the task is running.
		w.ClosedUntil = max(w.ClosedUntil, s.Now.Steady+2*RetryPause)
		r.UnansweredAt = s.Now.Steady
	case event.DeadlinePassed:
		s.handleRefusedStart(w, r, "deadline had passed")
	case event.StaleRun:
		r.Task.LastRun = max(r.Task.LastRun, r.N)
		s.handleRefusedStart(w, r, "worker has seen this run or a newer one end")
	case event.NoTicket:
		s.Advice.Invalidate(r.Task.Step.Key, w.IncarnationID())
		s.handleRefusedStart(w, r, "its ticket isn't valid")
	case event.NoRoom:
		w.ClosedUntil = s.Now.Steady + refusalPause
		s.handleRefusedStart(w, r, "worker has no room")
	case event.Unhealthy:
		w.ClosedUntil = s.Now.Steady + refusalPause
		s.handleRefusedStart(w, r, "worker is unhealthy")
	case event.Invalid:
		w.ClosedUntil = s.Now.Steady + refusalPause
		s.handleRefusedStart(w, r, "worker can't decode the order")
	}
}

// handleRefusedStart releases a run whose start the worker refused. If the start was
// sent more than once, earlier copies may still be in flight, so the run is stopped
// instead, to make sure that the worker doesn't accept one of them later.
func (s *Launcher) handleRefusedStart(w *track.Worker, r *track.Run, reason string) {
	s.Log(r.Task.Step.Job, w, r, "start refused: "+reason)
	if r.StartsSent == 1 {
		s.Release(r, event.Stopped, "")
		return
	}
	s.Stop(r)
}

// RunStarted records that a run has started. It emits the metrics of a job's first
// run and of a gang that is complete with this run.
func (s *Launcher) RunStarted(r *track.Run) {
	st := r.Task.Step
	if st.GangOrderedAt > 0 && s.gangResolved(st) {
		s.Emit(event.GangStarted{Took: s.Now.Steady - st.GangOrderedAt})
		st.GangOrderedAt = 0
	}
	j := st.Job
	j.TakenOver = false
	// The job has something running, but each task of a long-running step waits for itself.
	for _, o := range j.Steps {
		if !o.Spec.LongRunning || o == st && !st.Waits() {
			o.RoomSince = 0
		}
	}
	if !j.Record.Started {
		j.Record.Started = true
		s.Emit(event.JobStarted{Queue: j.Spec.Queue, Wait: s.Now.Steady - j.AddedAt})
		s.Log(j, r.Worker, r, "first task of the job has started")
	}
}

// Release removes a run from its worker and frees what it held there. Its task waits
// for another run unless it is done. The checkpoint is the run's last, or empty to
// use the newest one reported. A gang that loses a member is stopped.
func (s *Launcher) Release(r *track.Run, reason event.EndReason, checkpoint string) {
	if r.Worker.Runs[r.ID] != r {
		return
	}
	delete(r.Worker.Runs, r.ID)
	r.Worker.Used = r.Worker.Used.Minus(r.Demand)
	if len(r.Worker.Runs) == 0 {
		// Only reports of runs raise the pace, and none of an idle worker follow.
		r.Worker.PaceLevel = pacing.NewLevel()
	}
	s.NeedsPlacement = true
	s.Emit(event.RunEnded{Reason: reason})
	t := r.Task
	if t == nil || t.Run != r {
		return
	}
	t.Run, t.WaitingSince = nil, s.Now.Steady
	if checkpoint == "" {
		checkpoint = r.Checkpoint
	}
	j := t.Step.Job
	if checkpoint != "" && reason != event.Done && checkpoint != t.Checkpoint {
		t.Checkpoint = checkpoint
		if t.Step.Spec.Gang {
			t.Step.Checkpoint = checkpoint
		}
		j.Record.SetSaved(t.Key(), checkpoint)
	}
	if reason != event.Done && t.Step.Spec.Gang && !t.Done && !j.Record.State.Final() {
		s.stopGangRun(t.Step, r.N)
	}
	if j.Record.State.Final() && j.SavedSeq >= j.Seq && !j.HasRuns() {
		s.RemoveJob(j)
	}
}

// stopGangRun stops the remaining members of run n of a gang.
func (s *Launcher) stopGangRun(st *track.Step, n int) {
	st.GangOrderedAt = 0
	for _, t := range st.Tasks {
		if t.Run != nil && t.Run.N == n {
			s.Stop(t.Run)
		}
	}
}
