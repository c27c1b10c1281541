package track

import (
	"slices"
	"time"

	"citronbridge/work"
)

// doneOccurrence is an occurrence that is done. Seq is the change of the record that says so.
type doneOccurrence struct {
	k   int
	seq int64
}

// Default limits of the steps and tasks of a job in unfinished occurrences. They bound the
// memory that a job takes, and the size of its record.
const (
	defaultMaxOpenSteps = 1000
	defaultMaxOpenTasks = work.MaxTasks
)

// MayOpen reports whether another occurrence may be opened now, or only once one is done.
// Occurrences with long-running steps are never done, so they aren't limited.
func (j *Job) MayOpen(c *Config) bool {
	steps, tasks := c.MaxOpenSteps, c.MaxOpenTasks
	if steps == 0 {
		steps = defaultMaxOpenSteps
	}
	if tasks == 0 {
		tasks = defaultMaxOpenTasks
	}
	size, _ := j.Spec.Size()
	return j.unfinished*len(j.Spec.Steps) < steps && j.unfinished*size < tasks
}

// endsByItself reports whether the job has no long-running steps.
func (j *Job) endsByItself() bool {
	return !slices.ContainsFunc(j.Spec.Steps, func(s work.Step) bool { return s.LongRunning })
}

// OpenOccurrence adds the steps of an occurrence to the job.
func (j *Job) OpenOccurrence(k int, now time.Duration) {
	done := j.Record.IsOccurrenceDone(k)
	if done && len(j.Steps) == 0 && k == j.FirstOccurrence {
		j.FirstOccurrence++
		return
	}
	left := 0
	for i := range j.Spec.Steps {
		st := &Step{Job: j, Spec: &j.Spec.Steps[i], Occurrence: k, Index: i, Key: j.Spec.ID + "." + work.StepKey(k, i), FailedOn: map[string]time.Duration{}}
		st.LastRun, st.Checkpoint = j.Record.LastRun, j.Record.Saved[work.StepKey(k, i)]
		count := st.Spec.Count
		if done {
			count = 0
		}
		for n := range count {
			t := &Task{Step: st, Index: n, Done: j.Record.IsDone(k, i, n), Inherited: j.Inherited, LastRun: j.Record.LastRun, Checkpoint: j.Record.Saved[work.TaskKey(k, i, n)]}
			st.Tasks = append(st.Tasks, t)
			if !t.Done {
				st.TasksLeft++
			}
		}
		if st.TasksLeft > 0 {
			j.StepsLeft++
		}
		left += st.TasksLeft
		j.Steps = append(j.Steps, st)
	}
	switch {
	case left > 0 && j.endsByItself():
		j.unfinished++
	case left == 0 && !done:
		j.done = append(j.done, doneOccurrence{k, j.Seq})
	}
	j.MarkReadySteps(now)
}

// Compact drops the tasks of occurrences that are done, once the record durably says so and
// no run of them is left.
func (j *Job) Compact() {
	perOccurrence := len(j.Spec.Steps)
	j.done = slices.DeleteFunc(j.done, func(d doneOccurrence) bool {
		from := (d.k - j.FirstOccurrence) * perOccurrence
		l := j.Steps[from : from+perOccurrence]
		if j.SavedSeq < d.seq || hasRuns(l) {
			return false
		}
		for _, st := range l {
			st.Tasks = nil
		}
		return true
	})
	n := 0
	for n < len(j.Steps) && j.Steps[n].TasksLeft == 0 && j.Steps[n].Tasks == nil {
		n++
	}
	n /= perOccurrence
	j.Steps = slices.Delete(j.Steps, 0, n*perOccurrence)
	j.FirstOccurrence += n
}

// TasksDone accounts for n more tasks of a step that are done. If all tasks of an occurrence
// are, the next change of the record says so.
func (j *Job) TasksDone(st *Step, n int) {
	st.TasksLeft -= n
	if st.TasksLeft > 0 {
		return
	}
	j.StepsLeft--
	for i := range j.Spec.Steps {
		if j.Step(st.Occurrence, i).TasksLeft > 0 {
			return
		}
	}
	j.unfinished--
	j.Record.SetOccurrenceDone(st.Occurrence)
	j.done = append(j.done, doneOccurrence{st.Occurrence, j.Seq + 1})
}
