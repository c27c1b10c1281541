package track

import (
	"slices"
	"time"

	"citronbridge/advice"
	"citronbridge/event"
	"citronbridge/pacing"
	"citronbridge/work"
)

// Worker is a worker with the runs on it.
type Worker struct {
	event.Worker
	// Listed reports whether the registry lists the worker now. EntryStartedMS identifies
	// the incarnation that the entry describes, 0 if the entry doesn't say.
	Listed         bool
	EntryStartedMS int64
	// EntryDoubtedAt is when an entry was listed of an incarnation with an earlier start than the
	// one that is known, 0 if an answer has shown since which of them is there.
	EntryDoubtedAt time.Duration
	// Recorded reports whether the store durably holds that the worker is used.
	// RecordRequested reports whether a write that says so was requested. RowSeq is the
	// number of that write.
	Recorded, RecordRequested bool
	RowSeq                    int64
	// Lapsing reports whether the lease is left to expire. A successor may rely on that:
	// the lease isn't renewed before the worker is recorded again without it.
	Lapsing bool
	// Inherited workers may run tasks of a former decider until InheritedUntil, when the
	// leases that it gave have ended.
	Inherited      bool
	InheritedUntil time.Duration
	// Incarnation counts the incarnations seen. Terminated reports that the last one has
	// ended.
	Incarnation int64
	Terminated  bool
	// Synced reports whether this incarnation has answered under this decider's fence,
	// SyncedAt when it did so first.
	Synced   bool
	SyncedAt time.Duration

	// ClockMS is the worker's clock in milliseconds, as read at ClockAt.
	ClockMS int64
	ClockAt time.Duration
	// LeaseEnd is when the lease ends. Without a renewal no task on the worker is alive
	// after that.
	LeaseEnd time.Duration

	// ReportedAt is when the Hold with the last report was sent.
	ReportedAt time.Duration
	// HoldInFlight reports whether a Hold has no answer yet. NextHold is the earliest time
	// of the next.
	HoldInFlight bool
	NextHold     time.Duration
	// UnansweredCalls is the number of consecutive Holds that failed or had no answer.
	UnansweredCalls int
	// StartInFlight reports whether a start has no answer yet. NextStart is the earliest
	// time of the next. UnansweredStarts is the number of consecutive starts without an
	// answer.
	StartInFlight    bool
	NextStart        time.Duration
	UnansweredStarts int

	// HandledEnd is the highest number of an ended run that was handled. DurableEnd is the
	// highest that the worker may forget. SendingAck is the acknowledgement in the Hold in
	// flight, ConfirmedAck the highest that the worker has confirmed.
	HandledEnd, DurableEnd, SendingAck, ConfirmedAck int64
	// PendingEnds are the ends above DurableEnd, in order.
	PendingEnds []PendingEnd
	// MoreEnds reports that the last report may have left out ends.
	MoreEnds bool

	// Runs are the runs that occupy capacity of the worker, Used the sum of their demands.
	Runs map[work.TaskID]*Run
	Used work.Amounts
	// PaceLevel is the pace of best-effort tasks on the worker.
	PaceLevel pacing.Level

	// ColdUntil is the time until which the worker is slow after its start, 0 if its entry
	// never said so.
	ColdUntil time.Duration

	// ReplacedAt is when a list of machines showed another worker on this one's machine, 0
	// if none did. As the list may be outdated, the worker gets no tasks but is still asked
	// whether it is alive.
	ReplacedAt time.Duration
	// Cordoned workers get no tasks, as they are drained for the maintenance of their
	// machines.
	Cordoned bool
	// ClosedUntil is the time before which the worker gets no new tasks, as it refused or
	// didn't answer a start. PausedUntil is the time before which it gets none but of jobs
	// that are overdue, as runs failed or were slow there.
	ClosedUntil, PausedUntil time.Duration
	// FailureStreak is the number of jobs whose first failed run was here, since a task was
	// last done here. LastFailedJob is the job of the last failed run here.
	FailureStreak int
	LastFailedJob string
	// FailedRuns is the number of runs that failed since a task was last done here, and
	// FailedJobs how many times in this time another job than before was the one that failed.
	// LastFailure is when the last of them failed.
	FailedRuns, FailedJobs int
	LastFailure            time.Duration
}

// PendingEnd is an ended run that the worker must remember until the job's record holds it.
type PendingEnd struct {
	// N is the end's number in the worker's list.
	N   int64
	Job string
	// Seq is the change of the job's record that holds the end.
	Seq int64
	// Unapplied is the end itself, set until the partition of its job is loaded.
	Unapplied *event.Ended
}

// MayHaveUnknownRuns reports whether the worker may have runs of a former decider, or ends
// of them, that it hasn't yet reported to this one.
func (w *Worker) MayHaveUnknownRuns() bool { return w.Inherited && (!w.Synced || w.MoreEnds) }

// LeaseExpired reports whether the worker doesn't answer and its lease has expired, so that
// nothing runs there any more.
func (w *Worker) LeaseExpired(now time.Duration) bool {
	return w.UnansweredCalls > 0 && w.LeaseEnd > 0 && now >= w.LeaseEnd
}

// A worker on which suspectJobs jobs in a row have failed is suspected of causing that for
// SuspectTime, or until a task is done there. A step whose task failed on a worker doesn't
// use it for as long.
const (
	suspectJobs = 2
	SuspectTime = 8 * time.Second
)

// SuspectUntil is when the last failure on the worker no longer counts against it.
func (w *Worker) SuspectUntil() time.Duration { return w.LastFailure + SuspectTime }

// Failing reports whether the worker's last run to end by itself has failed just now.
func (w *Worker) Failing(now time.Duration) bool {
	return w.FailedRuns > 0 && now < w.SuspectUntil()
}

// Suspect reports whether runs may be failing because of the worker.
func (w *Worker) Suspect(now time.Duration) bool {
	return w.FailedJobs >= suspectJobs && now < w.SuspectUntil()
}

// Responsive reports whether it is known what runs on the worker: its current incarnation
// has answered, and the last Hold didn't fail.
func (w *Worker) Responsive() bool { return w.Synced && !w.Terminated && w.UnansweredCalls == 0 }

// EntryOutdated reports whether the worker's registry entry is of another incarnation. Its
// labels and capacity may differ.
func (w *Worker) EntryOutdated() bool {
	return w.EntryStartedMS != 0 && w.EntryStartedMS != w.StartedMS
}

// Cold reports whether the worker is still slow after its start.
func (w *Worker) Cold(now time.Duration) bool { return now < w.ColdUntil }

// IncarnationID identifies the worker's current incarnation.
func (w *Worker) IncarnationID() advice.Incarnation {
	return advice.Incarnation{Worker: w.ID, Number: w.Incarnation}
}

// Shared reports whether both latency-sensitive and best-effort tasks run on the worker.
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

// SortedRuns returns the worker's runs in the order of their task IDs.
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

// LeavesAt returns when a draining worker may leave. It returns false if that is unknown.
func (w *Worker) LeavesAt() (time.Duration, bool) {
	if !w.Draining || w.LeavesMS == 0 || w.ClockMS == 0 {
		return 0, false
	}
	return w.ClockAt + time.Duration(w.LeavesMS-w.ClockMS)*time.Millisecond, true
}

// RecordClock records a reading of the worker's clock. A reading of 0 is ignored.
func (w *Worker) RecordClock(now time.Duration, ms int64) {
	if ms > 0 {
		w.ClockMS, w.ClockAt = ms, now
	}
}
