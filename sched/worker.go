package sched

import (
	"slices"
	"time"

	"citronbridge/event"
	"citronbridge/pacing"
	"citronbridge/work"
)

// worker is a worker and what it runs.
type worker struct {
	event.Worker
	id string
	// listed says that the registry has the worker now.
	listed bool
	// recorded says that the worker is durably known as used, asked that it
	// is to be, by the write of number seq.
	recorded, asked bool
	seq             int64
	// lapsing says that a successor may rely on the lease not being renewed:
	// it isn't until the worker is recorded again.
	lapsing bool
	// inherited workers may run tasks of a former decider, until the time at
	// which its leases have ended.
	inherited      bool
	inheritedUntil time.Duration
	// life counts the lives seen, gone says that the last one is over.
	life int64
	gone bool
	// synced says that the worker has answered in this life, under this
	// decider's fence.
	synced   bool
	syncedAt time.Duration

	// clockMS is the worker's clock as read at clockAt.
	clockMS int64
	clockAt time.Duration
	// leaseEnd is when all that runs there is dead unless renewed.
	leaseEnd time.Duration

	// holding says that a Hold has no answer yet, nextHold is the earliest
	// time of the next.
	holding  bool
	nextHold time.Duration
	// silent counts the calls in a row without an answer.
	silent int

	// processed is the highest end taken in, durable the highest that may be
	// forgotten, telling and told what the worker is being and was told.
	processed, durable, telling, told int64
	ends                              []pendingEnd

	runs map[work.TaskID]*run
	used work.Amounts
	// level is the pace of best-effort tasks.
	level pacing.Level

	// closedUntil keeps new tasks away, streak counts failures in a row.
	closedUntil time.Duration
	streak      int
	streakJob   string
}

// pendingEnd is an end that a record must hold before it is forgotten.
type pendingEnd struct {
	n   int64
	job string
	seq int64
	// unread is set until the part that the job is in is known.
	unread *event.Ended
}

func (s *State) worker(id string) *worker {
	w := s.pool[id]
	if w == nil {
		w = &worker{id: id, runs: map[work.TaskID]*run{}, life: s.lives[id] + 1, level: pacing.NewLevel()}
		s.pool[id] = w
		s.names = append(s.names, id)
		slices.Sort(s.names)
	}
	return w
}

// known takes in a worker that a former decider has used.
func (s *State) known(e event.WorkerKnown) {
	w := s.worker(e.ID)
	if w.Address == "" {
		w.Address = e.Address
	}
	w.asked, w.inherited, w.inheritedUntil = true, true, s.taken+s.c.Inherit
	w.recorded, w.lapsing = !e.Lapsing, e.Lapsing
	if e.Lapsing {
		w.inheritedUntil = min(w.inheritedUntil, s.now.Steady+e.LapsesIn)
	}
}

// unseen reports whether the worker may run tasks of a former decider that
// this one hasn't been told of.
func (w *worker) unseen() bool { return w.inherited && !w.synced }

// record asks for the worker's row to be written.
func (s *State) record(w *worker, lapsesIn time.Duration) {
	w.recorded, w.asked = false, true
	s.rowSeq++
	w.seq = s.rowSeq
	s.do(event.RecordWorker{ID: w.id, Address: w.Address, Seq: w.seq, Lapsing: w.lapsing, LapsesIn: lapsesIn})
}

// recorded takes in that a worker's row is written.
func (s *State) recorded(e event.WorkerRecorded) {
	w := s.pool[e.ID]
	if w == nil || e.Seq != w.seq || w.lapsing {
		return
	}
	w.recorded, w.nextHold = true, min(w.nextHold, s.now.Steady)
	s.changed = true
}

// silentCalls is how many Holds in a row a worker must leave unanswered for its
// lease to be left to run out: single answers get lost.
const silentCalls = 2

// lapse tells successors until when a silent worker may run its tasks, so that
// they need not wait for the longest lease that it could have.
func (s *State) lapse(w *worker) {
	if w.silent < silentCalls || w.lapsing || !w.recorded || s.limits.NoOrders {
		return
	}
	end := w.leaseEnd
	if w.inherited {
		end = max(end, w.inheritedUntil)
	}
	if end <= s.now.Steady {
		return
	}
	s.note(nil, w, nil, "silent worker's lease isn't renewed")
	w.lapsing = true
	s.record(w, end-s.now.Steady)
}

// outlive counts nothing as inherited from a worker that hasn't answered, once
// its former leases have ended. It returns when to look again.
func (s *State) outlive(w *worker) time.Duration {
	now := s.now.Steady
	switch {
	case !w.unseen():
		return now + time.Second
	case now < w.inheritedUntil:
		return w.inheritedUntil
	}
	w.inherited, s.changed = false, true
	s.note(nil, w, nil, "inherited lease has run out")
	return now + time.Second
}

