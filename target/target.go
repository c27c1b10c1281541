// Package target speaks with the targets: it fences them, orders tasks and
// watches what becomes of them.
package target

import (
	"fmt"

	"citronbridge/fault"
	"citronbridge/jobs"
	"citronbridge/units"
)

// Action is what an order asks for.
type Action string

// The actions. Reserve grants a lease on room and loads the task, Start runs it,
// Throttle slows it, Checkpoint stops it once its state is saved, Stop ends
// it, and Forget drops what the target still knows of it.
const (
	Reserve    Action = "Reserve"
	Start      Action = "Start"
	Throttle   Action = "Throttle"
	Checkpoint Action = "Checkpoint"
	Stop       Action = "Stop"
	Forget     Action = "Forget"
)

// TaskID identifies a member of an attempt of a job.
type TaskID struct {
	Job     jobs.Key
	Attempt jobs.Attempt
	Member  int
}

// String returns Account/ID@Epoch.Number#Member.
func (t TaskID) String() string { return fmt.Sprintf("%s@%s#%d", t.Job, t.Attempt, t.Member) }

// Order is one request to a target.
type Order struct {
	Action Action
	Task   TaskID
	// Room, Guarantee and the program go with Reserve. Guarantee names the
	// guarantee that the task is charged to, or is empty for a borrower.
	Room      jobs.Room `json:",omitzero"`
	Guarantee string    `json:",omitempty"`
	// Targets names the target of each member, so that a report of one member
	// tells where the others are.
	Targets   []string `json:",omitempty"`
	Arguments []string `json:",omitempty"`
	Input     []byte   `json:",omitempty"`
	// Delay goes with Start: the task runs only when it has passed, and a Stop
	// before leaves it unstarted. Lease is how long the started task may run
	// without a renewal.
	Delay units.Duration `json:",omitempty"`
	Lease units.Duration `json:",omitempty"`
}

// Refusal says why a target refused an order. Empty means it was accepted.
type Refusal string

// The refusals.
const (
	Accepted   Refusal = ""
	StaleEpoch Refusal = "StaleEpoch"
	NoRoom     Refusal = "NoRoom"
	NoSuchTask Refusal = "NoSuchTask"
	WrongState Refusal = "WrongState"
	Malformed  Refusal = "Malformed"
)

// TaskState is where a task stands at its target.
type TaskState string

// The states of a task. Saved is a task that stopped behind a checkpoint,
// Lapsed one whose lease ran out.
const (
	Reserved TaskState = "Reserved"
	Active   TaskState = "Active"
	Complete TaskState = "Complete"
	Broken   TaskState = "Broken"
	Halted   TaskState = "Halted"
	Saved    TaskState = "Saved"
	Lapsed   TaskState = "Lapsed"
)

// Ended reports whether the task takes no more room.
func (s TaskState) Ended() bool { return s != Reserved && s != Active }

// Task is what a target tells of a task.
type Task struct {
	ID        TaskID
	State     TaskState
	Room      jobs.Room
	Guarantee string   `json:",omitempty"`
	Targets   []string `json:",omitempty"`
	// Started tells that the task ran at some time.
	Started bool      `json:",omitempty"`
	Detail  string    `json:",omitempty"`
	Output  jobs.Part `json:",omitzero"`
}

// Check returns the faults of a decoded task.
func (t *Task) Check() fault.List {
	var l fault.List
	l.Check(jobs.ValidName(t.ID.Job.Account), "ID.Job.Account", t.ID.Job.Account, jobs.NameRule)
	l.CheckRange("ID.Member", int64(t.ID.Member), 0, int64(len(t.Targets))-1)
	switch t.State {
	case Reserved, Active, Complete, Broken, Halted, Saved, Lapsed:
	default:
		l.Add("State", t.State, "a known task state")
	}
	return l
}

// Report is the answer to Fence and Watch.
type Report struct {
	// Incarnation changes when the target restarts and forgets its tasks.
	Incarnation string
	// Epoch is the highest that fenced the target.
	Epoch int64
	// Sequence counts the changes of tasks at the target.
	Sequence int64
	Room     jobs.Room
	Tasks    []Task
}

// Watch asks for changes behind Since and renews the leases of all tasks.
type Watch struct {
	Epoch int64
	Since int64
	// Wait bounds how long the answer may wait for a change.
	Wait units.Duration
	// Lease is how long the renewed leases last.
	Lease units.Duration
}

// Batch is a number of orders of one decider.
type Batch struct {
	Epoch  int64
	Lease  units.Duration
	Orders []Order
}

// FenceRequest takes a target for an epoch.
type FenceRequest struct {
	Epoch int64
	Lease units.Duration
}
