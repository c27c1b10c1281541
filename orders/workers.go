// Package orders keeps the workers of a pool under its decider's control: it renews
// their leases under fences, asks which runs they have, and handles their reports.
package orders

import (
	"cmp"
	"slices"
	"time"

	"citronbridge/event"
	"citronbridge/launch"
	"citronbridge/pacing"
	"citronbridge/track"
)

// Waiting times and limits of Holds.
const (
	// holdWait is how long a worker may delay its answer to a Hold until a task
	// ends. The platform allows at most 2 s.
	holdWait = 1900 * time.Millisecond
	// savePollPause is the pause between Holds of a worker while its ends, or its
	// own row, aren't durable yet.
	savePollPause = 400 * time.Millisecond
	// maxFirstHolds limits the first Holds of workers that are in flight. If all
	// workers of a large pool were asked at once, a host of the size that the
	// platform provides couldn't handle the answers in time.
	maxFirstHolds = 64
)

// Sender sends a pool's orders and Holds. It is a state machine that uses no clock,
// lock or I/O.
type Sender struct {
	*launch.Launcher
	// workerRowSeq numbers the writes of workers' rows. It is shared by all workers,
	// so that the numbers of a worker that was forgotten and listed again still rise.
	workerRowSeq int64
}

// New returns a Sender for a pool.
func New(p *track.Pool) *Sender { return &Sender{Launcher: launch.New(p)} }