// listed takes in a worker's entry.
func (s *State) listed(e event.Worker) {
	w := s.worker(e.ID)
	if w.Born != 0 && e.Born != 0 && e.Born > w.Born {
		s.reborn(w, e.Born)
	}
	born := max(w.Born, e.Born)
	if w.gone && w.Address != e.Address {
		w.gone = false
	}
	w.Worker, w.listed = e, true
	w.Born = born
	s.changed = true
	if !w.recorded && !w.asked {
		s.record(w, 0)
	}
}

// reborn begins another life of a worker. What the last one ran is settled by
// the first answer under a higher fence, as an order may still be under way.
func (s *State) reborn(w *worker, born int64) {
	s.note(nil, w, nil, "worker has restarted")
	w.life++
	w.Born, w.gone, w.synced = born, false, false
	w.processed, w.durable, w.told, w.ends = 0, 0, 0, nil
	w.clockMS, w.clockAt, w.silent, w.streak = 0, 0, 0, 0
	w.level = pacing.NewLevel()
	w.holding, w.nextHold = false, s.now.Steady
}

// fence returns the fence for the worker's present life.
func (s *State) fence(w *worker) int64 { return s.c.Epoch*fencesPerEpoch + w.life }

func (s *State) call(w *worker) event.Call {
	return event.Call{Worker: w.id, Address: w.Address, Life: w.life, Fence: s.fence(w), Sent: s.now.Steady}
}

// deadline returns the end of a lease from now on the worker's clock, and
// notes until when that may keep tasks alive.
func (s *State) deadline(w *worker) int64 {
	l := s.c.Lease
	w.leaseEnd = max(w.leaseEnd, s.now.Steady+l+time.Duration(clockDrift*float64(l))+leaseSlack)
	return w.clockMS + (s.now.Steady - w.clockAt + l).Milliseconds()
}

// clock takes in a reading of the worker's clock.
func (s *State) clock(w *worker, ms int64) {
	if ms > 0 {
		w.clockMS, w.clockAt = ms, s.now.Steady
	}
}

// closed reports whether the worker takes no new tasks now.
func (s *State) closed(w *worker) bool {
	return !w.listed || w.gone || w.Draining || !w.synced || s.ownedAt <= w.syncedAt || w.silent > 0 || s.now.Steady < w.closedUntil
}

// maintain looks after the orders and the lease of a worker, and returns when it
// wants to be called again.
func (s *State) maintain(w *worker) time.Duration {
	now := s.now.Steady
	s.lapse(w)
	next := s.outlive(w)
	if len(w.runs) > 0 && w.leaseEnd > 0 && now >= w.leaseEnd && w.silent > 0 {
		s.note(nil, w, nil, "lease has run out")
		s.lose(w)
	}
	if w.leaseEnd > now {
		next = min(next, w.leaseEnd)
	}
	switch {
	case w.closedUntil > now:
		next = min(next, w.closedUntil)
	case w.closedUntil > 0:
		w.closedUntil = 0
		s.changed = true
	}
	if s.limits.NoOrders {
		return next
	}
	for _, r := range s.awaiting(w) {
		at := r.sent + retryPause
		if now < at {
			next = min(next, at)
			continue
		}
		// A worker that doesn't answer is asked by Holds alone: each start
		// would make its lease longer.
		if r.phase == starting && w.silent == 0 && w.recorded && w.synced && s.ownedAt > w.syncedAt {
			s.sendStart(r)
		} else if r.phase == stopping && (w.silent == 0 || now >= r.sent+4*retryPause) {
			s.sendStop(r)
		}
		next = min(next, now+retryPause)
	}
	return next
}

// awaiting returns the runs about which an order has no answer, in the order
// of their tasks.
func (s *State) awaiting(w *worker) []*run {
	for _, r := range w.runs {
		if r.phase != marking && r.waiting {
			return slices.DeleteFunc(s.runsOf(w), func(r *run) bool { return r.phase == marking || !r.waiting })
		}
	}
	return nil
}

// lose takes all runs off a worker, whose life or lease is over.
func (s *State) lose(w *worker) {
	for _, r := range s.runsOf(w) {
		s.release(r, event.Lapsed, "")
	}
	s.changed = true
}

// runsOf returns a worker's runs in the order of their tasks.
func (s *State) runsOf(w *worker) []*run {
	l := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		l = append(l, r)
	}
	slices.SortFunc(l, func(a, b *run) int {
		switch {
		case a.id.Job != b.id.Job:
			if a.id.Job < b.id.Job {
				return -1
			}
			return 1
		case a.id.Occurrence != b.id.Occurrence:
			return a.id.Occurrence - b.id.Occurrence
		case a.id.Step != b.id.Step:
			return a.id.Step - b.id.Step
		}
		return a.id.Index - b.id.Index
	})
	return l
}

