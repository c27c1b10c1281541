// Package orders keeps the workers under a decider's control: it renews leases
// under fences, asks what runs, and takes the answers in.
package orders

import (
	"slices"
	"time"

	"citronbridge/event"
	"citronbridge/launch"
	"citronbridge/pacing"
	"citronbridge/track"
)

// Times of orders.
const (
	// holdWait is how long a worker keeps an answer back until a task ends;
	// the platform's bound is 2 s.
	holdWait = 1900 * time.Millisecond
	// savePause is kept between looks at a worker whose ends aren't durable.
	savePause = 400 * time.Millisecond
	// maxFirst bounds the first Holds of workers that are under way: asked all
	// at once, those of a large pool would be answered too late for a host of
	// the platform's size.
	maxFirst = 64
)

// Sender sends a pool's orders. It is a state machine: without clock, lock or
// I/O.
type Sender struct {
	*launch.Launcher
	// rowSeq numbers the writes of workers' rows, also of workers that were
	// forgotten in between.
	rowSeq int64
}

// New returns a Sender for a pool.
func New(p *track.Pool) *Sender { return &Sender{Launcher: launch.New(p)} }

// Known takes in a worker that a former decider has used.
func (s *Sender) Known(e event.WorkerInherited) {
	w := s.Worker(e.ID)
	if w.Address == "" {
		w.Address = e.Address
	}
	w.RecordRequested, w.Inherited, w.InheritedUntil = true, true, s.AcquiredAt+s.Config.InheritTime
	w.Recorded, w.Lapsing = !e.Lapsing, e.Lapsing
	if e.Lapsing {
		w.InheritedUntil = min(w.InheritedUntil, s.Now.Steady+e.LapsesIn)
	}
}

// Record asks for the worker's row to be written.
func (s *Sender) Record(w *track.Worker, lapsesIn time.Duration) {
	w.Recorded, w.RecordRequested = false, true
	s.rowSeq++
	w.RowSeq = s.rowSeq
	s.Emit(event.RecordWorker{ID: w.ID, Address: w.Address, Seq: w.RowSeq, Lapsing: w.Lapsing, LapsesIn: lapsesIn})
}

// RowSaved takes in that a worker's row is written.
func (s *Sender) RowSaved(e event.WorkerRecorded) {
	w := s.Workers[e.ID]
	if w == nil || e.Seq != w.RowSeq || w.Lapsing {
		return
	}
	w.Recorded, w.NextHold = true, min(w.NextHold, s.Now.Steady)
	s.NeedsPlacement = true
}

// silentCalls is how many Holds in a row a worker must leave unanswered for its
// lease to be left to run out: single answers get lost.
const silentCalls = 2

// lapse tells successors until when a silent worker may run its tasks, so that
// they need not wait for the longest lease that it could have.
func (s *Sender) lapse(w *track.Worker) {
	if w.UnansweredCalls < silentCalls || w.Lapsing || !w.Recorded || s.Limits.NoOrders {
		return
	}
	end := w.LeaseEnd
	if w.Inherited {
		end = max(end, w.InheritedUntil)
	}
	if end <= s.Now.Steady {
		return
	}
	s.Log(nil, w, nil, "silent worker's lease isn't renewed")
	w.Lapsing = true
	s.Record(w, end-s.Now.Steady)
}

// outlive counts nothing as inherited from a worker that hasn't answered, once
// its former leases have ended. It returns when to look again.
func (s *Sender) outlive(w *track.Worker) time.Duration {
	now := s.Now.Steady
	switch {
	case !w.MayHaveUnknownRuns():
		return now + time.Second
	case now < w.InheritedUntil:
		return w.InheritedUntil
	}
	w.Inherited, s.NeedsPlacement = false, true
	s.Log(nil, w, nil, "inherited lease has run out")
	return now + time.Second
}

// Listed takes in a worker's entry.
func (s *Sender) Listed(e event.Worker) {
	w := s.Worker(e.ID)
	if w.StartedMS != 0 && e.StartedMS != 0 && e.StartedMS > w.StartedMS {
		s.reborn(w, e.StartedMS)
	}
	born := max(w.StartedMS, e.StartedMS)
	if w.Terminated && w.Address != e.Address {
		w.Terminated = false
	}
	w.Worker, w.Listed, w.EntryStartedMS = e, true, e.StartedMS
	w.StartedMS = born
	s.NeedsPlacement = true
	if !w.Recorded && !w.RecordRequested {
		s.Record(w, 0)
	}
}

// reborn begins another life of a worker. What the last one ran is settled by
// the first answer under a higher fence, as an order may still be under way.
func (s *Sender) reborn(w *track.Worker, born int64) {
	s.Log(nil, w, nil, "worker has restarted")
	w.Incarnation++
	w.StartedMS, w.Terminated, w.Synced = born, false, false
	w.HandledEnd, w.DurableEnd, w.ConfirmedAck, w.PendingEnds = 0, 0, 0, nil
	w.ClockMS, w.ClockAt, w.UnansweredCalls, w.FailureStreak = 0, 0, 0, 0
	w.PaceLevel = pacing.NewLevel()
	w.HoldInFlight, w.NextHold = false, s.Now.Steady
	w.StartInFlight, w.NextStart, w.UnansweredStarts = false, 0, 0
	s.GiveUpStarts(w)
}

// forget drops a worker that is gone and holds nothing.
func (s *Sender) forget(w *track.Worker) {
	if w.Recorded || w.RecordRequested {
		w.Recorded, w.RecordRequested = false, false
		s.Emit(event.ForgetWorker{ID: w.ID})
	}
	s.ForgottenIncarnations[w.ID] = w.Incarnation
	delete(s.Workers, w.ID)
	// A loop over the workers may be under way: what it goes through stays.
	if i := slices.Index(s.WorkersByID, w); i >= 0 {
		s.WorkersByID = append(s.WorkersByID[:i:i], s.WorkersByID[i+1:]...)
	}
}

// Maintain looks after the lease of a worker and what runs there, and returns
// when it wants to be called again.
func (s *Sender) Maintain(w *track.Worker) time.Duration {
	now := s.Now.Steady
	s.lapse(w)
	next := s.outlive(w)
	if len(w.Runs) > 0 && w.LeaseEnd > 0 && now >= w.LeaseEnd && w.UnansweredCalls > 0 {
		s.Log(nil, w, nil, "lease has run out")
		s.Lose(w)
	}
	if w.LeaseEnd > now {
		next = min(next, w.LeaseEnd)
	}
	next = min(next, s.Evacuate(w))
	switch {
	case w.ClosedUntil > now:
		next = min(next, w.ClosedUntil)
	case w.ClosedUntil > 0:
		w.ClosedUntil = 0
		s.NeedsPlacement = true
	}
	return next
}
