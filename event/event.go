// Package event holds what a decider takes in and what it wants done: events of
// jobs, workers and the store, and effects on them.
package event

import (
	"time"

	"citronbridge/advice"
	"citronbridge/maint"
	"citronbridge/work"
)

// Clock is the time of an event.
type Clock struct {
	// Steady never jumps.
	Steady time.Duration
	// Wall is in Unix milliseconds.
	Wall int64
}

// Worker is what the registry says of a worker.
type Worker struct {
	ID, Address, Rack string
	Labels            []string
	Capacity          work.Amounts
	// StartedMS tells the worker's lives apart, in Unix milliseconds.
	StartedMS int64
	Draining  bool
	// LeavesMS is when a draining worker may leave, on its own clock, 0 if that
	// isn't known.
	LeavesMS int64
}

// Event is something that happened: one of the types below.
type Event interface{ event() }

// JobAdded tells of an accepted job and its progress so far.
type JobAdded struct {
	Job    *work.Job
	Record *work.Record
	// Inherited jobs may have tasks at work that a former decider started.
	Inherited bool
}

// PartitionLoaded tells that all jobs of a part were told: what workers list of
// others in it belongs to no open job.
type PartitionLoaded struct{ Partition string }

// JobCanceled tells that a cancel was recorded.
type JobCanceled struct{ ID string }

// WorkerListed tells of a worker's entry, new or changed.
type WorkerListed struct{ Worker Worker }

// WorkerInherited tells of a worker that a former decider has used.
type WorkerInherited struct {
	ID, Address string
	// Lapsing says that its lease isn't renewed until a RecordWorker says
	// otherwise, and ends LapsesIn from now.
	Lapsing  bool
	LapsesIn time.Duration
}

// WorkerUnlisted tells that a worker's entry is gone. The worker may live.
type WorkerUnlisted struct{ ID string }

// WorkerRecorded tells that a RecordWorker of a number, and all before, are
// durable.
type WorkerRecorded struct {
	ID  string
	Seq int64
}

// RulesChanged brings another configuration.
type RulesChanged struct{ Rules *work.Rules }

// Bounds are the platform's figures that a decider works by.
type Bounds struct {
	// Lease is how long a worker may go on without a renewal, the platform's
	// bound at most.
	Lease time.Duration
	// StopTime is how long a worker takes to stop a task.
	StopTime time.Duration
	// GangTimeout is how long a gang's task waits at its worker for the others, 0
	// if that isn't known.
	GangTimeout time.Duration
	// ReclaimTime is how soon all tasks of an urgent job within its account's
	// guarantee are to have begun, 0 if that isn't bounded.
	ReclaimTime time.Duration
	// MaintenanceTime is how long a machine's maintenance takes, TurnPause how long after
	// a takeover no machine gets an order.
	MaintenanceTime, TakeoverPause time.Duration
	// FarFactor is how much longer work takes away from its data's rack.
	FarFactor float64
}

// BoundsChanged brings other bounds: they hold for orders from now on.
type BoundsChanged struct{ Bounds Bounds }

// OwnershipProved tells that the pool was still this decider's at a steady time.
type OwnershipProved struct{ At time.Duration }

// RecordSaved tells that a record is durable up to a sequence number.
type RecordSaved struct {
	ID  string
	Seq int64
}

// OrderAnswered is the outcome of a Start or a Stop.
type OrderAnswered struct {
	Call    Call
	Outcome Outcome
	// ClockMS is the worker's clock, 0 if there was no answer.
	ClockMS int64
}

// HoldAnswered is the outcome of a Hold.
type HoldAnswered struct {
	Call      Call
	Outcome   Outcome
	ClockMS   int64
	StartedMS int64
	Running   []Running
	Ended     []Ended
}

// PaceAnswered is the outcome of a Pace.
type PaceAnswered struct {
	Call    Call
	Outcome Outcome
}