// AddKnownWorker adds a worker that a former decider has used. It may run tasks of that
// decider until their leases have ended.
func (s *Sender) AddKnownWorker(e event.WorkerInherited) {
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

// RecordWorker requests a write of the worker's row. If the worker's lease is no longer
// renewed, lapsesIn is the time until it ends.
func (s *Sender) RecordWorker(w *track.Worker, lapsesIn time.Duration) {
	w.Recorded, w.RecordRequested = false, true
	s.workerRowSeq++
	w.RowSeq = s.workerRowSeq
	s.Emit(event.RecordWorker{ID: w.ID, Address: w.Address, Seq: w.RowSeq, Lapsing: w.Lapsing, LapsesIn: lapsesIn})
}

// HandleWorkerRecorded handles the report that a worker's row is durable. Tasks may be
// started on the worker from then on.
func (s *Sender) HandleWorkerRecorded(e event.WorkerRecorded) {
	w := s.Workers[e.ID]
	if w == nil || e.Seq != w.RowSeq || w.Lapsing {
		return
	}
	w.Recorded, w.NextHold = true, min(w.NextHold, s.Now.Steady)
	s.NeedsPlacement = true
}

// maxMissedHolds is the number of consecutive failed Holds after which a worker's lease
// is no longer renewed. One isn't enough, as single answers get lost.
const maxMissedHolds = 2

// letLeaseLapse stops renewing the lease of an unresponsive worker and records when
// it ends. A successor then need not wait for the longest lease that the worker
// could have.
func (s *Sender) letLeaseLapse(w *track.Worker) {
	if w.UnansweredCalls < maxMissedHolds || w.Lapsing || !w.Recorded || s.Limits.NoOrders {
		return
	}
	end := w.LeaseEnd
	if w.Inherited {
		end = max(end, w.InheritedUntil)
	}
	if end <= s.Now.Steady {
		return
	}
	s.Log(nil, w, nil, "unresponsive worker's lease is no longer renewed")
	w.Lapsing = true
	s.RecordWorker(w, end-s.Now.Steady)
}

// expireInherited drops the assumption that a worker that hasn't answered runs tasks
// of a former decider, once the leases of that decider have ended. It returns the
// steady time by which it is to be called again.
func (s *Sender) expireInherited(w *track.Worker) time.Duration {
	now := s.Now.Steady
	switch {
	case !w.MayHaveUnknownRuns():
		return now + time.Second
	case now < w.InheritedUntil:
		return w.InheritedUntil
	case w.Synced && (w.UnansweredCalls == 0 || now < w.LeaseEnd):
		// Its lease was renewed, and later reports may list the other ends.
		return now + time.Second
	}
	w.Inherited, w.MoreEnds, s.NeedsPlacement = false, false, true
	s.Log(nil, w, nil, "inherited lease expired; the worker's former tasks may be placed again")
	return now + time.Second
}

// HandleListed handles a worker's entry in the registry.
func (s *Sender) HandleListed(e event.Worker) {
	w := s.Worker(e.ID)
	if w.StartedMS != 0 && e.StartedMS != 0 && e.StartedMS != w.EntryStartedMS {
		// An entry of an incarnation that was listed before says nothing of later answers.
		switch {
		case e.StartedMS > w.StartedMS:
			s.beginIncarnation(w, e.StartedMS)
		case e.StartedMS < w.StartedMS:
			// Either the entry is late, or the time of day has gone back. The answer to a
			// Hold tells which.
			w.EntryDoubtedAt, w.NextHold = max(s.Now.Steady, 1), s.Now.Steady
		}
	}
	startedMS := cmp.Or(w.StartedMS, e.StartedMS)
	if w.Terminated && w.Address != e.Address {
		w.Terminated = false
	}
	if e.ColdFor != w.ColdFor || e.StartedMS != w.EntryStartedMS {
		// The same entry may be listed again long after it was written.
		w.ColdUntil = s.Now.Steady + e.ColdFor
	}
	w.Worker, w.Listed, w.EntryStartedMS = e, true, e.StartedMS
	w.StartedMS = startedMS
	for _, r := range w.Runs {
		if r.WholeWorker {
			// The worker may have reported the run before its first entry was known.
			w.Used = w.Used.Minus(r.Demand).Plus(w.Capacity)
			r.Demand = w.Capacity
		}
	}
	s.NeedsPlacement = true
	if !w.Recorded && !w.RecordRequested {
		s.RecordWorker(w, 0)
	}
}

// beginIncarnation begins another incarnation of a worker. As orders to the last one
// may still be in flight, runs whose start was sent are released only by the first
// report under the higher fence of the new one.
func (s *Sender) beginIncarnation(w *track.Worker, startedMS int64) {
	s.Log(nil, w, nil, "worker has restarted; its state is read again")
	w.Incarnation++
	w.StartedMS, w.Terminated, w.Synced, w.EntryDoubtedAt = startedMS, false, false, 0
	w.HandledEnd, w.DurableEnd, w.ConfirmedAck, w.PendingEnds, w.MoreEnds = 0, 0, 0, nil, false
	w.ClockMS, w.ClockAt, w.UnansweredCalls = 0, 0, 0
	w.FailureStreak, w.FailedRuns, w.FailedJobs = 0, 0, 0
	w.PaceLevel = pacing.NewLevel()
	w.HoldInFlight, w.NextHold = false, s.Now.Steady
	w.StartInFlight, w.NextStart, w.UnansweredStarts = false, 0, 0
	s.AbandonOrders(w)
}

// forgetWorker removes a worker that isn't listed and runs nothing.
func (s *Sender) forgetWorker(w *track.Worker) {
	if w.Recorded || w.RecordRequested {
		w.Recorded, w.RecordRequested = false, false
		s.Emit(event.ForgetWorker{ID: w.ID})
	}
	s.ForgottenIncarnations[w.ID] = w.Incarnation
	delete(s.Workers, w.ID)
	s.Speeds.Forget(w.ID)
	// A caller may be iterating over WorkersByID, so its backing array stays unchanged.
	if i := slices.Index(s.WorkersByID, w); i >= 0 {
		s.WorkersByID = append(s.WorkersByID[:i:i], s.WorkersByID[i+1:]...)
	}
}

// CheckWorker handles what passing time means for a worker: leases that expire, the
// evacuation of a draining worker, and the end of its pause without new tasks. It
// returns the steady time by which it is to be called again.
func (s *Sender) CheckWorker(w *track.Worker) time.Duration {
	now := s.Now.Steady
	s.letLeaseLapse(w)
	next := s.expireInherited(w)
	if w.LeaseExpired(now) {
		w.MoreEnds = false
		if len(w.Runs) > 0 {
			s.Log(nil, w, nil, "lease of the unresponsive worker expired; its runs are lost")
			s.LoseRuns(w)
		}
	}
	if w.LeaseEnd > now {
		next = min(next, w.LeaseEnd)
	}
	next = min(next, s.Drain(w))
	for _, until := range []*time.Duration{&w.ClosedUntil, &w.PausedUntil} {
		switch {
		case *until > now:
			next = min(next, *until)
		case *until > 0:
			*until = 0
			s.NeedsPlacement = true
		}
	}
	return next
}
