// Package work defines jobs with their steps and tasks, the record of their
// progress, and the configuration of queues and accounts, as plain data.
package work

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"citronbridge/fault"
)

// Limits of one job.
const (
	// MaxSpec is the greatest length of a Spec in bytes; the platform's bound.
	MaxSpec = 4000
	// MaxSteps and MaxTasks limit the state that a decider holds for one job, as
	// the row of its progress must stay within the store's limit for rows.
	MaxSteps = 100
	MaxTasks = 20_000
	// MaxTimes limits the occurrences of a job.
	MaxTimes = 10_000
	// maxAmount limits a task's demand for one resource.
	maxAmount = 1 << 40
)

// Amounts is a worker's capacity, or a task's demand, for each resource.
type Amounts struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64
	// MemoryMiB is in MiB.
	MemoryMiB int64
	// Accelerators counts whole devices.
	Accelerators int64
}

// Plus returns a + b.
func (a Amounts) Plus(b Amounts) Amounts {
	return Amounts{a.MilliCPU + b.MilliCPU, a.MemoryMiB + b.MemoryMiB, a.Accelerators + b.Accelerators}
}

// Minus returns a - b.
func (a Amounts) Minus(b Amounts) Amounts {
	return Amounts{a.MilliCPU - b.MilliCPU, a.MemoryMiB - b.MemoryMiB, a.Accelerators - b.Accelerators}
}

// Fits reports whether a is at most b in each resource of which a is positive. A
// resource that is over-committed, and so negative in b, only matters to demands
// for it.
func (a Amounts) Fits(b Amounts) bool {
	return (a.MilliCPU <= 0 || a.MilliCPU <= b.MilliCPU) && (a.MemoryMiB <= 0 || a.MemoryMiB <= b.MemoryMiB) &&
		(a.Accelerators <= 0 || a.Accelerators <= b.Accelerators)
}

// coresPerAccelerator is the number of cores that one accelerator counts as in the
// platform's accounting.
const coresPerAccelerator = 8

// Cores returns the amounts as a weighted number of cores. An accelerator counts as
// eight, memory does not count.
func (a Amounts) Cores() float64 {
	return float64(a.MilliCPU)/1000 + coresPerAccelerator*float64(a.Accelerators)
}

// Step is a set of identical tasks.
type Step struct {
	Count  int
	Demand Amounts
	// Estimate is the estimated duration of one task, 0 if unknown.
	Estimate time.Duration
	// After holds the indexes of earlier steps whose tasks must all be done first.
	After []int `json:",omitempty"`
	// Checkpoint is set if the tasks save their progress.
	Checkpoint bool `json:",omitempty"`
	// Gang is set if the tasks run all together or not at all.
	Gang bool `json:",omitempty"`
	// SameRack is set if the tasks are slow when spread over several racks.
	SameRack bool `json:",omitempty"`
	// Speculative allows copies of a task to run in parallel.
	Speculative bool `json:",omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:",omitempty"`
	// Fills is set for best-effort tasks, which use processor time that other
	// tasks leave idle.
	Fills bool `json:",omitempty"`
	// Requires, if set, is a label that the worker must have. Affinity, if set, is
	// the rack that holds the data.
	Requires, Affinity string `json:",omitempty"`
	// AntiAffinity, if positive, limits the step's tasks on one worker.
	AntiAffinity int `json:",omitempty"`
	// MayMiss is how many of the long-running tasks may be stopped at the same
	// time.
	MayMiss int    `json:",omitempty"`
	Image   string `json:",omitempty"`
	// Target, if positive, is the limit for the tail latency of a serving task.
	Target time.Duration `json:",omitempty"`
}

// CapacityDemand returns the demand that a task reserves of a worker's capacity.
// Best-effort tasks reserve no processor time.
func (s *Step) CapacityDemand() Amounts {
	d := s.Demand
	if s.Fills {
		d.MilliCPU = 0
	}
	return d
}

// Job is a job as submitted by a client. Only Terms and Moves change, when it is handed over to
// another pool.
type Job struct {
	ID    string
	Queue string
	// Tenant is the name of the client account.
	Tenant string
	// Spec is passed to each task unchanged.
	Spec  string
	Steps []Step
	// Times, if positive, is the number of occurrences. Occurrence K, counted from
	// 0, is due at Start + K x Interval. Start is in Unix milliseconds.
	Times    int           `json:",omitempty"`
	Start    int64         `json:",omitempty"`
	Interval time.Duration `json:",omitempty"`
	// Accepted is when a host recorded the job, in Unix milliseconds.
	Accepted int64
	// Terms are those of the queue when the job was accepted or handed over. They apply if the
	// configuration no longer has the queue, or is older. Terms.Pool is the only pool whose
	// decider may start the job's tasks or hand it over, unless Record.Pool names another one.
	Terms Terms
	// Moves is how often the job was handed over.
	Moves int `json:",omitempty"`
}

