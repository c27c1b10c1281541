package launch

import (
	"citronbridge/event"
	"citronbridge/track"
)

// Start orders a run's start. The order is sent when it may be.
func (s *Launcher) Start(r *track.Run) {
	r.Phase, r.AwaitingAnswer, r.SentAt = track.Starting, true, s.Now.Steady
	s.queue(r)
}

// Stop orders a run's end, once.
func (s *Launcher) Stop(r *track.Run) {
	switch {
	case r.Phase == track.Stopping:
		return
	case r.Phase == track.Recording, r.Phase == track.Starting && r.StartsSent == 0:
		// The worker has never heard of it.
		s.Release(r, event.Stopped, "")
		return
	}
	r.Phase, r.AwaitingAnswer, r.SentAt = track.Stopping, true, s.Now.Steady
	s.queue(r)
}

// Answered takes in the outcome of a Start or a Stop.
func (s *Launcher) Answered(e event.OrderAnswered) {
	w := s.Workers[e.Call.Worker]
	s.settle(w, e)
	if w == nil {
		return
	}
	s.answered(w, e)
	if r := w.Runs[e.Call.Task]; r != nil && r.N == e.Call.Run && r.AwaitingAnswer && !r.Queued && !r.InFlight {
		s.unanswered = append(s.unanswered, r)
	}
}

func (s *Launcher) answered(w *track.Worker, e event.OrderAnswered) {
	if w.Incarnation != e.Call.Incarnation {
		return
	}
	w.RecordClock(s.Now.Steady, e.ClockMS)
	if e.Outcome == event.OtherIncarnation {
		s.Ended(w)
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
		s.Begun(r)
	case event.NoAnswer, event.NotSent, event.Fenced:
		// The order may have been carried out: the same one is sent again, or
		// the next Hold tells.
		w.ClosedUntil = max(w.ClosedUntil, s.Now.Steady+2*RetryPause)
	case event.DeadlinePassed:
		s.settleStart(w, r, "deadline had passed")
	case event.StaleRun:
		r.Task.LastRun = max(r.Task.LastRun, r.N)
		s.settleStart(w, r, "run is not the newest there")
	case event.NoTicket:
		s.Advice.Refused(r.Task.Step.Key, w.IncarnationID())
		s.settleStart(w, r, "ticket doesn't hold")
	case event.NoRoom:
		w.ClosedUntil = s.Now.Steady + sickPause
		s.settleStart(w, r, "worker has no room")
	case event.Unhealthy:
		w.ClosedUntil = s.Now.Steady + sickPause
		s.settleStart(w, r, "worker is unhealthy")
	case event.Invalid:
		w.ClosedUntil = s.Now.Steady + sickPause
		s.settleStart(w, r, "worker can't read the order")
	}
}

// settleStart gives up a start that a worker refused. Earlier tries of it may
// still be under way, so a stop makes sure that the worker never takes it.
func (s *Launcher) settleStart(w *track.Worker, r *track.Run, why string) {
	s.Log(r.Task.Step.Job, w, r, "start refused: "+why)
	if r.StartsSent == 1 {
		s.Release(r, event.Stopped, "")
		return
	}
	s.Stop(r)
}

// Begun notes that a run has started: that may be the job's first, or the last
// of a gang.
func (s *Launcher) Begun(r *track.Run) {
	st := r.Task.Step
	if st.GangOrderedAt > 0 && s.whole(st) {
		s.Emit(event.GangStarted{Took: s.Now.Steady - st.GangOrderedAt})
		st.GangOrderedAt = 0
	}
	j := st.Job
	if !j.Started {
		j.Started = true
		s.Emit(event.JobStarted{Queue: j.Spec.Queue, Wait: s.Now.Steady - j.AddedAt})
		s.Log(j, r.Worker, r, "first task has started")
	}
}

// Release takes a run off its worker. A task that isn't done waits again.
func (s *Launcher) Release(r *track.Run, how event.EndReason, saved string) {
	if r.Worker.Runs[r.ID] != r {
		return
	}
	delete(r.Worker.Runs, r.ID)
	r.Worker.Used = r.Worker.Used.Minus(r.Demand)
	s.NeedsPlacement = true
	s.Emit(event.RunEnded{Reason: how})
	t := r.Task
	if t == nil || t.Run != r {
		return
	}
	t.Run, t.WaitingSince = nil, s.Now.Steady
	if saved == "" {
		saved = r.Checkpoint
	}
	j := t.Step.Job
	if saved != "" && how != event.Done && saved != t.Checkpoint {
		t.Checkpoint = saved
		if t.Step.Spec.Gang {
			t.Step.Checkpoint = saved
		}
		j.Record.SetSaved(t.Key(), saved)
	}
	if how != event.Done && t.Step.Spec.Gang && !t.Done && !j.Record.State.Final() {
		s.breakGang(t.Step, r.N)
	}
	if j.Record.State.Final() && j.SavedSeq >= j.Seq && !j.HasRuns() {
		s.RemoveJob(j)
	}
}

// breakGang stops what is left of a run of a gang that has lost a member.
func (s *Launcher) breakGang(st *track.Step, n int) {
	st.GangOrderedAt = 0
	for _, t := range st.Tasks {
		if t.Run != nil && t.Run.N == n {
			s.Stop(t.Run)
		}
	}
}
