package track

import (
	"time"

	"citronbridge/work"
)

// Phase is how far an order to run a task is.
type Phase int

const (
	// Recording: the job's record must say first where the task is placed.
	Recording Phase = iota
	// Starting: the order is sent and not answered.
	Starting
	// Running: the worker has the task.
	Running
	// Stopping: the task is to be stopped.
	Stopping
)

// Run is a task on a worker, and holds room there until its end is listed.
type Run struct {
	ID work.TaskID
	// N is the run's number: each run of a task has a higher one.
	N int
	// Task is nil while the run's job isn't known.
	Task   *Task
	Worker *Worker
	// Demand is the room that the run holds.
	Demand work.Amounts
	Phase  Phase
	// Checkpoint is the run's newest checkpoint, empty if it has none.
	Checkpoint string
	// Seq is the number of the record that says where the task was placed.
	Seq int64
	// DecidedAt is when the order was decided, Sent when it was last sent,
	// Settled when the last order about it was answered.
	DecidedAt, SentAt, AnsweredAt time.Duration
	// Ticket is the advice service's, empty where none is needed.
	Ticket string
	// TailLatency is how long the slowest answers of a serving task take.
	TailLatency time.Duration
	// Pace is the share of its speed that the run works at, in percent.
	Pace int
	// Borrowed says that the run is urgent and beyond its account's guarantee.
	Borrowed bool
	// AwaitingAnswer says that an order about the run has no answer yet.
	AwaitingAnswer bool
	// Queued says that an order about the run is due and not sent, Flying that
	// one is sent and neither answered nor timed out.
	Queued, InFlight bool
	// StartsSent counts the starts that were sent.
	StartsSent int
	// Progress is how far the run has come.
	Progress int
	// sample and markAt are an earlier reading of the progress.
	sample    int
	sampledAt time.Duration
	// Rate is the progress since the reading, in percent a second, and Stuck
	// says that there was none.
	Rate    float64
	Stalled bool
	// PreviousSampleAt is when the reading before that one was, SlowAt since when the
	// Run is slow.
	PreviousSampleAt, SlowSince time.Duration
}

// UnknownPace says that a run's pace isn't known: a former decider may have
// changed it, or an order about it may be lost.
const UnknownPace = -1

// restartTime is what a long-running task takes to be at work again, as a rule: the
// platform tells no figure.
const restartTime = 2 * time.Second

// Loss returns the core-seconds that a stop throws away.
func (r *Run) Loss(now time.Duration) float64 {
	from := r.DecidedAt
	switch {
	case r.Task == nil:
	case r.Task.Step.Spec.LongRunning:
		// What it has served is not lost; it is away until it is up again.
		from = max(now-restartTime, from)
	case r.Task.Step.Spec.Checkpoint:
		// A stop writes a checkpoint; only the way there and back is lost.
		from = max(now-time.Second/2, from)
	}
	return (now - from).Seconds() * r.Demand.Cores()
}

// How progress is measured.
const (
	// minSampleSpan is the shortest time over which progress is measured, as it
	// is told in whole percent.
	minSampleSpan = 800 * time.Millisecond
	// minProgress is what a run that shows no progress may have made, in percent.
	minProgress = 0.5
)

// LongRunning reports whether the run's task goes on until its job is cancelled.
func (r *Run) LongRunning() bool { return r.Task != nil && r.Task.Step.Spec.LongRunning }

// RecordProgress takes in a run's progress. It reports whether the run has come to its
// whole: a long-running task is at work then.
func (r *Run) RecordProgress(now time.Duration, percent int) bool {
	r.Progress = percent
	if r.sampledAt == 0 {
		r.sample, r.sampledAt = percent, now
		return percent >= 100
	}
	if span := now - r.sampledAt; span >= minSampleSpan {
		r.Rate = max(float64(percent-r.sample), minProgress) / span.Seconds()
		r.Stalled = percent == r.sample
		r.PreviousSampleAt = r.sampledAt
		r.sample, r.sampledAt = percent, now
	}
	return percent >= 100
}

// LatencySensitive reports whether a run has a target for its response times.
func (r *Run) LatencySensitive() bool {
	return r.Task != nil && r.Task.Step.Spec.LongRunning && r.Task.Step.Spec.Target > 0
}
