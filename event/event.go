// Package event defines the input and output of a decider's state machine: events
// reported about jobs, workers and the store, and the effects that the state machine
// requests in response.
package event

import (
	"time"

	"citronbridge/advice"
	"citronbridge/maint"
	"citronbridge/rates"
	"citronbridge/work"
)

// Clock is the time at which an event is handled.
type Clock struct {
	// Steady is a monotonic time that never jumps.
	Steady time.Duration
	// Wall is the time of day in Unix milliseconds.
	Wall int64
}

// Worker is a worker's entry in the registry.
type Worker struct {
	ID, Address, Rack string
	Labels            []string
	Capacity          work.Amounts
	// StartedMS is when the worker started, in Unix milliseconds. It identifies the
	// worker's incarnation.
	StartedMS int64
	Draining  bool
	// LeavesMS is when a draining worker may leave, in milliseconds of its own clock,
	// 0 if unknown.
	LeavesMS int64
	// DataCentre is where the worker is, empty if unknown.
	DataCentre string
	// ColdFor is how much longer the worker stays slow after its start, as of the entry.
	ColdFor time.Duration
}

// Event is an input of the state machine: one of the types below.
type Event interface{ event() }

// JobAdded reports an accepted job and its progress so far.
type JobAdded struct {
	Job    *work.Job
	Record *work.Record
	// Inherited jobs may have running tasks that a former decider started.
	Inherited bool
}

// PartitionLoaded reports that all open jobs of a partition have been added. Whatever
// workers list for other jobs of the partition belongs to no open job.
type PartitionLoaded struct{ Partition string }

// JobCanceled reports that a job's cancellation is recorded.
type JobCanceled struct{ ID string }

// WorkerListed reports a new or changed worker entry in the registry.
type WorkerListed struct{ Worker Worker }

// WorkerInherited reports a worker that a former decider has used.
type WorkerInherited struct {
	ID, Address string
	// Lapsing reports whether the worker's lease is left to expire LapsesIn from now. It
	// isn't renewed before a RecordWorker without Lapsing is durable.
	Lapsing  bool
	LapsesIn time.Duration
}

// SpeedsInherited reports speeds of workers, by ID, that a former decider has learnt.
type SpeedsInherited struct{ Speeds map[string]rates.Speed }

// WorkerUnlisted reports that a worker's entry was removed. The worker itself may still
// be running.
type WorkerUnlisted struct{ ID string }

// WorkerRecorded reports that the RecordWorker with number Seq, and all with lower
// numbers, are durable.
type WorkerRecorded struct {
	ID  string
	Seq int64
}

// RulesChanged replaces the configuration.
type RulesChanged struct{ Rules *work.Rules }

// Bounds are the platform's limits and durations that a decider depends on.
type Bounds struct {
	// Lease is how long a worker may keep running tasks without a renewal. It is at most
	// the platform's bound.
	Lease time.Duration
	// StopTime is how long a worker takes to stop a task.
	StopTime time.Duration
	// GangTimeout is how long a gang's task waits at its worker for the other members, 0
	// if unknown.
	GangTimeout time.Duration
	// ReclaimTime is the time within which all tasks of an urgent job within its account's
	// guarantee must start, 0 if unbounded.
	ReclaimTime time.Duration
	// MaintenanceTime is how long a machine's maintenance takes. TakeoverPause is how long
	// after a takeover no maintenance may be ordered.
	MaintenanceTime, TakeoverPause time.Duration
	// FarFactor is the factor by which work takes longer outside of its data's rack.
	FarFactor float64
	// EvacuateTime is the time after an operator's request to evacuate a data centre from
	// which no task may start there, 0 if the platform sets none.
	EvacuateTime time.Duration
}

// requestSlack is subtracted from EvacuateTime. It covers what lies between the last check
// of a start and its arrival: an order to a worker times out after 0.4 s.
const requestSlack = time.Second

// MaxRequestAge returns how old the latest confirmation that all of the operator's requests are
// known may be for a task to start, 0 for no limit. A bound of less than twice the slack leaves
// half of it, as otherwise nothing would ever start.
func (b Bounds) MaxRequestAge() time.Duration {
	if b.EvacuateTime <= 0 {
		return 0
	}
	return max(b.EvacuateTime-requestSlack, b.EvacuateTime/2)
}

