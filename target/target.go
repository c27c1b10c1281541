// Package target is a client of the targets, the machines that run tasks. It fences targets, sends
// them orders about tasks, and watches the states of the tasks.
package target

import (
	"fmt"

	"citronbridge/fault"
	"citronbridge/jobs"
	"citronbridge/units"
)

// Action is what an order asks the target to do with a task.
type Action string

// The actions. Reserve grants a lease on resources and loads the task, Start runs it, Throttle
// slows it down, Checkpoint saves its state and then stops it, Stop stops it, and Forget deletes
// the target's record of an ended task.
const (
	Reserve    Action = "Reserve"
	Start      Action = "Start"
	Throttle   Action = "Throttle"
	Checkpoint Action = "Checkpoint"
	Stop       Action = "Stop"
	Forget     Action = "Forget"
)

// TaskID identifies a task: a member of an attempt of a job.
type TaskID struct {
	Job     jobs.Key
	Attempt jobs.Attempt
	Member  int
}

// String returns the ID in the form Account/ID@Epoch.Number#Member.
func (t TaskID) String() string { return fmt.Sprintf("%s@%s#%d", t.Job, t.Attempt, t.Member) }

// Order asks a target to do something with a task.
type Order struct {
	Action Action
	Task   TaskID
	// Room, Guarantee, Targets, Arguments and Input are set for Reserve only. Room holds the
	// resources to reserve. Guarantee names the guarantee that the task is charged to; it is
	// empty for a task that borrows its resources.
	Room      jobs.Room `json:",omitzero"`
	Guarantee string    `json:",omitempty"`
	// Targets names the target of each member. The target repeats it in its reports, so that a
	// report on one member tells where the others are.
	Targets   []string `json:",omitempty"`
	Arguments []string `json:",omitempty"`
	Input     []byte   `json:",omitempty"`
	// Delay and Lease are set for Start only. The task starts once Delay has passed; a Stop
	// before that prevents the start. Lease is how long the task may run after its start before
	// the first renewal.
	Delay units.Duration `json:",omitempty"`
	Lease units.Duration `json:",omitempty"`
}

// Refusal is the reason why a target refused an order, or Accepted.
type Refusal string

// The refusals. StaleEpoch means that the target was fenced in a newer epoch, NoRoom that it lacks
// free resources, and WrongState that the action isn't possible in the state of the task.
const (
	Accepted   Refusal = ""
	StaleEpoch Refusal = "StaleEpoch"
	NoRoom     Refusal = "NoRoom"
	NoSuchTask Refusal = "NoSuchTask"
	WrongState Refusal = "WrongState"
	Malformed  Refusal = "Malformed"
)

// TaskState is the state of a task at its target.
type TaskState string

// The states of a task. A Reserved task hasn't started, and an Active one is running. The others
// are final: a Complete task has succeeded, a Broken one has failed, a Halted one was stopped, a
// Saved one was stopped after a checkpoint, and a Lapsed one was ended because its lease expired.
const (
	Reserved TaskState = "Reserved"
	Active   TaskState = "Active"
	Complete TaskState = "Complete"
	Broken   TaskState = "Broken"
	Halted   TaskState = "Halted"
	Saved    TaskState = "Saved"
	Lapsed   TaskState = "Lapsed"
)

// Ended reports whether the state is final, so that the task uses no resources any more.
func (s TaskState) Ended() bool { return s != Reserved && s != Active }

// Task is a target's report on one task.
type Task struct {
	ID        TaskID
	State     TaskState
	Room      jobs.Room
	Guarantee string   `json:",omitempty"`
	Targets   []string `json:",omitempty"`
	// Started is true if the task has ever run.
	Started bool      `json:",omitempty"`
	Detail  string    `json:",omitempty"`
	Output  jobs.Part `json:",omitzero"`
}

// Check returns the invalid fields of a decoded task.
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

// Report is a target's answer to a FenceRequest or a WatchRequest.
type Report struct {
	// Incarnation identifies the time between two starts of the target. A restarted target has
	// lost its tasks.
	Incarnation string
	// Epoch is the highest epoch in which the target was fenced.
	Epoch int64
	// Sequence is the number of changes of tasks at the target so far.
	Sequence int64
	// Room is the total capacity of the target.
	Room  jobs.Room
	Tasks []Task
}

// WatchRequest asks for the tasks that changed after the sequence number Since, and renews the
// leases of all tasks.
type WatchRequest struct {
	Epoch int64
	Since int64
	// Wait is how long the target may wait for a change before it answers.
	Wait units.Duration
	// Lease is the duration of the renewed leases.
	Lease units.Duration
}

// Batch is a list of orders of one decider. Lease is the duration of the leases that its
// reservations get.
type Batch struct {
	Epoch  int64
	Lease  units.Duration
	Orders []Order
}

// FenceRequest fences a target in an epoch. Lease is the duration of the renewed leases of its
// tasks.
type FenceRequest struct {
	Epoch int64
	Lease units.Duration
}
