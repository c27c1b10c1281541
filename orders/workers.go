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
	// savePollPause is kept between looks at a worker whose ends aren't durable.
	savePollPause = 400 * time.Millisecond
	// maxFirstHolds bounds the first Holds of workers that are under way: asked all
	// at once, those of a large pool would be answered too late for a host of
	// the platform's size.
	maxFirstHolds = 64
)

// Sender sends a pool's orders. It is a state machine: without clock, lock or
// I/O.
type Sender struct {
	*launch.Launcher
	// workerRowSeq numbers the writes of workers' rows, also of workers that were
	// forgotten in between.
	workerRowSeq int64
}

// New returns a Sender for a pool.
func New(p *track.Pool) *Sender { return &Sender{Launcher: launch.New(p)} }

// AddKnownWorker takes in a worker that a former decider has used.
func (s *Sender) AddKnownWorker(e event.WorkerKnown) {
	w := s.Worker(e.ID)
	if w.Address == "" {
		w.Address = e.Address
	}
	w.Asked, w.Inherited, w.InheritedUntil = true, true, s.Taken+s.Config.Inherit
	w.Recorded, w.Lapsing = !e.Lapsing, e.Lapsing
	if e.Lapsing {
		w.InheritedUntil = min(w.InheritedUntil, s.Now.Steady+e.LapsesIn)
	}
}

// RecordWorker asks for the worker's row to be written.
func (s *Sender) RecordWorker(w *track.Worker, lapsesIn time.Duration) {
	w.Recorded, w.Asked = false, true
	s.workerRowSeq++
	w.Seq = s.workerRowSeq
	s.Do(event.RecordWorker{ID: w.ID, Address: w.Address, Seq: w.Seq, Lapsing: w.Lapsing, LapsesIn: lapsesIn})
}

// HandleWorkerRecorded takes in that a worker's row is written.
func (s *Sender) HandleWorkerRecorded(e event.WorkerRecorded) {
	w := s.Workers[e.ID]
	if w == nil || e.Seq != w.Seq || w.Lapsing {
		return
	}
	w.Recorded, w.NextHold = true, min(w.NextHold, s.Now.Steady)
	s.Changed = true
}

// maxMissedHolds is how many Holds in a row a worker must leave unanswered for its
// lease to be left to run out: single answers get lost.
const maxMissedHolds = 2

// letLeaseLapse tells successors until when a silent worker may run its tasks, so that
// they need not wait for the longest lease that it could have.
func (s *Sender) letLeaseLapse(w *track.Worker) {
	if w.Silent < maxMissedHolds || w.Lapsing || !w.Recorded || s.Limits.NoOrders {
		return
	}
	end := w.LeaseEnd
	if w.Inherited {
		end = max(end, w.InheritedUntil)
	}
	if end <= s.Now.Steady {
		return
	}
	s.Note(nil, w, nil, "silent worker's lease isn't renewed")
	w.Lapsing = true
	s.RecordWorker(w, end-s.Now.Steady)
}

// expireInherited counts nothing as inherited from a worker that hasn't answered, once
// its former leases have ended. It returns when to look again.
func (s *Sender) expireInherited(w *track.Worker) time.Duration {
	now := s.Now.Steady
	switch {
	case !w.Unseen():
		return now + time.Second
	case now < w.InheritedUntil:
		return w.InheritedUntil
	}
	w.Inherited, s.Changed = false, true
	s.Note(nil, w, nil, "inherited lease has run out")
	return now + time.Second
}

// HandleListed takes in a worker's entry.
func (s *Sender) HandleListed(e event.Worker) {
	w := s.Worker(e.ID)
	if w.Born != 0 && e.Born != 0 && e.Born > w.Born {
		s.beginIncarnation(w, e.Born)
	}
	born := max(w.Born, e.Born)
	if w.Gone && w.Address != e.Address {
		w.Gone = false
	}
	w.Worker, w.Listed, w.EntryBorn = e, true, e.Born
	w.Born = born
	s.Changed = true
	if !w.Recorded && !w.Asked {
		s.RecordWorker(w, 0)
	}
}

// beginIncarnation begins another life of a worker. What the last one ran is settled by
// the first answer under a higher fence, as an order may still be under way.
func (s *Sender) beginIncarnation(w *track.Worker, born int64) {
	s.Note(nil, w, nil, "worker has restarted")
	w.Life++
	w.Born, w.Gone, w.Synced = born, false, false
	w.Processed, w.Durable, w.Told, w.Ends = 0, 0, 0, nil
	w.ClockMS, w.ClockAt, w.Silent, w.Streak = 0, 0, 0, 0
	w.Level = pacing.NewLevel()
	w.Holding, w.NextHold = false, s.Now.Steady
	w.Starting, w.NextStart, w.LostStarts = false, 0, 0
	s.AbandonStarts(w)
}

// forgetWorker drops a worker that is gone and holds nothing.
func (s *Sender) forgetWorker(w *track.Worker) {
	if w.Recorded || w.Asked {
		w.Recorded, w.Asked = false, false
		s.Do(event.ForgetWorker{ID: w.ID})
	}
	s.Lives[w.ID] = w.Life
	delete(s.Workers, w.ID)
	// A loop over the workers may be under way: what it goes through stays.
	if i := slices.Index(s.Sorted, w); i >= 0 {
		s.Sorted = append(s.Sorted[:i:i], s.Sorted[i+1:]...)
	}
}

// CheckWorker looks after the lease of a worker and what runs there, and returns
// when it wants to be called again.
func (s *Sender) CheckWorker(w *track.Worker) time.Duration {
	now := s.Now.Steady
	s.letLeaseLapse(w)
	next := s.expireInherited(w)
	if len(w.Runs) > 0 && w.LeaseEnd > 0 && now >= w.LeaseEnd && w.Silent > 0 {
		s.Note(nil, w, nil, "lease has run out")
		s.LoseRuns(w)
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
		s.Changed = true
	}
	return next
}
