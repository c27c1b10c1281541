package sched

import (
	"time"

	"citronbridge/event"
	"citronbridge/work"
)

// holds asks what workers there is something to ask, those first that may run
// what a former decider started. It returns when to look again.
func (s *State) holds() time.Duration {
	next := s.now.Steady + time.Second
	first := 0
	for _, id := range s.names {
		if w := s.pool[id]; w.holding && !w.synced {
			first++
		}
	}
	for _, inherited := range []bool{true, false} {
		for _, id := range s.names {
			w := s.pool[id]
			if w == nil || w.inherited != inherited || !w.synced && first >= maxFirst {
				continue
			}
			asked := w.holding
			next = min(next, s.hold(w))
			if !asked && w.holding && !w.synced {
				first++
			}
		}
	}
	return next
}

// hold keeps one Hold under way for a worker that has something to tell, and
// returns when to look again.
func (s *State) hold(w *worker) time.Duration {
	now := s.now.Steady
	idle := now + time.Second
	if w.holding || w.gone || w.Address == "" || s.limits.NoOrders {
		return idle
	}
	needed := len(w.runs) > 0 || !w.synced || w.silent > 0 || w.durable > w.told || len(w.ends) > 0
	if !needed {
		return idle
	}
	if !w.listed && len(w.runs) == 0 && (!w.inherited || now-s.taken > s.c.Inherit) {
		s.forget(w)
		return idle
	}
	if now < w.nextHold {
		return w.nextHold
	}
	h := event.Hold{Call: s.call(w)}
	if w.durable > w.told {
		// Only when there is something to forget: in a life that isn't known
		// yet the number would forget ends that nobody has seen.
		h.SeenUpto = w.durable
	}
	if w.synced && w.silent == 0 && w.recorded && len(w.runs) > 0 {
		h.DeadlineMS = s.deadline(w)
		h.Wait = holdWait
		if w.shared() {
			h.Wait = sharedWait
		}
		if len(w.ends) > 0 {
			h.Wait = 0
		}
	}
	w.holding, w.telling = true, w.durable
	s.do(h)
	return idle
}

// forget drops a worker that is gone and holds nothing.
func (s *State) forget(w *worker) {
	if w.recorded || w.asked {
		w.recorded, w.asked = false, false
		s.do(event.ForgetWorker{ID: w.id})
	}
	s.lives[w.id] = w.life
	delete(s.pool, w.id)
	for i, n := range s.names {
		if n == w.id {
			s.names = append(s.names[:i:i], s.names[i+1:]...)
			break
		}
	}
}

// reported takes in the answer to a Hold.
func (s *State) reported(e event.Reported) {
	w := s.pool[e.Call.Worker]
	if w == nil || w.life != e.Call.Life {
		return
	}
	w.holding = false
	w.nextHold = s.now.Steady
	switch e.Outcome {
	case event.Accepted:
	case event.OtherLife:
		s.ended(w)
		return
	default:
		if w.silent == 0 {
			s.note(nil, w, nil, "worker doesn't answer: "+string(e.Outcome))
		}
		w.silent++
		w.nextHold = s.now.Steady + min(retryPause*time.Duration(w.silent), time.Second)
		s.changed = true
		return
	}
	if e.Born != 0 && w.Born != 0 && e.Born != w.Born {
		if e.Born < w.Born {
			return
		}
		s.reborn(w, e.Born)
		return
	}
	w.Born = max(w.Born, e.Born)
	if w.silent > 0 {
		s.note(nil, w, nil, "worker answers again")
		s.changed = true
	}
	w.silent = 0
	if w.lapsing {
		w.lapsing = false
		s.record(w, 0)
	}
	if !w.recorded {
		w.nextHold = s.now.Steady + savePause
	}
	s.clock(w, e.ClockMS)
	if !w.synced {
		w.synced, w.syncedAt = true, s.now.Steady
		s.changed = true
	}
	w.told = max(w.told, w.telling)
	for _, x := range e.Ended {
		if x.N > w.processed {
			w.processed = x.N
			s.end(w, x)
		}
	}
	s.compare(w, e)
	s.moveSlow(w)
	s.pace(w)
	if len(w.ends) > 0 {
		w.nextHold = s.now.Steady + savePause
	}
	s.forgetEnds(w)
}

