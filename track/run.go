package track

import (
	"time"

	"citronbridge/work"
)

// Phase is the state of a run.
type Phase int

const (
	// Recording: the placement is being written to the job's record. No order is sent
	// before that is durable.
	Recording Phase = iota
	// Starting: the start is ordered and not yet confirmed.
	Starting
	// Running: the worker is known to run the task.
	Running
	// Stopping: a stop is ordered and the run hasn't ended yet.
	Stopping
)

// Run is one attempt to run a task on a worker. It occupies its demand there until it is
// known to have ended.
type Run struct {
	ID work.TaskID
	// N is the run's number. Later runs of a task have higher numbers.
	N int
	// Task is nil while the run's job is unknown.
	Task   *Task
	Worker *Worker
	// Demand is the capacity that the run occupies.
	Demand work.Amounts
	// WholeWorker reports that the run's demand isn't known, so that it occupies its worker.
	WholeWorker bool
	Phase       Phase
	// Checkpoint is the run's newest checkpoint, empty if it has none.
	Checkpoint string
	// Seq is the change of the job's record that holds the task's placement.
	Seq int64
	// DecidedAt is when the run was placed or adopted, SentAt when an order about it was
	// last requested or sent, AnsweredAt when the last order about it was answered.
	DecidedAt, SentAt, AnsweredAt time.Duration
	// StoppedAt is when the run's stop was ordered first.
	StoppedAt time.Duration
	// Ticket is the advice service's permission for the start, empty where none is needed.
	Ticket string
	// TailLatency is the tail of a serving task's response times. It has no meaning for
	// other tasks.
	TailLatency time.Duration
	// Pace is the share of its full speed at which the run may work, in percent.
	Pace int
	// Borrowed reports whether the run is urgent and exceeds its account's guarantee.
	Borrowed bool
	// StartUnconfirmed reports whether the run is being stopped although its start has no
	// answer, so that it may not have begun yet.
	StartUnconfirmed bool
	// AwaitingAnswer reports whether an order about the run has no conclusive answer yet.
	AwaitingAnswer bool
	// Queued reports whether an order about the run is due but not sent. InFlight reports
	// whether one is sent and neither answered nor timed out.
	Queued, InFlight bool
	// UnansweredAt is when the last order about the run was found to have no answer.
	UnansweredAt time.Duration
	// StartsSent is the number of starts that were sent.
	StartsSent int
	// Progress is in percent.
	Progress int
	// sample is the progress at the last sample, sampledAt its time.
	sample    int
	sampledAt time.Duration
	// Rate is the progress between the last two samples, in percent per second. Stalled
	// reports that there was none.
	Rate    float64
	Stalled bool
	// PreviousSampleAt is the time of the earlier of these two samples. SlowSince is the
	// time since which the run has been slow, 0 if it isn't.
	PreviousSampleAt, SlowSince time.Duration
	// RateObserved reports whether the run's rate was taken into account for its worker's speed.
	RateObserved bool
}

// UnknownPace is the pace of a run whose pace isn't known: a former decider may have
// changed it, or an order to change it may be lost.
const UnknownPace = -1

// restartTime is the typical time for a long-running task to be serving again after a
// restart. The platform publishes no figure.
const restartTime = 2 * time.Second

// Loss returns the work that stopping the run now would throw away, in core-seconds.
func (r *Run) Loss(now time.Duration) float64 {
	from := r.DecidedAt
	switch {
	case r.Task == nil:
	case r.Task.Step.Spec.LongRunning:
		// The requests it has served aren't lost. The cost is its absence until it serves
		// again.
		from = max(now-restartTime, from)
	case r.Task.Step.Spec.Checkpoint:
		// A stop writes a checkpoint, so only the time to stop and to resume is lost.
		from = max(now-time.Second/2, from)
	}
	return (now - from).Seconds() * r.Demand.Cores()
}

// Limits of the measurement of progress.
const (
	// minSampleSpan is the shortest time over which progress is measured, as workers report
	// it in whole percent.
	minSampleSpan = 800 * time.Millisecond
	// minProgress is assumed as the progress of a run that shows none, in percent.
	minProgress = 0.5
)

// ExpectedEnd returns when the run's task should be done, by its progress or, while that isn't
// known, by its estimate. It returns false if there is neither.
func (r *Run) ExpectedEnd() (time.Duration, bool) {
	switch {
	case r.Task == nil, r.Task.Step.Spec.LongRunning:
		return 0, false
	case r.Rate > 0:
		return r.sampledAt + time.Duration(float64(100-r.sample)/r.Rate*float64(time.Second)), true
	case r.Task.Step.Spec.Estimate > 0:
		return r.DecidedAt + r.Task.Step.Spec.Estimate, true
	}
	return 0, false
}

// LongRunning reports whether the run's task continues until its job is cancelled.
func (r *Run) LongRunning() bool { return r.Task != nil && r.Task.Step.Spec.LongRunning }

// RecordProgress records a run's reported progress, in percent. It reports whether that is
// 100 percent: a long-running task is then serving.
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

// LatencySensitive reports whether the run has a target for its response times.
func (r *Run) LatencySensitive() bool {
	return r.Task != nil && r.Task.Step.Spec.LongRunning && r.Task.Step.Spec.Target > 0
}
