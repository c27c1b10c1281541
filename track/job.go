package track

import (
	"time"

	"citronbridge/work"
)

// Task is one task of a step.
type Task struct {
	Step *Step
	// Index is the task's number in its step, from 0.
	Index int
	Done  bool
	// Run is the current run, nil while the task waits.
	Run *Run
	// LastRun is the highest number of a run of the task, Saved its newest
	// checkpoint.
	LastRun    int
	Checkpoint string
	// WaitingSince is since when the task has had no run.
	WaitingSince time.Duration
	// Moves counts how often the task was moved off a slow worker.
	Moves int
	// Inherited says that a former decider may have started the task, and
	// this one has not.
	Inherited bool
}

// Step is a step of one occurrence.
type Step struct {
	Job  *Job
	Spec *work.Step
	// Occurrence and Index number the step, both from 0.
	Occurrence, Index int
	// Key names the step among those of all jobs.
	Key   string
	Tasks []*Task
	// TasksLeft counts the tasks that aren't done.
	TasksLeft int
	// GangOrderedAt is when the first start of the gang's present run was sent, 0
	// before and once all its members are confirmed.
	GangOrderedAt time.Duration
	// LastRun and Saved are the gang's highest run and newest checkpoint.
	LastRun    int
	Checkpoint string
	// Ready is when the step's turn came, 0 before.
	ReadyAt time.Duration
	// Avoid names the workers that failed a task of the step.
	Avoid map[string]bool
	// Ready says that the step's turn has come.
	Ready bool
}

// Job is an open job.
type Job struct {
	Spec   *work.Job
	Record *work.Record
	// Queue is the job's queue as last configured, nil if that isn't known.
	Queue *work.Queue
	// Steps are those of all open occurrences, in order.
	Steps []*Step
	// NextOccurrence is the first occurrence that isn't open.
	NextOccurrence int
	// StepsLeft counts the steps in Steps that aren't done.
	StepsLeft int
	// AddedAt is when the job was taken in.
	AddedAt time.Duration
	// Started says that a task has started.
	Started bool
	// Inherited is set for jobs that a former decider may have started.
	Inherited bool
	// Seq numbers the changes of the record; AskedSeq is the newest that is
	// being written, SavedSeq the newest that is durable.
	Seq, WritingSeq, SavedSeq int64
	// Failures counts the runs that failed.
	Failures int
}

// OpenOccurrence adds the steps of an occurrence.
func (j *Job) OpenOccurrence(k int, now time.Duration) {
	for i := range j.Spec.Steps {
		st := &Step{Job: j, Spec: &j.Spec.Steps[i], Occurrence: k, Index: i, Key: j.Spec.ID + "." + work.StepKey(k, i), Avoid: map[string]bool{}}
		st.Checkpoint = j.Record.Saved[work.StepKey(k, i)]
		for n := range st.Spec.Count {
			t := &Task{Step: st, Index: n, Done: j.Record.IsDone(k, i, n), Inherited: j.Inherited, Checkpoint: j.Record.Saved[work.TaskKey(k, i, n)]}
			st.Tasks = append(st.Tasks, t)
			if !t.Done {
				st.TasksLeft++
			}
		}
		if st.TasksLeft > 0 {
			j.StepsLeft++
		}
		j.Steps = append(j.Steps, st)
	}
	j.MarkReadySteps(now)
}

// Step returns a step of an open occurrence, or nil.
func (j *Job) Step(k, i int) *Step {
	n := k*len(j.Spec.Steps) + i
	if k < 0 || i < 0 || i >= len(j.Spec.Steps) || n >= len(j.Steps) {
		return nil
	}
	return j.Steps[n]
}

// MarkReadySteps notes the steps whose turn has come. The ends before them must be
// durable, so it waits for a write under way.
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

// HasRuns reports whether a run of the job holds room somewhere.
func (j *Job) HasRuns() bool {
	for _, st := range j.Steps {
		for _, t := range st.Tasks {
			if t.Run != nil {
				return true
			}
		}
	}
	return false
}

// Key names a task's failures and checkpoints in the record: those of a gang
// are the step's.
func (t *Task) Key() string {
	if t.Step.Spec.Gang {
		return work.StepKey(t.Step.Occurrence, t.Step.Index)
	}
	return work.TaskKey(t.Step.Occurrence, t.Step.Index, t.Index)
}

// ID returns the name that workers know the task by.
func (t *Task) ID() work.TaskID {
	return work.TaskID{Job: t.Step.Job.Spec.ID, Occurrence: t.Step.Occurrence, Step: t.Step.Index, Index: t.Index}
}

// MatchesGangRun reports whether a run of a member belongs to what the gang runs now.
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

// serving reports whether a long-running task is known to be at work. Of one
// on a worker that doesn't answer nothing is known.
func (t *Task) serving() bool {
	return t.Run != nil && t.Run.Phase == Running && t.Run.Progress >= 100 && t.Run.Worker.Responsive()
}

// StopBudget returns how many more of a long-running step's tasks may be away now.
func (s *Step) StopBudget() int {
	left := s.Spec.MayMiss
	for _, t := range s.Tasks {
		if !t.serving() {
			left--
		}
	}
	return left
}

// MayStop reports whether a run may be stopped for more urgent work: so many
// of a long-running step's tasks may be away at a time. The first ones that
// are at work may go; each stop makes it fewer.
func (s *Step) MayStop(r *Run) bool {
	if !s.Spec.LongRunning {
		return true
	}
	left := s.StopBudget()
	for _, t := range s.Tasks {
		if left <= 0 {
			return false
		}
		if !t.serving() {
			continue
		}
		if t.Run == r {
			return true
		}
		left--
	}
	return false
}