// Submitter identifies who may read and cancel a job: a client account, or, for a job that was
// submitted without one, all callers of its public queue.
type Submitter struct {
	Account string `json:",omitempty"`
	// Queue is empty if Account is set.
	Queue string `json:",omitempty"`
}

// SubmitterOf returns the submitter of a job of a queue. The account is empty if the job was
// submitted without one.
func SubmitterOf(account, queue string) Submitter {
	if account != "" {
		return Submitter{Account: account}
	}
	return Submitter{Queue: queue}
}

// Submitter returns who submitted the job.
func (j *Job) Submitter() Submitter { return SubmitterOf(j.Tenant, j.Queue) }

// Occurrences returns how often the steps run, 1 for a job that isn't periodic.
func (j *Job) Occurrences() int { return max(j.Times, 1) }

// Due returns when an occurrence may start, in Unix milliseconds, and 0 for a job
// that isn't periodic.
func (j *Job) Due(k int) int64 {
	if j.Times == 0 {
		return 0
	}
	return j.Start + int64(k)*j.Interval.Milliseconds()
}

// CriticalPath returns the length of the longest chain of dependent steps, by their
// estimates.
func (j *Job) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		for _, a := range j.Steps[i].After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Size returns the number of tasks of one occurrence and the accelerators that they
// need together.
func (j *Job) Size() (tasks int, accelerators int64) {
	for i := range j.Steps {
		tasks += j.Steps[i].Count
		accelerators += int64(j.Steps[i].Count) * j.Steps[i].Demand.Accelerators
	}
	return tasks, accelerators
}

var idPattern = regexp.MustCompile(`^[0-9a-fA-F]{16}$`)

// ValidID reports whether s is a valid job ID: 16 hexadecimal digits.
func ValidID(s string) bool { return idPattern.MatchString(s) }

var _ fault.Checker = (*Job)(nil)

// Check returns all faults of the job.
func (j *Job) Check() fault.List {
	var l fault.List
	l.Check(ValidID(j.ID), "ID", j.ID, "16 hexadecimal digits")
	l.Check(len(j.Spec) <= MaxSpec, "Spec", len(j.Spec), fmt.Sprintf("at most %d bytes", MaxSpec))
	l.CheckRange("Steps", int64(len(j.Steps)), 1, MaxSteps)
	l.CheckRange("Times", int64(j.Times), 0, MaxTimes)
	l.CheckRange("Interval", int64(j.Interval), 0, int64(365*24*time.Hour))
	l.Check(j.Start >= 0, "Start", j.Start, "a time in Unix milliseconds")
	n := 0
	for i := range j.Steps {
		l = append(l, j.Steps[i].check(i).WithPrefix(fmt.Sprintf("Steps[%d].", i))...)
		n += min(max(j.Steps[i].Count, 0), MaxTasks)
	}
	l.Check(n <= MaxTasks, "Steps", n, fmt.Sprintf("at most %d tasks in all", MaxTasks))
	return l
}

// check returns all faults of the step at index i of its job.
func (s *Step) check(i int) fault.List {
	var l fault.List
	l.CheckRange("Count", int64(s.Count), 1, MaxTasks)
	l.CheckRange("MilliCPU", s.Demand.MilliCPU, 0, maxAmount)
	l.CheckRange("MemoryMiB", s.Demand.MemoryMiB, 0, maxAmount)
	l.CheckRange("Accelerators", s.Demand.Accelerators, 0, maxAmount)
	l.Check(s.Estimate >= 0, "Estimate", s.Estimate, "a duration of 0 or more")
	l.Check(s.AntiAffinity >= 0, "AntiAffinity", s.AntiAffinity, "0 or more")
	l.Check(s.MayMiss >= 0, "MayMiss", s.MayMiss, "0 or more")
	for _, a := range s.After {
		if a < 0 || a >= i {
			// Only the first: a list of legal length can hold very many.
			l.Add("After", a, "the number of an earlier step, counting from 0")
			break
		}
	}
	return l
}

// TaskID identifies one task of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

var errTaskID = errors.New("a task ID has the form JOB.OCCURRENCE.STEP.INDEX")

// ParseTaskID parses a task ID in the form that TaskID.String returns.
func ParseTaskID(s string) (TaskID, error) {
	p := strings.Split(s, ".")
	if len(p) != 4 {
		return TaskID{}, errTaskID
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(p[i+1])
		if err != nil || v < 0 {
			return TaskID{}, errTaskID
		}
		n[i] = v
	}
	return TaskID{p[0], n[0], n[1], n[2]}, nil
}