// find returns the task of an ID, or nil. An occurrence that a worker knows
// of has been due.
func (s *State) find(id work.TaskID) (*job, *task) {
	j := s.jobs[id.Job]
	if j == nil {
		return nil, nil
	}
	for j.next <= id.Occurrence && j.next < j.spec.Occurrences() {
		j.open(j.next, s.now.Steady)
		j.next++
	}
	st := j.step(id.Occurrence, id.Step)
	if st == nil || id.Index >= len(st.tasks) {
		return j, nil
	}
	return j, st.tasks[id.Index]
}

// unknown reports whether the part of a job isn't known yet.
func (s *State) unknown(job string) bool {
	return s.jobs[job] == nil && !s.parts[s.c.PartOf(job)]
}

// end takes in one end that a worker lists.
func (s *State) end(w *worker, x event.Ended) {
	if s.unknown(x.Task.Job) {
		w.ends = append(w.ends, pendingEnd{n: x.N, job: x.Task.Job, unread: &x})
	} else if j := s.apply(w, x); j != nil && j.savedSeq < j.seq {
		w.ends = append(w.ends, pendingEnd{n: x.N, job: j.spec.ID, seq: j.seq})
	}
	if r := w.runs[x.Task]; r != nil && r.n <= x.Run {
		s.release(r, x.How, x.Saved)
	}
}

// apply notes what an end means for its job, which it returns.
func (s *State) apply(w *worker, x event.Ended) *job {
	j, t := s.find(x.Task)
	if t == nil {
		return nil
	}
	t.last = max(t.last, x.Run)
	t.step.last = max(t.step.last, x.Run)
	if j.rec.State.Final() {
		return j
	}
	switch x.How {
	case event.Done:
		s.taskDone(t, w)
	case event.Failed:
		s.taskFailed(t, w, x.Run)
	}
	return j
}

// match matches a job that has just become known with what workers have listed
// of it before.
func (s *State) match(j *job) {
	for _, id := range s.names {
		w := s.pool[id]
		for i := range w.ends {
			p := &w.ends[i]
			if p.unread == nil || p.job != j.spec.ID {
				continue
			}
			s.apply(w, *p.unread)
			p.unread, p.seq = nil, j.seq
		}
		for _, r := range s.runsOf(w) {
			if r.task == nil && r.id.Job == j.spec.ID && r.phase == working {
				delete(w.runs, r.id)
				w.used = w.used.Minus(r.demand)
				s.adopt(w, event.Running{Task: r.id, Run: r.n, Saved: r.saved, Percent: r.percent})
			}
		}
	}
}

// dropUnknown stops the runs, and forgets the ends, of jobs that aren't open.
func (s *State) dropUnknown() {
	for _, id := range s.names {
		w := s.pool[id]
		for i := range w.ends {
			if p := &w.ends[i]; p.unread != nil && !s.unknown(p.job) {
				p.unread = nil
			}
		}
		for _, r := range s.runsOf(w) {
			if r.task == nil && r.phase == working && !s.unknown(r.id.Job) {
				s.note(nil, w, r, "run isn't wanted")
				s.stop(r)
			}
		}
	}
}

// taskDone marks a task, and with it the whole of a gang, as done.
func (s *State) taskDone(t *task, w *worker) {
	w.streak = 0
	if t.step.spec.LongRunning {
		return
	}
	l := []*task{t}
	if t.step.spec.Gang {
		l = t.step.tasks
	}
	j := t.step.job
	before := t.step.left
	for _, o := range l {
		if !o.done {
			o.done = true
			t.step.left--
			j.rec.SetDone(t.step.k, t.step.i, o.index)
		}
	}
	if t.step.left == before {
		return
	}
	if t.step.left == 0 {
		j.left--
	}
	if j.finished() {
		s.finish(j, work.Succeeded)
		return
	}
	s.touch(j)
}