// BoundsChanged replaces the bounds. The new ones apply to orders from now on.
type BoundsChanged struct{ Bounds Bounds }

// OwnershipProved reports that this decider still owned the pool at a steady time.
type OwnershipProved struct{ At time.Duration }

// RecordSaved reports that a job's record is durable up to the change with number Seq.
type RecordSaved struct {
	ID  string
	Seq int64
}

// JobForeign reports that a job belongs to another pool by now: it is handed over, or the decider
// of that pool was the first to record it as its own.
type JobForeign struct{ ID string }

// OrderAnswered is the outcome of a Start or a Stop.
type OrderAnswered struct {
	Call    Call
	Outcome Outcome
	// ClockMS is the worker's clock in milliseconds, 0 if there was no answer.
	ClockMS int64
}

// HoldAnswered is the outcome of a Hold: what runs on the worker and which runs have
// ended.
type HoldAnswered struct {
	Call    Call
	Outcome Outcome
	ClockMS int64
	// StartedMS identifies the incarnation that answered, as in Worker.
	StartedMS int64
	Running   []Running
	Ended     []Ended
	// MoreEnds means that Ended may be incomplete. A run that is in neither list may
	// have ended then.
	MoreEnds bool
}

// PaceAnswered is the outcome of a Pace.
type PaceAnswered struct {
	Call    Call
	Outcome Outcome
}

// AdviceAnswered is the outcome of an Advise. Tickets are keyed by worker ID.
type AdviceAnswered struct {
	Call advice.Call
	// Err is why there is no advice, or nil.
	Err     error
	Tickets map[string]string
	// Sent is when the call was made, Valid how long its tickets are accepted.
	Sent, Valid time.Duration
}

// WaveRequested reports a new or changed maintenance wave.
type WaveRequested struct{ Wave maint.Wave }

// WaveWithdrawn reports that the operator has withdrawn a maintenance wave.
type WaveWithdrawn struct{ Wave int64 }

// MachinesListed is the outcome of a maint.ListMachines.
type MachinesListed struct {
	Machines []maint.Machine
	// Sent is when the list was requested.
	Sent time.Duration
	// Err is why there is no list, or nil.
	Err error
}

// ProgressRead is the outcome of a maint.ReadProgress or a maint.WriteProgress: the
// wave's row as it is now. If Err is set, the row is unknown.
type ProgressRead struct {
	Wave     int64
	Progress maint.Progress
	// Version is the version of the row, 0 if there is no row.
	Version int64
	Err     error
}

// MaintenanceAnswered is the outcome of a maint.OrderMaintenance.
type MaintenanceAnswered struct {
	Wave    int64
	Machine string
	Outcome maint.Outcome
}

// EvacuationsChanged replaces the set of data centres that are evacuated: no task starts
// there. The set is sorted and complete, so handling it twice changes nothing.
type EvacuationsChanged struct{ DataCentres []string }

// Tick reports only that time has passed.
type Tick struct{}

func (JobAdded) event()            {}
func (PartitionLoaded) event()     {}
func (JobCanceled) event()         {}
func (JobForeign) event()          {}
func (WorkerListed) event()        {}
func (WorkerInherited) event()     {}
func (SpeedsInherited) event()     {}
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
func (EvacuationsChanged) event()  {}
func (Tick) event()                {}

// Running is a run that a worker lists as running.
type Running struct {
	Task work.TaskID
	Run  int
	// Checkpoint is the run's newest checkpoint, empty if it has none.
	Checkpoint string
	// Progress is in percent.
	Progress int
	// Metric is a rough measurement. For a serving task it is the tail latency over the
	// last half second in milliseconds, for others the processor in use in thousandths
	// of a core.
	Metric int
}

// Ended is a run that a worker lists as ended. N numbers the ended runs of one
// incarnation of the worker.
type Ended struct {
	N          int64
	Task       work.TaskID
	Run        int
	Reason     EndReason
	Checkpoint string
}

// EndReason is why a run ended.
type EndReason string

