package track

import (
	"slices"
	"time"

	"citronbridge/rates"
	"citronbridge/work"
)

// Task is one task of a step.
type Task struct {
	Step *Step
	// Index is the task's number in its step, from 0.
	Index int
	Done  bool
	// Run is the task's current run, nil while the task is waiting.
	Run *Run
	// LastRun is the highest run number of the task so far, Checkpoint its newest
	// checkpoint.
	LastRun    int
	Checkpoint string
	// WaitingSince is the time since which the task has had no run.
	WaitingSince time.Duration
	// Moves counts how often the task was moved off a slow worker.
	Moves int
	// Inherited reports whether a former decider may have started the task. It is cleared
	// once this decider places or adopts the task.
	Inherited bool
}

// Step is one step of one occurrence of a job.
type Step struct {
	Job  *Job
	Spec *work.Step
	// Occurrence is the number of the occurrence, Index that of the step within it. Both
	// start at 0.
	Occurrence, Index int
	// Key identifies the step among those of all jobs.
	Key   string
	Tasks []*Task
	// TasksLeft is the number of tasks that aren't done.
	TasksLeft int
	// GangOrderedAt is when the first start of the gang's current run was sent. It is 0
	// before that, and once all members are confirmed as started or the gang is stopped.
	GangOrderedAt time.Duration
	// LastRun is the gang's highest run number, Checkpoint its newest checkpoint.
	LastRun    int
	Checkpoint string
	// ReadyAt is when the step became ready, 0 before.
	ReadyAt time.Duration
	// Rates are the observed rates of the step's runs, from which the speeds of workers are learnt.
	Rates rates.Step
	// FailedOn says when a task of the step last failed on a worker, by worker ID.
	FailedOn map[string]time.Duration
	// RoomSince is the time since which the step has waited with nothing of its job running
	// although there is room for it twice, but for moments, the current one of which began at
	// FullSince. Both are 0 if that isn't so. Each task of a long-running step waits for
	// itself, whatever else of its job runs. ReportedAt is when the wait was last reported.
	RoomSince, FullSince, ReportedAt time.Duration
	// Ready reports whether all steps that this one depends on are durably done, so that
	// its tasks may start.
	Ready bool
}

// Job is an open job.
type Job struct {
	Spec   *work.Job
	Record *work.Record
	// Queue is the job's queue as last configured, nil if unknown.
	Queue *work.Queue
	// Steps are the steps of all open occurrences, in order. Those of occurrences that are
	// done have no tasks after Compact.
	Steps []*Step
	// FirstOccurrence is the first occurrence in Steps, all before are done. NextOccurrence
	// is the first occurrence that isn't open yet.
	FirstOccurrence, NextOccurrence int
	// unfinished counts the occurrences in Steps that aren't done, except those with
	// long-running steps.
	unfinished int
	// done are the occurrences that are done and whose tasks are still in Steps.
	done []doneOccurrence
	// StepsLeft is the number of steps in Steps that aren't done.
	StepsLeft int
	// AddedAt is when the decider received the job.
	AddedAt time.Duration
	// TakenOver reports whether the job was open when the decider acquired the pool and nothing
	// of it has run since. It may have been overdue for long then.
	TakenOver bool
	// Inherited reports whether a former decider may have started tasks of the job.
	Inherited bool
	// Leaving reports whether nothing of the job runs here and it is to be handed over to another
	// pool, so that none of its tasks is started. HandingOver reports whether it is being handed
	// over, so that its record isn't written here any more.
	Leaving, HandingOver bool
	// Seq numbers the changes of the record. WritingSeq is the newest change that is being
	// written, SavedSeq the newest that is durable.
	Seq, WritingSeq, SavedSeq int64
	// Failures is the number of runs that failed, except failures of serving tasks.
	Failures int
}

// Step returns a step of an open occurrence, or nil if there is none, which also stands for
// occurrences that are done.
func (j *Job) Step(k, i int) *Step {
	n := (k-j.FirstOccurrence)*len(j.Spec.Steps) + i
	if k < j.FirstOccurrence || i < 0 || i >= len(j.Spec.Steps) || n >= len(j.Steps) {
		return nil
	}
	return j.Steps[n]
}