// taskFailed counts a failed run.
func (s *State) taskFailed(t *task, w *worker, n int) {
	j := t.step.job
	s.note(j, w, t.run, "run failed")
	if t.step.spec.LongRunning && t.run != nil && t.run.w == w && t.run.percent >= 100 {
		// It was at work: such tasks may fail at any time.
		return
	}
	if w.streakJob != j.spec.ID && j.failures == 0 {
		w.streak++
	}
	w.streakJob = j.spec.ID
	if w.streak >= badStreak {
		w.closedUntil = s.now.Steady + badPause
		s.note(nil, w, nil, "worker fails what it starts")
	}
	j.failures++
	if t.step.spec.LongRunning || t.done {
		return
	}
	t.step.avoid[w.id] = true
	limit := 1
	if q := s.rules.Queues[j.spec.Queue]; q != nil {
		limit = q.MaxAttempts
	}
	if j.rec.AddFailure(t.key(), n) >= limit {
		s.finish(j, work.Failed)
		return
	}
	s.touch(j)
}

// compare matches what a worker lists as running with what is expected there.
func (s *State) compare(w *worker, e event.Reported) {
	seen := map[work.TaskID]bool{}
	for _, x := range e.Running {
		r := w.runs[x.Task]
		if r == nil || r.n < x.Run {
			s.adopt(w, x)
			seen[x.Task] = true
			continue
		}
		if r.n > x.Run {
			continue
		}
		seen[x.Task] = true
		if x.Saved != "" && x.Saved != r.saved {
			r.saved = x.Saved
		}
		r.measure(s.now.Steady, x.Percent)
		r.tail = time.Duration(x.Figure) * time.Millisecond
		if r.phase == starting {
			r.phase, r.waiting, r.settled = working, false, s.now.Steady
			s.begun(r)
		}
	}
	for _, r := range s.runsOf(w) {
		if seen[r.id] || r.phase == marking {
			continue
		}
		// Only an answer to a Hold that was sent after the last order about
		// the run was answered tells that it isn't there.
		late := r.settled
		if r.phase == stopping {
			late += s.c.StopTime
		}
		if !r.waiting && e.Call.Sent > late {
			s.note(nil, w, r, "run is not at its worker")
			s.release(r, event.Lapsed, "")
		}
	}
}

// adopt takes in a run that a worker lists and that isn't expected there.
func (s *State) adopt(w *worker, x event.Running) {
	if old := w.runs[x.Task]; old != nil {
		s.release(old, event.Lapsed, "")
	}
	r := &run{id: x.Task, n: x.Run, w: w, phase: working, saved: x.Saved, since: s.now.Steady, settled: s.now.Steady, percent: x.Percent, pace: unknownPace}
	j, t := s.find(x.Task)
	wanted := false
	if t != nil {
		r.demand = t.step.spec.Counted()
		t.last = max(t.last, x.Run)
		t.step.last = max(t.step.last, x.Run)
		wanted = !t.done && t.run == nil && !j.rec.State.Final() && t.step.joins(x.Run)
		if t.run == nil {
			r.task, t.run, t.inherited = t, r, false
		}
	}
	if t == nil {
		// What an unknown task takes isn't known: nothing goes beside it.
		r.demand = w.Capacity
	}
	w.runs[x.Task] = r
	w.used = w.used.Plus(r.demand)
	if wanted {
		s.note(j, w, r, "run adopted")
		s.begun(r)
		return
	}
	if s.unknown(x.Task.Job) {
		return
	}
	s.note(j, w, r, "run isn't wanted")
	s.stop(r)
}

// joins reports whether a run of a member belongs to what the gang runs now.
func (s *step) joins(n int) bool {
	if !s.spec.Gang {
		return true
	}
	for _, t := range s.tasks {
		if t.run != nil && t.run.n != n {
			return false
		}
	}
	return true
}

// settle moves on what may be forgotten at each worker.
func (s *State) settle() {
	for _, id := range s.names {
		s.forgetEnds(s.pool[id])
	}
}

// forgetEnds finds how far a worker's ends are durable.
func (s *State) forgetEnds(w *worker) {
	for len(w.ends) > 0 {
		p := w.ends[0]
		if p.unread != nil {
			w.durable = max(w.durable, p.n-1)
			return
		}
		if j := s.jobs[p.job]; j != nil && j.savedSeq < p.seq {
			w.durable = max(w.durable, p.n-1)
			return
		}
		w.ends = w.ends[1:]
		w.durable = max(w.durable, p.n)
		if len(w.ends) == 0 {
			w.nextHold = min(w.nextHold, s.now.Steady)
		}
	}
	w.durable = max(w.durable, w.processed)
}