// Reasons why a run ends.
const (
	Done    EndReason = "Done"
	Failed  EndReason = "Failed"
	Stopped EndReason = "Stopped"
	// Lapsed: the worker's lease expired, or the run is no longer on its worker.
	Lapsed EndReason = "Lapsed"
	// GangBroken: another member of the gang ended.
	GangBroken EndReason = "Broken"
	// GangIncomplete: the other members of the gang didn't start in time.
	GangIncomplete EndReason = "Alone"
)

// Outcome is the result of a call to a worker.
type Outcome string

// Outcomes of calls to workers.
const (
	Accepted Outcome = "Accepted"
	// NoAnswer: the outcome is unknown. The worker may have carried out the call, or may
	// still do so.
	NoAnswer Outcome = "NoAnswer"
	// NotSent: the call didn't reach the worker.
	NotSent Outcome = "NotSent"
	// Fenced: the worker has seen a higher fence.
	Fenced Outcome = "Fenced"
	// StaleRun: on the worker this run, or one with a higher number, has already ended.
	StaleRun Outcome = "Old"
	// DeadlinePassed: the call arrived after its deadline.
	DeadlinePassed Outcome = "Late"
	// NoRoom: the task doesn't fit.
	NoRoom Outcome = "NoRoom"
	// Unhealthy: the worker is unhealthy and did nothing.
	Unhealthy Outcome = "Unhealthy"
	// OtherIncarnation: the address now belongs to another worker or incarnation.
	OtherIncarnation Outcome = "OtherLife"
	// Restarted: a later incarnation of the worker has its address, which didn't receive the
	// call.
	Restarted Outcome = "Restarted"
	// Invalid: the worker can't parse the call.
	Invalid Outcome = "Invalid"
	// NoTicket: the start has no ticket, or one that isn't valid.
	NoTicket Outcome = "NoTicket"
)

// Call has the fields that all effects on a worker share. It is returned with the
// outcome.
type Call struct {
	Worker, Address string
	// Incarnation counts the incarnations of the worker that the decider has seen.
	Incarnation int64
	// StartedMS identifies the incarnation that the call is meant for, as in Worker. No other
	// one receives the call. It is 0 if the incarnation isn't known yet.
	StartedMS int64
	Fence     int64
	// Sent is when the call was decided.
	Sent time.Duration
	Task work.TaskID
	Run  int
	// Stop distinguishes a Stop from a Start in OrderAnswered.
	Stop bool
}

// Effect is an action that the state machine requests: one of the types below.
type Effect interface{ effect() }

// Start orders a worker to start a task.
type Start struct {
	Call
	Spec, Checkpoint string
	// DeadlineMS is in milliseconds of the worker's clock.
	DeadlineMS int64
	// Ticket is the advice service's permission for the start, empty where none is
	// needed.
	Ticket string
	// DataCentre is where the worker is, for a last check before the order is sent.
	DataCentre string
}

// Stop orders a worker to stop a run.
type Stop struct{ Call }

// Pace throttles a run to a share of its full speed.
type Pace struct {
	Call
	// Percent is 0 to 100.
	Percent int
}

// Advise asks the advice service on which workers a step may run. An AdviceAnswered
// follows.
type Advise struct{ advice.Call }

// Hold asks a worker for its running and ended runs, and extends its lease.
type Hold struct {
	Call
	// DeadlineMS is the end of the lease in milliseconds of the worker's clock, 0 to leave
	// the lease unchanged.
	DeadlineMS int64
	// AckedEnd is the highest number of an ended run that the worker may forget, with all
	// below it.
	AckedEnd int64
	// Wait is how long the worker may keep its answer back until a run ends.
	Wait time.Duration
}

// SaveRecord writes a job's record to the store.
type SaveRecord struct {
	ID     string
	Seq    int64
	Record []byte
	// Final reports whether the job has ended, so that its own row is no longer needed.
	Final bool
}

// HandOver writes the record of a job that is handed over to another pool, and the job's own row.
type HandOver struct {
	ID          string
	Record, Job []byte
}

// RecordWorker records for a successor that a worker is used or, if Lapsing is set, that
// its lease is no longer renewed and expires LapsesIn from now. Seq rises with each write.
type RecordWorker struct {
	ID, Address string
	Seq         int64
	Lapsing     bool
	LapsesIn    time.Duration
}