// MarkReadySteps marks the steps whose predecessors are done as ready. The ends of the
// predecessors must be durable first, so it does nothing while a change of the record isn't
// durable.
func (j *Job) MarkReadySteps(now time.Duration) {
	if j.SavedSeq < j.Seq {
		return
	}
	for _, st := range j.Steps {
		if st.Ready || st.TasksLeft == 0 {
			continue
		}
		st.Ready = true
		for _, a := range st.Spec.After {
			if j.Step(st.Occurrence, a).TasksLeft > 0 {
				st.Ready = false
			}
		}
		if !st.Ready {
			continue
		}
		st.ReadyAt = now
		for _, t := range st.Tasks {
			t.WaitingSince = now
		}
	}
}

// Finished reports whether every task of every occurrence is done.
func (j *Job) Finished() bool {
	return j.StepsLeft == 0 && j.NextOccurrence >= j.Spec.Occurrences()
}

// Waits reports whether a task of the step has neither a run nor ended.
func (s *Step) Waits() bool {
	return slices.ContainsFunc(s.Tasks, func(t *Task) bool { return t.Run == nil && !t.Done })
}

// Waiting reports whether the job counts as waiting: none of its tasks has started. Periodic jobs
// don't count.
func (j *Job) Waiting() bool {
	return !j.Record.Started && !j.Record.State.Final() && j.Spec.Times == 0
}

// Idle reports whether no run of the job is known to have started and not ended.
func (j *Job) Idle() bool {
	for _, st := range j.Steps {
		for _, t := range st.Tasks {
			if t.Run != nil && t.Run.Phase >= Running {
				return false
			}
		}
	}
	return true
}

// HasRuns reports whether any run of the job still occupies a worker.
func (j *Job) HasRuns() bool { return hasRuns(j.Steps) }

func hasRuns(l []*Step) bool {
	for _, st := range l {
		for _, t := range st.Tasks {
			if t.Run != nil {
				return true
			}
		}
	}
	return false
}

// Key identifies the task's failures and checkpoints in the record. Members of a gang share
// those of their step.
func (t *Task) Key() string {
	if t.Step.Spec.Gang {
		return work.StepKey(t.Step.Occurrence, t.Step.Index)
	}
	return work.TaskKey(t.Step.Occurrence, t.Step.Index, t.Index)
}

// ID returns the ID by which workers know the task.
func (t *Task) ID() work.TaskID {
	return work.TaskID{Job: t.Step.Job.Spec.ID, Occurrence: t.Step.Occurrence, Step: t.Step.Index, Index: t.Index}
}

// MatchesGangRun reports whether all current runs of the gang's members have the run
// number. It is always true for steps that aren't gangs.
func (s *Step) MatchesGangRun(n int) bool {
	if !s.Spec.Gang {
		return true
	}
	for _, t := range s.Tasks {
		if t.Run != nil && t.Run.N != n {
			return false
		}
	}
	return true
}

// RunsBeyondDraining reports whether the step is a gang of which a member runs on a worker
// that answers and isn't draining.
func (s *Step) RunsBeyondDraining() bool {
	return s.Spec.Gang && slices.ContainsFunc(s.Tasks, func(t *Task) bool {
		return t.Run != nil && t.Run.Phase == Running && !t.Run.Worker.Draining && t.Run.Worker.Responsive()
	})
}

// serving reports whether a long-running task is known to be serving. Nothing is known of a
// task on a worker that doesn't answer.
func (t *Task) serving() bool {
	return t.Run != nil && t.Run.Phase == Running && t.Run.Progress >= 100 && t.Run.Worker.Responsive()
}

// StopBudget returns how many more tasks of a long-running step may be stopped now. It is
// negative if more are missing than the step allows.
func (s *Step) StopBudget() int {
	budget := s.Spec.MayMiss
	for _, t := range s.Tasks {
		if !t.serving() {
			budget--
		}
	}
	return budget
}

// MayStop reports whether a run may be stopped for more urgent work. Only a limited number
// of a long-running step's tasks may be missing at a time: the budget goes to the first
// serving tasks, and each stop reduces it.
func (s *Step) MayStop(r *Run) bool {
	if !s.Spec.LongRunning {
		return true
	}
	budget := s.StopBudget()
	for _, t := range s.Tasks {
		if budget <= 0 {
			return false
		}
		if !t.serving() {
			continue
		}
		if t.Run == r {
			return true
		}
		budget--
	}
	return false
}
