package sched

import (
	"time"

	"citronbridge/event"
	"citronbridge/speed"
	"citronbridge/track"
	"citronbridge/work"
)

// holdAnswered handles the answer to a Hold.
func (s *State) holdAnswered(e event.HoldAnswered) {
	w := s.HandleReport(e)
	if w == nil {
		return
	}
	for _, x := range e.Ended {
		if x.N > w.HandledEnd {
			w.HandledEnd = x.N
			s.handleEnd(w, x)
		}
	}
	s.ReconcileRuns(w, e)
	speed.Observe(s.Pool, w)
	s.moveSlow(w)
	s.UpdatePace(w)
	s.ScheduleNextHold(w)
}

// handleEnd handles one ended run that a worker lists.
func (s *State) handleEnd(w *track.Worker, x event.Ended) {
	if s.NotYetLoaded(x.Task.Job) {
		w.PendingEnds = append(w.PendingEnds, track.PendingEnd{N: x.N, Job: x.Task.Job, Unapplied: &x})
	} else if j := s.applyEnd(w, x); j != nil && j.SavedSeq < j.Seq {
		w.PendingEnds = append(w.PendingEnds, track.PendingEnd{N: x.N, Job: j.Spec.ID, Seq: j.Seq})
	}
	if r := w.Runs[x.Task]; r != nil && r.N <= x.Run {
		s.Release(r, x.Reason, x.Checkpoint)
	}
}

// applyEnd applies an ended run to its job and returns the job, or nil if the task is
// unknown.
func (s *State) applyEnd(w *track.Worker, x event.Ended) *track.Job {
	j, t := s.FindTask(x.Task)
	if t == nil {
		return nil
	}
	t.LastRun = max(t.LastRun, x.Run)
	t.Step.LastRun = max(t.Step.LastRun, x.Run)
	j.Record.Started = true
	if j.Record.State.Final() {
		return j
	}
	switch x.Reason {
	case event.Done:
		s.taskDone(t, w, x.Run)
	case event.Failed:
		s.taskFailed(t, w, x.Run)
	case event.GangIncomplete:
		s.Log(j, w, w.Runs[x.Task], "run ended: other members of its gang did not start in time")
	}
	return j
}

// reconcileJob applies to a newly added job the ends and runs that workers reported before
// the job was known.
func (s *State) reconcileJob(j *track.Job) {
	for _, w := range s.WorkersByID {
		for i := range w.PendingEnds {
			p := &w.PendingEnds[i]
			if p.Unapplied == nil || p.Job != j.Spec.ID {
				continue
			}
			s.applyEnd(w, *p.Unapplied)
			p.Unapplied, p.Seq = nil, j.Seq
		}
		for _, r := range w.SortedRuns() {
			if r.Task == nil && r.ID.Job == j.Spec.ID && r.Phase == track.Running {
				delete(w.Runs, r.ID)
				w.Used = w.Used.Minus(r.Demand)
				s.AdoptRun(w, event.Running{Task: r.ID, Run: r.N, Checkpoint: r.Checkpoint, Progress: r.Progress})
			}
		}
	}
}

// dropUnknownJobs stops runs and drops ends whose jobs aren't open although their
// partitions are loaded.
func (s *State) dropUnknownJobs() {
	for _, w := range s.WorkersByID {
		for i := range w.PendingEnds {
			if p := &w.PendingEnds[i]; p.Unapplied != nil && !s.NotYetLoaded(p.Job) {
				p.Unapplied = nil
			}
		}
		for _, r := range w.SortedRuns() {
			if r.Task == nil && r.Phase == track.Running && !s.NotYetLoaded(r.ID.Job) {
				s.Log(nil, w, r, "stopping run: its job is not open")
				s.Stop(r)
			}
		}
	}
}

// taskDone marks a task, or all tasks of a gang, as done in a run. Other runs of them are
// stopped: such a run was started while the worker of this one was unresponsive.
func (s *State) taskDone(t *track.Task, w *track.Worker, run int) {
	w.FailureStreak, w.FailedRuns, w.FailedJobs = 0, 0, 0
	if t.Step.Spec.LongRunning {
		return
	}
	l := []*track.Task{t}
	if t.Step.Spec.Gang {
		l = t.Step.Tasks
	}
	j := t.Step.Job
	done := 0
	for _, o := range l {
		if !o.Done {
			o.Done = true
			done++
			j.Record.SetDone(t.Step.Occurrence, t.Step.Index, o.Index)
		}
		if o.Run != nil && o.Run.N != run {
			s.Log(j, o.Run.Worker, o.Run, "stopping run: its task is done in another run")
			s.Stop(o.Run)
		}
	}
	if done == 0 {
		return
	}
	j.TasksDone(t.Step, done)
	if j.Finished() {
		s.finish(j, work.Succeeded)
		return
	}
	s.markDirty(j)
}

// pauseAfterFailure gives a worker no new tasks for a pause that doubles with each failure
// since a task was last done there. A worker that fails all tasks at once is free again at
// once, so without a pause it would get more of them than any other.
func pauseAfterFailure(now time.Duration, w *track.Worker) {
	w.PausedUntil = max(w.PausedUntil, now+min(failurePause<<min(w.FailedRuns, maxFailureDoublings), workerPause))
	w.FailedRuns++
	w.LastFailure = now
}

// taskFailed handles a failed run. The job fails once its attempts are used up.
func (s *State) taskFailed(t *track.Task, w *track.Worker, n int) {
	j := t.Step.Job
	s.Log(j, w, t.Run, "run failed")
	if t.Step.Spec.LongRunning && t.Run != nil && t.Run.Worker == w && t.Run.Progress >= 100 {
		// It was serving: such tasks may fail at any time, so the failure doesn't count.
		return
	}
	pauseAfterFailure(s.Now.Steady, w)
	if w.LastFailedJob != j.Spec.ID {
		w.FailedJobs++
	}
	if w.LastFailedJob != j.Spec.ID && j.Failures == 0 {
		w.FailureStreak++
	}
	w.LastFailedJob = j.Spec.ID
	if w.FailureStreak >= failureStreakLimit {
		w.PausedUntil = s.Now.Steady + workerPause
		s.Log(nil, w, nil, "jobs keep failing on worker; pausing new tasks on it")
	}
	j.Failures++
	if t.Step.Spec.LongRunning || t.Done {
		return
	}
	t.Step.FailedOn[w.ID] = s.Now.Steady
	limit := 1
	if q := s.QueueOf(j); q != nil {
		limit = q.MaxAttempts
	}
	if j.Record.AddFailure(t.Key(), n) >= limit {
		s.finish(j, work.Failed)
		return
	}
	s.markDirty(j)
}