// ForgetWorker deletes what RecordWorker has recorded of a worker.
type ForgetWorker struct{ ID string }

// SaveSpeeds writes the speeds of the workers of a shard, by ID, for a successor.
type SaveSpeeds struct {
	Shard  int
	Speeds map[string]rates.Speed
}

// SpeedsKnown reports to the metrics how many workers have a known speed, and the slowest and the
// fastest of these speeds.
type SpeedsKnown struct {
	Workers          int
	Slowest, Fastest float64
}

// ProveOwnership requests a proof that this decider still owns the pool. An
// OwnershipProved follows.
type ProveOwnership struct{}

// RunEnded reports the end of a run to the metrics.
type RunEnded struct{ Reason EndReason }

// StartWithdrawn reports to the metrics that a decided start is given up, and why.
type StartWithdrawn struct{ Reason WithdrawReason }

// WithdrawReason is why a start is given up.
type WithdrawReason string

// Reasons why a start is given up.
const (
	// Evacuated: the worker's data centre is evacuated.
	Evacuated WithdrawReason = "Evacuated"
	// Draining: the worker is draining.
	Draining WithdrawReason = "Draining"
)

// JobStarted reports to the metrics how long a job waited for its first start.
type JobStarted struct {
	Queue string
	Wait  time.Duration
}

// GangStarted reports to the metrics that all members of a gang are confirmed as started,
// and how long that took from the first order.
type GangStarted struct{ Took time.Duration }

// JobEnded reports to the metrics how a job ended and how long after its acceptance. A
// successor may report it again if the end wasn't durable yet.
type JobEnded struct {
	Queue string
	State work.State
	Took  time.Duration
}

// JobReceived reports to the log that the decider has received a job, and the accelerators
// that its account is guaranteed.
type JobReceived struct {
	Job        *work.Job
	Guaranteed int64
}

// Maintenance requests an action of a maintenance wave. A maint.OrderMaintenance is
// answered by a MaintenanceAnswered, a maint.ListMachines by a MachinesListed, and a
// maint.ReadProgress or maint.WriteProgress by a ProgressRead. Other actions have no
// answer.
type Maintenance struct{ Action maint.Action }

// JobWaits reports a job of which nothing runs although there is room.
type JobWaits struct {
	Job, Step string
	// Waited is how long the step has waited since it became ready or its last run ended,
	// RoomFor how long there has been room for it twice.
	Waited, RoomFor time.Duration
	// Tasks is the number of tasks that must start together, Room for how many there is
	// room, counted up to twice as many.
	Tasks, Room int
	// Cause says what keeps the step from that room.
	Cause string
}

// PoolState reports what a decider sees of its pool while jobs wait in it.
type PoolState struct {
	// Jobs is the number of jobs with a step that is ready and nothing running, Longest how
	// long the longest of them has waited.
	Jobs    int
	Longest time.Duration
	// Free and Total are the accelerators of the listed workers.
	Free, Total int64
	// Workers counts the listed workers, Closed those of them that get no tasks, by cause.
	Workers int
	Closed  map[string]int
	// StartsLeft is how many more starts may be decided now.
	StartsLeft int
	// NoStarts reports whether starts are held back, as the last proof of ownership, of
	// ProofAge, is too old.
	NoStarts bool
	ProofAge time.Duration
	// Partitions is the number of loaded partitions. Inheriting reports whether tasks of a
	// former decider may be running unknown to this one.
	Partitions int
	Inheriting bool
}

// LogEntry is a line for the log: a decision and its reason.
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
func (HandOver) effect()       {}
func (RecordWorker) effect()   {}
func (ForgetWorker) effect()   {}
func (SaveSpeeds) effect()     {}
func (SpeedsKnown) effect()    {}
func (ProveOwnership) effect() {}
func (RunEnded) effect()       {}
func (StartWithdrawn) effect() {}
func (JobStarted) effect()     {}
func (GangStarted) effect()    {}
func (JobEnded) effect()       {}
func (JobReceived) effect()    {}
func (Maintenance) effect()    {}
func (LogEntry) effect()       {}
func (JobWaits) effect()       {}
func (PoolState) effect()      {}