// AdviceAnswered is the outcome of an Advise. Tickets are by worker.
type AdviceAnswered struct {
	Call advice.Call
	// Err is why there is no advice, nil if there is.
	Err     error
	Tickets map[string]string
	// Sent is when the call was made, Valid how long its tickets hold.
	Sent, Valid time.Duration
}

// WaveRequested tells of a wave of maintenance, new or changed.
type WaveRequested struct{ Wave maint.Wave }

// WaveWithdrawn tells that a wave was taken back.
type WaveWithdrawn struct{ Wave int64 }

// MachinesListed is the outcome of an maint.List.
type MachinesListed struct {
	Machines []maint.Machine
	// Sent is when the list was asked for.
	Sent time.Duration
	// Err is why there is no list, nil if there is.
	Err error
}

// ProgressRead is the outcome of an maint.Read or an maint.Write: the row as
// it is now, unless it isn't known.
type ProgressRead struct {
	Wave     int64
	Progress maint.Progress
	// Version is that of the row, 0 if there is none.
	Version int64
	Err     error
}

// MaintenanceAnswered is the outcome of an maint.Order.
type MaintenanceAnswered struct {
	Wave    int64
	Machine string
	Outcome maint.Outcome
}

// Tick lets time pass.
type Tick struct{}

func (JobAdded) event()            {}
func (PartitionLoaded) event()     {}
func (JobCanceled) event()         {}
func (WorkerListed) event()        {}
func (WorkerInherited) event()     {}
func (WorkerUnlisted) event()      {}
func (WorkerRecorded) event()      {}
func (RulesChanged) event()        {}
func (BoundsChanged) event()       {}
func (OwnershipProved) event()     {}
func (RecordSaved) event()         {}
func (OrderAnswered) event()       {}
func (HoldAnswered) event()        {}
func (PaceAnswered) event()        {}
func (AdviceAnswered) event()      {}
func (WaveRequested) event()       {}
func (WaveWithdrawn) event()       {}
func (MachinesListed) event()      {}
func (ProgressRead) event()        {}
func (MaintenanceAnswered) event() {}
func (Tick) event()                {}

// Running is a run that a worker lists as at work.
type Running struct {
	Task       work.TaskID
	Run        int
	Checkpoint string
	Progress   int
	// Metric is the tail of a serving task's response times over the last half
	// second in milliseconds, and for others the processor in use, in
	// thousandths of a core. It is rough.
	Metric int
}

// Ended is a run that a worker lists as ended. N counts within a life.
type Ended struct {
	N          int64
	Task       work.TaskID
	Run        int
	Reason     EndReason
	Checkpoint string
}

// EndReason is how a run ended.
type EndReason string

// Ways in which a run ends.
const (
	Done           EndReason = "Done"
	Failed         EndReason = "Failed"
	Stopped        EndReason = "Stopped"
	Lapsed         EndReason = "Lapsed"
	GangBroken     EndReason = "Broken"
	GangIncomplete EndReason = "Alone"
)

// Outcome is how a call of a worker came out.
type Outcome string

// Outcomes of calls of workers.
const (
	Accepted Outcome = "Accepted"
	// NoAnswer: the call may have been, or may still be, carried out.
	NoAnswer Outcome = "NoAnswer"
	// NotSent: nothing reached the worker.
	NotSent Outcome = "NotSent"
	// Fenced: the worker has seen a higher fence.
	Fenced Outcome = "Fenced"
	// StaleRun: the worker has seen this run, or a higher one, end.
	StaleRun Outcome = "Old"
	// DeadlinePassed: the deadline had passed.
	DeadlinePassed Outcome = "Late"
	// NoRoom: the task doesn't fit.
	NoRoom Outcome = "NoRoom"
	// Unhealthy: the worker has done nothing.
	Unhealthy Outcome = "Unhealthy"
	// OtherIncarnation: the worker at the address is not the one that was named.
	OtherIncarnation Outcome = "OtherLife"
	// Invalid: the worker can't read the call.
	Invalid Outcome = "Invalid"
	// NoTicket: the start's ticket doesn't hold, or it has none.
	NoTicket Outcome = "NoTicket"
)

