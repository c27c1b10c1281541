package track

import (
	"slices"
	"time"

	"citronbridge/advice"
	"citronbridge/event"
	"citronbridge/pacing"
	"citronbridge/work"
)

// Worker is a worker and what it runs.
type Worker struct {
	event.Worker
	// Listed says that the registry has the worker now, EntryBorn is the life of
	// which its entry tells, 0 if it doesn't say.
	Listed         bool
	EntryStartedMS int64
	// Recorded says that the worker is durably known as used, Asked that it
	// is to be, by the write of number Seq.
	Recorded, RecordRequested bool
	RowSeq                    int64
	// Lapsing says that a successor may rely on the lease not being renewed:
	// it isn't until the worker is recorded again.
	Lapsing bool
	// Inherited workers may run tasks of a former decider, until the time at
	// which its leases have ended.
	Inherited      bool
	InheritedUntil time.Duration
	// Incarnation counts the lives seen, Gone says that the last one is over.
	Incarnation int64
	Terminated  bool
	// Synced says that the worker has answered in this life, under this
	// decider's fence.
	Synced   bool
	SyncedAt time.Duration

	// ClockMS is the worker's clock as read at ClockAt.
	ClockMS int64
	ClockAt time.Duration
	// LeaseEnd is when all that runs there is dead unless renewed.
	LeaseEnd time.Duration

	// HoldInFlight says that a Hold has no answer yet, NextHold is the earliest
	// time of the next.
	HoldInFlight bool
	NextHold     time.Duration
	// UnansweredCalls counts the calls in a row without an answer.
	UnansweredCalls int
	// StartInFlight says that a start has no answer yet, NextStart is the earliest
	// time of the next. LostStarts counts those in a row without an answer.
	StartInFlight    bool
	NextStart        time.Duration
	UnansweredStarts int

	// HandledEnd is the highest end taken in, Durable the highest that may be
	// forgotten, Telling and Told what the worker is being and was told.
	HandledEnd, DurableEnd, SendingAck, ConfirmedAck int64
	// PendingEnds are those behind Durable, in order.
	PendingEnds []PendingEnd

	// Runs are what holds room on the worker, Used how much that is.
	Runs map[work.TaskID]*Run
	Used work.Amounts
	// PaceLevel is the pace of best-effort tasks.
	PaceLevel pacing.Level

	// ReplacedAt is when a list of machines said that another worker is on this
	// one's machine, 0 if none did. It takes no tasks, and is asked whether it
	// lives, as a list may be old.
	ReplacedAt time.Duration
	// Cordoned workers take no tasks, as they are drained for the maintenance of their machines.
	Cordoned bool
	// ClosedUntil keeps new tasks away.
	ClosedUntil time.Duration
	// FailureStreak counts the jobs in a row that have failed here, StreakJob is the
	// Last of them.
	FailureStreak int
	LastFailedJob string
}

// PendingEnd is an end that a record must hold before it is forgotten.
type PendingEnd struct {
	// N is the end's number in the worker's list.
	N   int64
	Job string
	// Seq is the change of the job's record that holds the end.
	Seq int64
	// Unapplied is set until the part that the job is in is known.
	Unapplied *event.Ended
}

// MayHaveUnknownRuns reports whether the worker may run tasks of a former decider that
// this one hasn't been told of.
func (w *Worker) MayHaveUnknownRuns() bool { return w.Inherited && !w.Synced }

// Responsive reports whether it is known what runs on the worker: its present life
// has told, and its last answer hasn't failed to come.
func (w *Worker) Responsive() bool { return w.Synced && !w.Terminated && w.UnansweredCalls == 0 }

// EntryOutdated reports whether the worker has restarted since its entry was written:
// it may be of another kind by now.
func (w *Worker) EntryOutdated() bool { return 0 < w.EntryStartedMS && w.EntryStartedMS < w.StartedMS }

// IncarnationID names the worker's present life.
func (w *Worker) IncarnationID() advice.Life { return advice.Life{Worker: w.ID, N: w.Incarnation} }

// Shared reports whether latency-sensitive and best-effort tasks share the
// worker.
func (w *Worker) Shared() bool {
	sensitive, bestEffort := false, false
	for _, r := range w.Runs {
		if r.Task != nil {
			sensitive = sensitive || r.LatencySensitive()
			bestEffort = bestEffort || r.Task.Step.Spec.Fills
		}
	}
	return sensitive && bestEffort
}

// SortedRuns returns a worker's runs in the order of their tasks.
func (w *Worker) SortedRuns() []*Run {
	l := make([]*Run, 0, len(w.Runs))
	for _, r := range w.Runs {
		l = append(l, r)
	}
	slices.SortFunc(l, func(a, b *Run) int {
		switch {
		case a.ID.Job != b.ID.Job:
			if a.ID.Job < b.ID.Job {
				return -1
			}
			return 1
		case a.ID.Occurrence != b.ID.Occurrence:
			return a.ID.Occurrence - b.ID.Occurrence
		case a.ID.Step != b.ID.Step:
			return a.ID.Step - b.ID.Step
		}
		return a.ID.Index - b.ID.Index
	})
	return l
}

// LeavesAt returns when a draining worker may leave, and false if that isn't
// known.
func (w *Worker) LeavesAt() (time.Duration, bool) {
	if !w.Draining || w.LeavesMS == 0 || w.ClockMS == 0 {
		return 0, false
	}
	return w.ClockAt + time.Duration(w.LeavesMS-w.ClockMS)*time.Millisecond, true
}

// RecordClock takes in a reading of the worker's clock.
func (w *Worker) RecordClock(now time.Duration, ms int64) {
	if ms > 0 {
		w.ClockMS, w.ClockAt = ms, now
	}
}