// release takes a run off its worker. A task that isn't done waits again.
func (s *State) release(r *run, how event.How, saved string) {
	if r.w.runs[r.id] != r {
		return
	}
	delete(r.w.runs, r.id)
	r.w.used = r.w.used.Minus(r.demand)
	s.changed = true
	s.do(event.Finished{How: how})
	t := r.task
	if t == nil || t.run != r {
		return
	}
	t.run, t.waits = nil, s.now.Steady
	if saved == "" {
		saved = r.saved
	}
	j := t.step.job
	if saved != "" && how != event.Done && saved != t.saved {
		t.saved = saved
		if t.step.spec.Gang {
			t.step.saved = saved
		}
		j.rec.SetSaved(t.key(), saved)
	}
	if how != event.Done && t.step.spec.Gang && !t.done && !j.rec.State.Final() {
		s.breakGang(t.step, r.n)
	}
	if j.rec.State.Final() && j.savedSeq >= j.seq && !j.atWork() {
		s.removeJob(j)
	}
}

// breakGang stops what is left of a run of a gang that has lost a member.
func (s *State) breakGang(st *step, n int) {
	for _, t := range st.tasks {
		if t.run != nil && t.run.n == n {
			s.stop(t.run)
		}
	}
}

// sendStart orders a run's start.
func (s *State) sendStart(r *run) {
	w := r.w
	if s.limits.NoStarts || s.limits.NoOrders || w.clockMS == 0 || !w.recorded {
		// The order stays due: maintain sends it when it may.
		r.phase, r.waiting, r.sent = starting, true, s.now.Steady
		return
	}
	r.phase, r.waiting, r.sent = starting, true, s.now.Steady
	r.tries++
	c := s.call(w)
	c.Task, c.Run = r.id, r.n
	s.do(event.Start{Call: c, Spec: r.task.step.job.spec.Spec, Saved: r.saved, DeadlineMS: s.deadline(w), Ticket: r.ticket})
}

// stop orders a run's end, once.
func (s *State) stop(r *run) {
	switch r.phase {
	case stopping:
		return
	case marking:
		s.release(r, event.Stopped, "")
		return
	}
	r.phase = stopping
	s.sendStop(r)
}

func (s *State) sendStop(r *run) {
	r.waiting, r.sent = true, s.now.Steady
	if s.limits.NoOrders {
		return
	}
	c := s.call(r.w)
	c.Task, c.Run, c.Stop = r.id, r.n, true
	s.do(event.Stop{Call: c})
}

// answered takes in the outcome of a Start or a Stop.
func (s *State) answered(e event.Answered) {
	w := s.pool[e.Call.Worker]
	if w == nil || w.life != e.Call.Life {
		return
	}
	s.clock(w, e.ClockMS)
	if e.Outcome == event.OtherLife {
		s.ended(w)
		return
	}
	r := w.runs[e.Call.Task]
	if r == nil || r.n != e.Call.Run {
		return
	}
	if e.Call.Stop {
		if e.Outcome == event.Accepted && r.phase == stopping {
			r.waiting, r.settled = false, s.now.Steady
		}
		return
	}
	if r.phase != starting {
		return
	}
	switch e.Outcome {
	case event.Accepted:
		r.phase, r.waiting, r.settled = working, false, s.now.Steady
		s.begun(r)
	case event.NoAnswer, event.NotSent, event.Fenced:
		// The order may have been carried out: the same one is sent again, or
		// the next Hold tells.
		w.closedUntil = max(w.closedUntil, s.now.Steady+2*retryPause)
	case event.Late:
		s.settleStart(w, r, "deadline had passed")
	case event.Old:
		r.task.last = max(r.task.last, r.n)
		s.settleStart(w, r, "run is not the newest there")
	case event.NoTicket:
		s.advice.Refused(r.task.step.key, w.lifeOf())
		s.settleStart(w, r, "ticket doesn't hold")
	case event.NoRoom:
		w.closedUntil = s.now.Steady + sickPause
		s.settleStart(w, r, "worker has no room")
	case event.Unhealthy:
		w.closedUntil = s.now.Steady + sickPause
		s.settleStart(w, r, "worker is unhealthy")
	case event.Invalid:
		w.closedUntil = s.now.Steady + sickPause
		s.settleStart(w, r, "worker can't read the order")
	}
}

// settleStart gives up a start that a worker refused. Earlier tries of it may
// still be under way, so a stop makes sure that the worker never takes it.
func (s *State) settleStart(w *worker, r *run, why string) {
	s.note(r.task.step.job, w, r, "start refused: "+why)
	if r.tries == 1 {
		s.release(r, event.Stopped, "")
		return
	}
	s.stop(r)
}

// begun notes that a job's first task has started.
func (s *State) begun(r *run) {
	j := r.task.step.job
	if !j.begun {
		j.begun = true
		s.do(event.Begun{Queue: j.spec.Queue, Wait: s.now.Steady - j.added})
		s.note(j, r.w, r, "first task has started")
	}
}

// ended takes in that a worker's life is over and another one answers at its
// address.
func (s *State) ended(w *worker) {
	s.note(nil, w, nil, "worker's life is over")
	w.gone, w.synced, w.holding = true, false, false
	w.inherited = false
	w.ends = nil
	s.lose(w)
}
