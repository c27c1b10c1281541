package sched

import (
	"citronbridge/event"
	"citronbridge/track"
	"citronbridge/work"
)

// reported takes in the answer to a Hold.
func (s *State) reported(e event.Reported) {
	w := s.HandleReport(e)
	if w == nil {
		return
	}
	for _, x := range e.Ended {
		if x.N > w.Processed {
			w.Processed = x.N
			s.end(w, x)
		}
	}
	s.ReconcileRuns(w, e)
	s.moveSlow(w)
	s.UpdatePace(w)
	s.ScheduleNextHold(w)
}

// end takes in one end that a worker lists.
func (s *State) end(w *track.Worker, x event.Ended) {
	if s.Unknown(x.Task.Job) {
		w.Ends = append(w.Ends, track.PendingEnd{N: x.N, Job: x.Task.Job, Unread: &x})
	} else if j := s.apply(w, x); j != nil && j.SavedSeq < j.Seq {
		w.Ends = append(w.Ends, track.PendingEnd{N: x.N, Job: j.Spec.ID, Seq: j.Seq})
	}
	if r := w.Runs[x.Task]; r != nil && r.N <= x.Run {
		s.Release(r, x.How, x.Saved)
	}
}

// apply notes what an end means for its job, which it returns.
func (s *State) apply(w *track.Worker, x event.Ended) *track.Job {
	j, t := s.Find(x.Task)
	if t == nil {
		return nil
	}
	t.Last = max(t.Last, x.Run)
	t.Step.Last = max(t.Step.Last, x.Run)
	if j.Record.State.Final() {
		return j
	}
	switch x.How {
	case event.Done:
		s.taskDone(t, w, x.Run)
	case event.Failed:
		s.taskFailed(t, w, x.Run)
	case event.Alone:
		s.Note(j, w, w.Runs[x.Task], "gang was incomplete at its worker")
	}
	return j
}

// match matches a job that has just become known with what workers have listed
// of it before.
func (s *State) match(j *track.Job) {
	for _, w := range s.Sorted {
		for i := range w.Ends {
			p := &w.Ends[i]
			if p.Unread == nil || p.Job != j.Spec.ID {
				continue
			}
			s.apply(w, *p.Unread)
			p.Unread, p.Seq = nil, j.Seq
		}
		for _, r := range w.SortedRuns() {
			if r.Task == nil && r.ID.Job == j.Spec.ID && r.Phase == track.Working {
				delete(w.Runs, r.ID)
				w.Used = w.Used.Minus(r.Demand)
				s.AdoptRun(w, event.Running{Task: r.ID, Run: r.N, Saved: r.Saved, Percent: r.Percent})
			}
		}
	}
}

// dropUnknown stops the runs, and forgets the ends, of jobs that aren't open.
func (s *State) dropUnknown() {
	for _, w := range s.Sorted {
		for i := range w.Ends {
			if p := &w.Ends[i]; p.Unread != nil && !s.Unknown(p.Job) {
				p.Unread = nil
			}
		}
		for _, r := range w.SortedRuns() {
			if r.Task == nil && r.Phase == track.Working && !s.Unknown(r.ID.Job) {
				s.Note(nil, w, r, "run isn't wanted")
				s.Stop(r)
			}
		}
	}
}

// taskDone marks a task, and with it the whole of a gang, as done in a run. Another
// run of it is stopped: that was started while nothing was heard of the first.
func (s *State) taskDone(t *track.Task, w *track.Worker, run int) {
	w.Streak = 0
	if t.Step.Spec.LongRunning {
		return
	}
	l := []*track.Task{t}
	if t.Step.Spec.Gang {
		l = t.Step.Tasks
	}
	j := t.Step.Job
	before := t.Step.Left
	for _, o := range l {
		if !o.Done {
			o.Done = true
			t.Step.Left--
			j.Record.SetDone(t.Step.Occurrence, t.Step.Index, o.Index)
		}
		if o.Run != nil && o.Run.N != run {
			s.Note(j, o.Run.Worker, o.Run, "stopped as its task is done in another run")
			s.Stop(o.Run)
		}
	}
	if t.Step.Left == before {
		return
	}
	if t.Step.Left == 0 {
		j.Left--
	}
	if j.Finished() {
		s.finish(j, work.Succeeded)
		return
	}
	s.touch(j)
}

// taskFailed counts a failed run.
func (s *State) taskFailed(t *track.Task, w *track.Worker, n int) {
	j := t.Step.Job
	s.Note(j, w, t.Run, "run failed")
	if t.Step.Spec.LongRunning && t.Run != nil && t.Run.Worker == w && t.Run.Percent >= 100 {
		// It was at work: such tasks may fail at any time.
		return
	}
	if w.StreakJob != j.Spec.ID && j.Failures == 0 {
		w.Streak++
	}
	w.StreakJob = j.Spec.ID
	if w.Streak >= badStreak {
		w.ClosedUntil = s.Now.Steady + badPause
		s.Note(nil, w, nil, "worker fails what it starts")
	}
	j.Failures++
	if t.Step.Spec.LongRunning || t.Done {
		return
	}
	t.Step.Avoid[w.ID] = true
	limit := 1
	if q := s.QueueOf(j); q != nil {
		limit = q.MaxAttempts
	}
	if j.Record.AddFailure(t.Key(), n) >= limit {
		s.finish(j, work.Failed)
		return
	}
	s.touch(j)
}