// Call is what all effects on a worker have in common, and comes back with
// the outcome.
type Call struct {
	Worker, Address string
	// Incarnation counts the lives of the worker that the decider has seen.
	Incarnation int64
	Fence       int64
	// Sent is when the call was decided.
	Sent time.Duration
	Task work.TaskID
	Run  int
	// Stop tells a Stop from a Start in Answered.
	Stop bool
}

// Effect is something to be done: one of the types below.
type Effect interface{ effect() }

// Start orders a worker to start a task.
type Start struct {
	Call
	Spec, Checkpoint string
	// DeadlineMS is on the worker's clock.
	DeadlineMS int64
	// Ticket is the advice service's, empty where none is needed.
	Ticket string
}

// Stop orders a worker to stop a run.
type Stop struct{ Call }

// Pace lets a run work at a share of its speed.
type Pace struct {
	Call
	// Percent is 0 to 100.
	Percent int
}

// Advise asks the advice service where a step may run. An Advised follows.
type Advise struct{ advice.Call }

// Hold asks a worker for its lists and extends its lease.
type Hold struct {
	Call
	// DeadlineMS is on the worker's clock, 0 to leave the lease alone.
	DeadlineMS int64
	AckedEnd   int64
	Wait       time.Duration
}

// SaveRecord makes a record durable.
type SaveRecord struct {
	ID     string
	Seq    int64
	Record []byte
	// Final says that the job's own row is no longer needed.
	Final bool
}

// RecordWorker makes it durable that a worker is used, or that its lease isn't
// renewed any more and when it ends, for a successor. Seq counts up.
type RecordWorker struct {
	ID, Address string
	Seq         int64
	Lapsing     bool
	LapsesIn    time.Duration
}

// ForgetWorker takes back a RecordWorker.
type ForgetWorker struct{ ID string }

// ProveOwnership asks for a proof that the pool is still owned: an Owned follows.
type ProveOwnership struct{}

// RunEnded tells how a run ended, for the counters.
type RunEnded struct{ Reason EndReason }

// JobStarted tells how long a job waited for its first start, for the counters.
type JobStarted struct {
	Queue string
	Wait  time.Duration
}

// GangStarted tells that all members of a gang are confirmed as started, and how
// long that took from the first order, for the counters.
type GangStarted struct{ Took time.Duration }

// JobEnded tells how a job ended and how long after its acceptance, for the
// counters. A successor may tell it again if the end wasn't durable yet.
type JobEnded struct {
	Queue string
	State work.State
	Took  time.Duration
}

// JobReceived tells that a job has become known, for the log.
type JobReceived struct{ Job *work.Job }

// Maintenance asks for a step of a wave of maintenance. An Order is answered by an
// MaintenanceAnswered, a List by a MachinesListed, a Read and a Write by a
// ProgressRead, a Tell by nothing.
type Maintenance struct{ Action maint.Action }

// LogEntry is a line for the log: a decision and what it rests on.
type LogEntry struct {
	Job, Worker, Text string
	Task              string
	Run               int
}

func (Start) effect()          {}
func (Stop) effect()           {}
func (Pace) effect()           {}
func (Advise) effect()         {}
func (Hold) effect()           {}
func (SaveRecord) effect()     {}
func (RecordWorker) effect()   {}
func (ForgetWorker) effect()   {}
func (ProveOwnership) effect() {}
func (RunEnded) effect()       {}
func (JobStarted) effect()     {}
func (GangStarted) effect()    {}
func (JobEnded) effect()       {}
func (JobReceived) effect()    {}
func (Maintenance) effect()    {}
func (LogEntry) effect()       {}
